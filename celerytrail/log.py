"""Structured logs by eliot, one JSON object a line, joined over processes.

VMs have no disks, so lines go to standard error unless a file is named (the demo and
the tests name one). `celerytrail timeline` merges the lines of all processes.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from typing import IO, Any

import eliot
import msgspec
from eliot import Action

TASK_HEADER = "x-eliot-task"


def start_logging(process: str, path: str | None = None) -> None:
    """Send log lines to a file or standard error, each with the process's name."""
    destination: IO[str] = sys.stderr
    if path is not None:
        destination = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    eliot.add_global_fields(process=process)
    eliot.to_file(destination)


class BoundedOutput:
    """Writes log lines to a descriptor without ever waiting for its reader.

    A pipe whose reader has stopped fills up, and the next line would hold up every
    request of the process. Lines that don't fit are dropped, counted, and the count is
    told in the next line that goes out.

    Parameters
    ----------
    fd : int
        Where lines go.
    process : str
        The process's name, in each line.
    """

    # What waits for a slow reader at most, in bytes: some hundred lines.
    MAX_WAITING_BYTES = 128 * 1024

    def __init__(self, *, fd: int, process: str) -> None:
        self._fd = fd
        self._process = process
        self._waiting = b""
        self.n_dropped = 0
        os.set_blocking(fd, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Take one line."""
        fields = {**message, "process": self._process}
        if self.n_dropped:
            fields["n_lines_dropped"] = self.n_dropped
        line = msgspec.json.encode(fields, enc_hook=repr) + b"\n"
        if len(self._waiting) + len(line) > self.MAX_WAITING_BYTES:
            self.n_dropped += 1
        else:
            self.n_dropped = 0
            self._waiting += line
        self._flush()

    def _flush(self) -> None:
        try:
            n_written = os.write(self._fd, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good; there is nobody left to tell.
            self._waiting = b""
            return
        self._waiting = self._waiting[n_written:]


def log_to_output(process: str) -> None:
    """Send log lines to standard output, never waiting for its reader."""
    eliot.add_destinations(BoundedOutput(fd=sys.stdout.fileno(), process=process))


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
