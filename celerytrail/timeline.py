"""The time line: the log lines of all processes, merged into one order."""

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
    """One log line.

    Parameters
    ----------
    at : float
        Wall time in seconds since the epoch, by the clock of its process.
    process : str
        The process that wrote it.
    task : str
        The action it belongs to; the same in every process that took part.
    level : tuple of int
        Its place within the action.
    name : str
        What happened.
    status : str
        ``started``, ``succeeded`` or ``failed`` for an action's ends, else empty.
    fields : dict
        All else that the line says.
    """

    at: float
    process: str
    task: str
    level: tuple[int, ...]
    name: str
    status: str = ""
    fields: dict[str, object] = field(default_factory=dict)

    def text(self) -> str:
        """Return one line for a person."""
        clock = datetime.datetime.fromtimestamp(self.at, tz=datetime.UTC)
        stamp = clock.strftime("%H:%M:%S.%f")[:-3]
        details = " ".join(f"{name}={value}" for name, value in self.fields.items())
        status = f" {self.status}" if self.status else ""
        return f"{stamp} {self.process:<12} {self.name}{status} {details}".rstrip()


@dataclass(frozen=True, kw_only=True, slots=True)
class Timeline:
    """Events of all processes in order, and the lines that could not be read."""

    events: tuple[Event, ...]
    findings: tuple[Finding, ...] = ()

    def of_request(self, request_id: str) -> Timeline:
        """Return the events of every action that names the request.

        An action is followed into all processes it went through, and a request that
        was taken up again under a new action is found by its id.
        """
        tasks = {
            event.task for event in self.events if request_id in event.fields.values()
        }
        chosen = tuple(event for event in self.events if event.task in tasks)
        return Timeline(events=chosen, findings=self.findings)


def read_files(paths: Iterable[Path]) -> Timeline:
    """Read and merge log files; a line that is no log line is a finding."""
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
    """Return the lines of a time line for a person."""
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
