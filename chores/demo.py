"""The demo: a whole system on this machine, through failures, checked at each step."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from celerytrail import timeline
from celerytrail.http.client import HttpClient
from celerytrail.types import Address
from standins.batch import token_text

from .caller import Caller, Draft
from .documents import first_document
from .operator import Operator
from .platformdemo import PlatformDemo
from .system import MODEL, SERVICE, Child, Layout, System

EXAMPLES = Path(__file__).resolve().parent.parent / "examples" / "bookings"
ORGANISATION = "lone-star"
OPERATOR = "ana"
READY_SECONDS = 15.0
N_MAX_TOKENS = 400
TOKENS_PER_SECOND = 150.0


class DemoError(Exception):
    """Something that the demo shows did not hold."""


class Demo:
    """Runs the demo's steps against one system.

    Parameters
    ----------
    system : System
        The running processes.
    """

    def __init__(self, *, system: System) -> None:
        self._system = system
        self._caller = Caller(key="", known=())
        self._figures: list[str] = []

    async def run(self) -> list[str]:
        """Run every step; returns the figures that were measured."""
        steps: list[tuple[str, Callable[[], Awaitable[str]]]] = [
            ("an operator enters the document", self._enter_document),
            ("drafts of unknown length, all at once", self._drafts),
            ("a node is killed in the middle of a draft", self._kill),
            ("a signature is filed twice under one key", self._file),
            ("a node stops gracefully during a draft", self._stop),
            ("the time line of that draft", self._timeline),
        ]
        for title, step in steps:
            print(f"\n== {title}", flush=True)
            started_at = time.monotonic()
            figure = await step()
            seconds = time.monotonic() - started_at
            print(f"   {figure} ({seconds:.1f} s)", flush=True)
            self._figures.append(figure)
        self._caller.close()
        return self._figures

    async def _enter_document(self) -> str:
        document, keys = first_document(self._system.children, ORGANISATION)
        console = self._system.children["console"].address
        operator = Operator(console=console)
        await operator.log_in(OPERATOR, self._system.operator_password)
        version = await operator.submit(document, note="the first document")
        accepted_at = time.monotonic()
        for node in self._system.nodes():
            await _wait_ready(node)
        seconds = time.monotonic() - accepted_at
        known = tuple(node.address for node in self._system.nodes())
        self._caller = Caller(key=keys[ORGANISATION], known=known)
        return f"version {version} in force at all nodes {seconds:.2f} s later"

    async def _drafts(self) -> str:
        addresses = await self._caller.addresses()
        bookings = sorted(EXAMPLES.glob("*.json"))
        prompts = [
            f"Draft the performance contract for {path.read_text()} (copy {copy})"
            for path in bookings
            for copy in range(2)
        ]
        drafts = [Draft() for _ in prompts]
        await asyncio.gather(
            *(
                self._whole(addresses[n % len(addresses)], prompt, drafts[n])
                for n, prompt in enumerate(prompts)
            )
        )
        for prompt, draft in zip(prompts, drafts, strict=True):
            _check(draft, prompt)
        lengths = sorted(len(draft.tokens) for draft in drafts)
        return f"{len(drafts)} drafts whole, of {lengths} tokens"

    async def _kill(self) -> str:
        victim = self._system.nodes()[0]
        prompt = "A long draft [length=600]"
        draft = Draft()
        stream = await self._caller.start(victim.address, MODEL, prompt, 1_000)
        async for _ in self._caller.follow(stream, draft):
            if len(draft.tokens) == 60:
                victim.process.kill()
                break
        stream.close()
        n_before = len(draft.tokens)
        cut_at = time.monotonic()
        other = await self._another_address(victim)
        resumed = await self._caller.resume(other, draft)
        seconds = None
        async for _ in self._caller.follow(resumed, draft):
            seconds = seconds or time.monotonic() - cut_at
        _check(draft, prompt)
        if len(draft.tokens) != 600:
            raise DemoError(f"{len(draft.tokens)} tokens came of 600")
        return (
            f"pid {victim.pid} killed after {n_before} tokens; resumed elsewhere, "
            f"600 tokens, none lost or doubled; first one {seconds or 0:.3f} s later"
        )

    async def _file(self) -> str:
        signature = msgspec.json.decode(
            (EXAMPLES.parent / "signature.json").read_bytes()
        )
        addresses = await self._caller.addresses()
        answers = await asyncio.gather(
            *(
                self._caller.call(
                    address, SERVICE, "file", "signature-hall-gig", signature
                )
                for address in addresses[:2]
            )
        )
        again = await self._caller.call(
            addresses[0], SERVICE, "file", "signature-hall-gig", signature
        )
        if again.status != 200:
            raise DemoError(f"the filing was answered {again.status}: {again.body!r}")
        asked = await self._caller.status(addresses[1], SERVICE, "signature-hall-gig")
        n_runs = await self._count_runs(signature)
        if n_runs != 1:
            raise DemoError(f"the filing ran {n_runs} times")
        statuses = [answer.status for answer in (*answers, again)]
        return f"answered {statuses}, status {asked.status}, ran {n_runs} time"

    async def _stop(self) -> str:
        leaver = self._system.nodes()[0]
        prompt = "A draft during a stop [length=500]"
        draft = Draft()
        stream = await self._caller.start(leaver.address, MODEL, prompt, 1_000)
        async for _ in self._caller.follow(stream, draft):
            if len(draft.tokens) == 20:
                leaver.signal(signal.SIGTERM)
        _check(draft, prompt)
        if not draft.is_whole:
            raise DemoError(f"the draft was cut at {len(draft.tokens)} tokens")
        code = await asyncio.to_thread(leaver.process.wait, READY_SECONDS)
        if code != 0:
            raise DemoError(f"the leaving node exited with {code}")
        self._last_request = draft.generation_id
        return f"draft whole with {len(draft.tokens)} tokens, then {leaver.name} exited"

    async def _timeline(self) -> str:
        whole = timeline.read_files(self._system.logs())
        one = whole.of_request(self._last_request)
        for line in timeline.as_text(one):
            print(f"   {line[:150]}")
        processes = {event.process for event in one.events}
        if len(one.events) < 3:
            raise DemoError("the time line does not show the draft")
        return f"{len(one.events)} events of {len(processes)} processes"

    async def _whole(self, address: Address, prompt: str, draft: Draft) -> None:
        stream = await self._caller.start(address, MODEL, prompt, N_MAX_TOKENS)
        async for _ in self._caller.follow(stream, draft):
            pass

    async def _another_address(self, dead: Child) -> Address:
        for address in await self._caller.addresses():
            if address != dead.address:
                return address
        raise DemoError("no other address is answered")

    async def _count_runs(self, signature: object) -> int:
        client = HttpClient()
        n_runs = 0
        for name, child in self._system.children.items():
            if name.startswith(f"{SERVICE}-"):
                answer = await client.request(child.address, "GET", "/ledger")
                runs = msgspec.json.decode(answer.unwrap().body)["runs"]
                n_runs += sum(run["body"] == signature for run in runs)
        client.close()
        return n_runs


def _check(draft: Draft, prompt: str) -> None:
    """Compare a draft, token by token, with what its one generation made."""
    if not draft.is_whole:
        raise DemoError(f"a draft ended early: {draft.error}")
    for offset, token in enumerate(draft.tokens):
        if token != token_text(prompt, draft.generation_id, offset):
            raise DemoError(f"token {offset} is wrong: {token!r}")


async def _wait_ready(node: Child) -> None:
    client = HttpClient()
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        answer = await client.request(node.address, "GET", "/readyz")
        if answer.is_ok() and answer.unwrap().status == 200:
            client.close()
            return
        await asyncio.sleep(0.05)
    raise DemoError(f"{node.name} does not get ready")


async def _main() -> int:
    layout = Layout(tokens_per_second=TOKENS_PER_SECOND)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="celerytrail-demo-") as folder:
        system = System(folder=Path(folder), layout=layout)
        try:
            await system.start()
            n_processes = len(system.children)
            print(f"{n_processes} processes run", flush=True)
            figures = await Demo(system=system).run()
        finally:
            killed = system.stop()
        if killed:
            print(f"demo: failed, had to be killed: {killed}")
            return 1
        print(await PlatformDemo(folder=Path(folder)).run(), flush=True)
    print(f"\nin {time.monotonic() - started_at:.1f} s: " + "; ".join(figures))
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
