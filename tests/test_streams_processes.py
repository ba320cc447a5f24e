"""Token streams over real processes and real signals."""

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
    """Processes of one test, ended by their own ids."""

    def __init__(self):
        self._started = []

    def start(self, *words):
        process = subprocess.Popen(
            [sys.executable, "-m", *words], stdout=subprocess.PIPE, text=True, cwd=ROOT
        )
        self._started.append(process)
        address = Address.parse(process.stdout.readline().split()[1])
        return process, address

    def end(self):
        for process in self._started:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            process.stdout.close()


@pytest.fixture
def processes():
    started = Processes()
    yield started
    started.end()


def start_all(processes, log):
    _, engine = processes.start("standins.engine", "--tokens-per-second=200")
    relay = ["bench.relayprocess", f"--engine={engine}", "--grace-seconds=0.05"]
    first = processes.start(*relay, f"--log={log}")
    return first, processes.start(*relay)


class TestNodeProcess:
    async def test_killed_in_the_middle(self, processes, tmp_path):
        """The node's process is killed while a draft streams. Its caller goes on at
        another node and has every token once.
        """
        (first, first_at), (_, second_at) = start_all(processes, tmp_path / "log")
        caller = Caller(KEY)
        stream = await caller.complete(first_at, "a [length=120]")
        answer = await caller.read(stream, n_tokens=20)
        first.kill()
        await caller.resume(second_at, answer)
        generation_id = answer.events[0]["id"].removeprefix("cmpl-")
        assert answer.text == expected_text("a [length=120]", generation_id, 120)
        assert answer.is_done

    async def test_frozen_and_thawed_while_its_caller_resumed_elsewhere(
        self, processes, tmp_path
    ):
        """The node's process stands still, its caller gives up on it and goes on at
        another node. When the first wakes it finds its caller gone and cancels; were
        it obeyed, the caller's draft would be cut by a node it no longer uses.
        """
        log = tmp_path / "log"
        (first, first_at), (_, second_at) = start_all(processes, log)
        caller = Caller(KEY)
        prompt = "b [length=100000]"
        stream = await caller.complete(first_at, prompt, max_tokens=20_000)
        answer = await caller.read(stream, n_tokens=20)
        os.kill(first.pid, signal.SIGSTOP)
        stream.close()
        answer.unread = b""
        stream = await caller.open(
            second_at, "GET", f"/v1/generations/{answer.last_id}"
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
