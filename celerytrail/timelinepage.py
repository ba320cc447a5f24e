"""The timeline as an HTML page with one column per process."""

from __future__ import annotations

import html

from .timeline import Event, Timeline

MAX_EVENTS = 2_000

_STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #1b1b1b; }
table { border-collapse: collapse; }
th { text-align: left; position: sticky; top: 0; background: #fff; }
th, td { padding: 2px 8px; border-left: 1px solid #ddd; vertical-align: top; }
td.at { white-space: nowrap; font-variant-numeric: tabular-nums; color: #555; }
td.on { background: #eef4fb; }
td.failed { background: #fbe9e7; }
small { color: #555; word-break: break-word; }
"""


def as_page(timeline: Timeline) -> str:
    """Return the page; time runs downwards, with one column per process."""
    processes = sorted({event.process for event in timeline.events})
    events = timeline.events[:MAX_EVENTS]
    start_at = events[0].at if events else 0.0
    head = "".join(f'<th scope="col">{html.escape(name)}</th>' for name in processes)
    rows = "\n".join(_row(event, processes, start_at) for event in events)
    n_omitted = len(timeline.events) - len(events)
    note = f"<p>{n_omitted} later events are omitted.</p>" if n_omitted else ""
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>celerytrail timeline</title><style>{_STYLE}</style></head><body>"
        "<h1>Timeline</h1><p>Seconds since the first event; one column per process.</p>"
        f'<table><thead><tr><th scope="col">s</th>{head}</tr></thead>'
        f"<tbody>\n{rows}\n</tbody></table>{note}</body></html>\n"
    )


def _row(event: Event, processes: list[str], start_at: float) -> str:
    cells = []
    for process in processes:
        if process != event.process:
            cells.append("<td></td>")
            continue
        css_class = "failed" if event.status == "failed" else "on"
        details = " ".join(f"{name}={value}" for name, value in event.fields.items())
        cells.append(
            f'<td class="{css_class}">{html.escape(event.name)} '
            f"{html.escape(event.status)} <small>{html.escape(details)}</small></td>"
        )
    return f'<tr><td class="at">{event.at - start_at:.3f}</td>{"".join(cells)}</tr>'
