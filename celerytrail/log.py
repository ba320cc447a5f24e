"""Structured logs by eliot, one JSON object a line, joined over processes.

VMs have no disks, so lines go to standard error unless a file is named (the demo and
the tests name one). `celerytrail timeline` merges the lines of all processes.
"""

from __future__ import annotations

import sys
from typing import IO

import eliot
from eliot import Action

TASK_HEADER = "x-eliot-task"


def start_logging(process: str, path: str | None = None) -> None:
    """Send log lines to a file or standard error, each with the process's name."""
    destination: IO[str] = sys.stderr
    if path is not None:
        destination = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    eliot.add_global_fields(process=process)
    eliot.to_file(destination)


def task_headers(action: Action) -> dict[str, str]:
    """Return the header that lets the next process carry on this action."""
    return {TASK_HEADER: action.serialize_task_id().decode("ascii")}


def continue_task(task_id: str | None, action_type: str, **fields: object) -> Action:
    """Carry on an action of another process, or begin one where there is none."""
    if task_id:
        try:
            return Action.continue_task(
                task_id=task_id, action_type=action_type, **fields
            )
        except (ValueError, UnicodeError):
            # Whoever sent a mangled id still gets its answer; only the log loses.
            pass
    return eliot.start_task(action_type=action_type, **fields)
