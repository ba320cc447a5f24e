"""The node as a process: settings from a file, signals, one line per log event."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from celerytrail.log import BoundedOutput
from celerytrail.platform.nodesettings import SETTINGS_VARIABLE
from chores.system import free_address
from tests.test_relay_platform import SETTINGS

COMMAND = [sys.executable, "-m", "celerytrail", "node"]


def environment(path: Path | None) -> dict[str, str]:
    env = {name: text for name, text in os.environ.items() if name != SETTINGS_VARIABLE}
    if path is not None:
        env[SETTINGS_VARIABLE] = str(path)
    return env


def settings() -> dict[str, object]:
    ports = [free_address().port for _ in range(6)]
    listen = ("front", "ready", "control", "directory")
    return {
        **SETTINGS,
        "listen": {
            name: f"127.0.0.1:{port}" for name, port in zip(listen, ports, strict=False)
        },
        "port-range": [ports[4], ports[4]],
        "seeds": [],
        "infrastructure": {"address": f"127.0.0.1:{ports[5]}"},
    }


class TestStarting:
    def test_all_wrong_settings_are_reported_with_their_places(self, tmp_path):
        path = tmp_path / "local.json"
        path.write_bytes(msgspec.json.encode({"node": 1, "port-range": 2}))
        finished = subprocess.run(
            COMMAND, env=environment(path), capture_output=True, text=True, check=False
        )
        assert finished.returncode == 2
        for place in ("node", "zone", "region", "port-range"):
            assert f"error: {place}:" in finished.stderr

    def test_a_missing_file_and_a_missing_variable_are_reported(self, tmp_path):
        for path in (tmp_path / "none.json", None):
            finished = subprocess.run(
                COMMAND,
                env=environment(path),
                capture_output=True,
                text=True,
                check=False,
            )
            assert finished.returncode == 2
            assert "error:" in finished.stderr

    def test_flags_beside_a_settings_file_are_rejected(self, tmp_path):
        """A user adds a flag to a command that takes its settings from a file. If it
        were ignored silently, the user would assume that it has an effect.
        """
        path = tmp_path / "local.json"
        path.write_bytes(msgspec.json.encode(settings()))
        finished = subprocess.run(
            [*COMMAND, "--vm", "other"],
            env=environment(path),
            capture_output=True,
            text=True,
            check=False,
        )
        assert finished.returncode == 2
        assert "error: --vm:" in finished.stderr


class TestRunning:
    def test_it_logs_its_start_a_reload_and_its_stop(self, tmp_path):
        path = tmp_path / "local.json"
        path.write_bytes(msgspec.json.encode(settings()))
        process = subprocess.Popen(
            COMMAND, env=environment(path), stdout=subprocess.PIPE, text=True
        )
        assert process.stdout is not None
        seen = []
        try:
            for line in process.stdout:
                event = json.loads(line)
                seen.append(event["message_type"])
                assert event["process"] == "edge-a-1"
                if event["message_type"] == "relay:node:started":
                    process.send_signal(signal.SIGHUP)
                if event["message_type"] == "relay:node:reloaded":
                    process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
        finally:
            process.kill()
            process.stdout.close()
        assert "relay:store:lost" in seen
        assert seen[-1] == "relay:node:stopped"


class TestBoundedOutput:
    def test_a_stalled_reader_does_not_block_the_output(self):
        # The log collector stalls, and the pipe fills up. A node that waited for it
        # would answer nobody.
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        output = BoundedOutput(fd=writer, process="p")
        for number in range(20_000):
            output({"number": number, "text": "x" * 100})
        n_dropped = output.n_dropped
        assert n_dropped > 0
        # The reader resumes: it gets whole lines, and the number of dropped ones.
        received = self.take_all(reader)
        # Buffered lines follow with the next ones, as far as the pipe has space.
        last = [-1, -2, -3, -4]
        for number in last:
            output({"number": number})
            received += self.take_all(reader)
        os.close(reader)
        os.close(writer)
        lines = [json.loads(line) for line in received.splitlines()]
        assert [line["number"] for line in lines[-4:]] == last
        counted = [line for line in lines if "n_lines_dropped" in line]
        assert [line["n_lines_dropped"] for line in counted] == [n_dropped]
        assert len(lines) == 20_000 - n_dropped + len(last)

    @staticmethod
    def take_all(reader: int) -> bytes:
        received = b""
        while True:
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                return received

    def test_a_closed_pipe_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(fd=writer, process="p")
        output({"number": 1})
        output({"number": 2})
        os.close(writer)


class TestFootprint:
    """Memory is limited on an entry VM; hundreds of nodes multiply each megabyte."""

    SCRIPT = (
        "import sys, celerytrail.__main__ as main\n"
        "main.leave_out_unused()\n"
        "import celerytrail.relay.daemon\n"
        "loaded = {name for name, module in sys.modules.items() if module}\n"
        "print(sorted(loaded & {'ssl', '_ssl', '_hashlib', 'typer', 'click'}))\n"
    )

    def test_a_node_on_the_platform_loads_neither_tls_nor_the_command_line(self):
        """An imported module stays in memory for good, and this goes unnoticed until
        processes are killed for their size.
        """
        finished = subprocess.run(
            [sys.executable, "-c", self.SCRIPT],
            capture_output=True,
            text=True,
            check=True,
        )
        assert finished.stdout.strip() == "[]"
