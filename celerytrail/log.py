"""Structured logs with eliot: one JSON object per line, correlated across processes.

VMs have no disks, so lines go to standard error unless a file is named, as the demo
and the tests do. `celerytrail timeline` merges the lines of all processes.
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
    """Write log lines with the process's name to a file or standard error."""
    destination: IO[str] = sys.stderr
    if path is not None:
        destination = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
    eliot.add_global_fields(process=process)
    eliot.to_file(destination)


class BoundedOutput:
    """Writes log lines to a file descriptor and never blocks on its reader.

    A pipe fills up if its reader stops, and a blocking write would then stall every
    request of the process. Lines that don't fit in the buffer are dropped, and the next
    line that does fit has their count in ``n_lines_dropped``.

    Parameters
    ----------
    fd : int
        The file descriptor, set to non-blocking.
    process : str
        The process's name, written in each line.
    """

    # Buffer for a slow reader: some hundred lines.
    MAX_BUFFERED_BYTES = 128 * 1024

    def __init__(self, *, fd: int, process: str) -> None:
        self._fd = fd
        self._process = process
        self._buffer = b""
        self.n_dropped = 0
        os.set_blocking(fd, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one line, or buffer or drop it if the reader is slow."""
        fields = {**message, "process": self._process}
        if self.n_dropped:
            fields["n_lines_dropped"] = self.n_dropped
        line = msgspec.json.encode(fields, enc_hook=repr) + b"\n"
        if len(self._buffer) + len(line) > self.MAX_BUFFERED_BYTES:
            self.n_dropped += 1
        else:
            self.n_dropped = 0
            self._buffer += line
        self._flush()

    def _flush(self) -> None:
        try:
            n_written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe and never reads again; discard the lines.
            self._buffer = b""
            return
        self._buffer = self._buffer[n_written:]


def log_to_output(process: str) -> None:
    """Write log lines to standard output without blocking on its reader."""
    eliot.add_destinations(BoundedOutput(fd=sys.stdout.fileno(), process=process))


def task_headers(action: Action) -> dict[str, str]:
    """Return the header by which the next process continues this action."""
    return {TASK_HEADER: action.serialize_task_id().decode("ascii")}


def continue_task(task_id: str | None, action_type: str, **fields: object) -> Action:
    """Continue another process's action, or start one if ``task_id`` is unusable."""
    if task_id:
        try:
            return Action.continue_task(
                task_id=task_id, action_type=action_type, **fields
            )
        except (ValueError, UnicodeError):
            # A malformed id must not fail the request; only the correlation is lost.
            pass
    return eliot.start_task(action_type=action_type, **fields)
