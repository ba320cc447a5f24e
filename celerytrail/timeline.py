"""The timeline: log lines of all processes, merged and sorted by time."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .types import Finding

HIDDEN_FIELDS = frozenset(
    {
        "timestamp",
        "task_uuid",
        "task_level",
        "process",
        "message_type",
        "action_type",
        "action_status",
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Holds one log line.

    Parameters
    ----------
    at : float
        Wall time in seconds since the epoch, by the clock of its process.
    process : str
        The process that wrote the line.
    task : str
        Id of the action that the line belongs to; the same in all processes involved.
    level : tuple of int
        The line's position within the action.
    name : str
        The message type or action type.
    status : str
        ``started``, ``succeeded`` or ``failed`` for an action's start or end, else
        empty.
    fields : dict
        All other fields of the line.
    """

    at: float
    process: str
    task: str
    level: tuple[int, ...]
    name: str
    status: str = ""
    fields: dict[str, object] = field(default_factory=dict)

    def text(self) -> str:
        """Return the event as one readable line."""
        time = datetime.datetime.fromtimestamp(self.at, tz=datetime.UTC)
        timestamp = time.strftime("%H:%M:%S.%f")[:-3]
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        status = f" {self.status}" if self.status else ""
        return f"{timestamp} {self.process:<12} {self.name}{status} {details}".rstrip()


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """Holds all processes' events in order, and findings for unreadable lines."""

    events: tuple[Event, ...]
    findings: tuple[Finding, ...] = ()

    def of_request(self, request_id: str) -> Timeline:
        """Return the events of all actions that have the request id in a field.

        An action's id is the same in all processes it passed through, and a request
        that was resumed under a new action is found by its request id.
        """
        tasks = {
            event.task for event in self.events if request_id in event.fields.values()
        }
        selected = tuple(event for event in self.events if event.task in tasks)
        return Timeline(events=selected, findings=self.findings)


def read_files(paths: Iterable[Path]) -> Timeline:
    """Read and merge log files; each invalid line becomes a finding."""
    events: list[Event] = []
    findings: list[Finding] = []
    for path in paths:
        with path.open("rb") as lines:
            for number, line in enumerate(lines, start=1):
                event = _decode(line)
                if event is None:
                    findings.append(
                        Finding(place=f"{path.name}:{number}", problem="no log line")
                    )
                else:
                    events.append(event)
    events.sort(key=lambda event: (event.at, event.process, event.level))
    return Timeline(events=tuple(events), findings=tuple(findings))


def as_text(timeline: Timeline) -> Iterator[str]:
    """Yield the timeline as readable lines."""
    for event in timeline.events:
        yield event.text()
    for finding in timeline.findings:
        yield f"could not read {finding}"


def _decode(line: bytes) -> Event | None:
    try:
        raw = msgspec.json.decode(line)
        return Event(
            at=float(raw["timestamp"]),
            process=str(raw.get("process", "?")),
            task=str(raw["task_uuid"]),
            level=tuple(raw["task_level"]),
            name=str(raw.get("message_type") or raw.get("action_type") or "?"),
            status=str(raw.get("action_status", "")),
            fields={k: v for k, v in raw.items() if k not in HIDDEN_FIELDS},
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None
