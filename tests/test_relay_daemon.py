"""The node as a process: settings from a file, signals, one line a log event."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from celerytrail.log import BoundedOutput
from celerytrail.platform.nodefile import SETTINGS_VARIABLE
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
    def test_wrong_settings_are_all_told_with_their_places(self, tmp_path):
        path = tmp_path / "local.json"
        path.write_bytes(msgspec.json.encode({"node": 1, "port-range": 2}))
        done = subprocess.run(
            COMMAND, env=environment(path), capture_output=True, text=True, check=False
        )
        assert done.returncode == 2
        for place in ("node", "zone", "region", "port-range"):
            assert f"error: {place}:" in done.stderr

    def test_a_missing_file_and_a_missing_variable(self, tmp_path):
        for path in (tmp_path / "none.json", None):
            done = subprocess.run(
                COMMAND,
                env=environment(path),
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 2
            assert "error:" in done.stderr

    def test_flags_beside_a_settings_file_are_told(self, tmp_path):
        """Someone adds a flag to a command that runs by the platform's file. Were the
        flag passed over in silence, they would think that it is in force.
        """
        path = tmp_path / "local.json"
        path.write_bytes(msgspec.json.encode(settings()))
        done = subprocess.run(
            [*COMMAND, "--vm", "other"],
            env=environment(path),
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert "error: --vm:" in done.stderr


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
    def test_a_reader_that_has_stopped_holds_up_nothing(self):
        # Whoever collects the logs stands still, and the pipe fills up. A node that
        # waited for it would answer nobody until then.
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        output = BoundedOutput(fd=writer, process="p")
        for number in range(20_000):
            output({"number": number, "text": "x" * 100})
        n_dropped = output.n_dropped
        assert n_dropped > 0
        # The reader wakes up: it gets whole lines, and how many are missing.
        taken = self.take_all(reader)
        # What waits goes out with the next lines, as much as the pipe takes each time.
        last = [-1, -2, -3, -4]
        for number in last:
            output({"number": number})
            taken += self.take_all(reader)
        os.close(reader)
        os.close(writer)
        lines = [json.loads(line) for line in taken.splitlines()]
        assert [line["number"] for line in lines[-4:]] == last
        counted = [line for line in lines if "n_lines_dropped" in line]
        assert [line["n_lines_dropped"] for line in counted] == [n_dropped]
        assert len(lines) == 20_000 - n_dropped + len(last)

    @staticmethod
    def take_all(reader: int) -> bytes:
        taken = b""
        while True:
            try:
                taken += os.read(reader, 1 << 20)
            except BlockingIOError:
                return taken

    def test_a_reader_that_is_gone_ends_nothing(self):
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(fd=writer, process="p")
        output({"number": 1})
        output({"number": 2})
        os.close(writer)


class TestFootprint:
    """Memory is bounded on an entry VM, and hundreds of nodes pay for each megabyte."""

    LOOK = (
        "import sys, celerytrail.__main__ as main\n"
        "main.leave_out_unused()\n"
        "import celerytrail.relay.daemon\n"
        "loaded = {name for name, module in sys.modules.items() if module}\n"
        "print(sorted(loaded & {'ssl', '_ssl', '_hashlib', 'typer', 'click'}))\n"
    )

    def test_a_node_on_the_platform_loads_neither_tls_nor_the_command_line(self):
        """A module that anything imports on the way stays in memory for good; nobody
        notices until processes are killed for their size.
        """
        made = subprocess.run(
            [sys.executable, "-c", self.LOOK],
            capture_output=True,
            text=True,
            check=True,
        )
        assert made.stdout.strip() == "[]"
