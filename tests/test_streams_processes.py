"""Token streams through node processes that are killed or paused."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from callers_rig import Caller, expected_text, until

from bench.relayprocess import KEY
from celerytrail.types import Address

ROOT = Path(__file__).parent.parent


class Processes:
    """Starts the processes of one test and kills them at its end."""

    def __init__(self):
        self._started = []

    def start(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        self._started.append(process)
        address = Address.parse(process.stdout.readline().split()[1])
        return process, address

    def kill_all(self):
        for process in self._started:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            process.stdout.close()


@pytest.fixture
def processes():
    started = Processes()
    yield started
    started.kill_all()


def start_engine_and_nodes(processes, log):
    _, engine = processes.start("standins.engine", "--tokens-per-second=200")
    relay = ["bench.relayprocess", f"--engine={engine}", "--grace-seconds=0.05"]
    first = processes.start(*relay, f"--log={log}")
    return first, processes.start(*relay)


class TestNodeProcess:
    async def test_caller_resumes_after_node_is_killed(self, processes, tmp_path):
        """The node's process is killed in mid-stream. The caller resumes at another
        node and gets each token once.
        """
        (first, first_address), (_, second_address) = start_engine_and_nodes(
            processes, tmp_path / "log"
        )
        caller = Caller(KEY)
        stream = await caller.complete(first_address, "a [length=120]")
        answer = await caller.read(stream, n_tokens=20)
        first.kill()
        await caller.resume(second_address, answer)
        generation_id = answer.events[0]["id"].removeprefix("cmpl-")
        assert answer.text == expected_text("a [length=120]", generation_id, 120)
        assert answer.is_done

    async def test_paused_node_does_not_cancel_resumed_generation(
        self, processes, tmp_path
    ):
        """The node's process is paused, and its caller resumes at another node. Once
        continued, the first node finds its caller disconnected and cancels; if the
        engine obeyed, the caller's generation would be cut off.
        """
        log = tmp_path / "log"
        (first, first_address), (_, second_address) = start_engine_and_nodes(
            processes, log
        )
        caller = Caller(KEY)
        prompt = "b [length=100000]"
        stream = await caller.complete(first_address, prompt, max_tokens=20_000)
        answer = await caller.read(stream, n_tokens=20)
        os.kill(first.pid, signal.SIGSTOP)
        stream.close()
        answer.unread = b""
        stream = await caller.open(
            second_address, "GET", f"/v1/generations/{answer.last_id}"
        )
        await caller.read(stream, answer.n_tokens + 20, answer)
        os.kill(first.pid, signal.SIGCONT)
        await until(lambda: "engines:cancelled" in log.read_text())
        n_tokens = answer.n_tokens + 200
        await caller.read(stream, n_tokens, answer)
        generation_id = answer.events[0]["id"].removeprefix("cmpl-")
        assert answer.error is None
        assert '"outcome":"NewerReader"' in log.read_text()
        assert answer.n_tokens >= n_tokens
        assert answer.text == expected_text(prompt, generation_id, answer.n_tokens)
