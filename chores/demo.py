"""The demo: a whole system on this machine, with failures and a check at each step."""

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
NODE_TIMEOUT_SECONDS = 15.0
MAX_TOKENS = 400
TOKENS_PER_SECOND = 150.0


class DemoError(Exception):
    """Raised when a step of the demo does not give the expected result."""


class Demo:
    """The demo's steps against a running system.

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
        """Run all steps; return a line of measured figures for each."""
        steps: list[tuple[str, Callable[[], Awaitable[str]]]] = [
            ("an operator enters the document", self._enter_document),
            ("concurrent drafts of unknown length", self._run_concurrent_drafts),
            ("a node is killed during a draft", self._kill_node),
            (
                "a signature is filed several times with one idempotency key",
                self._file_repeatedly,
            ),
            ("a node stops gracefully during a draft", self._stop_node),
            ("the timeline of that draft", self._show_timeline),
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
        addresses = tuple(node.address for node in self._system.nodes())
        self._caller = Caller(key=keys[ORGANISATION], known=addresses)
        return f"version {version} in force at all nodes {seconds:.2f} s later"

    async def _run_concurrent_drafts(self) -> str:
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
                self._run_draft(addresses[n % len(addresses)], prompt, drafts[n])
                for n, prompt in enumerate(prompts)
            )
        )
        for prompt, draft in zip(prompts, drafts, strict=True):
            _check_draft(draft, prompt)
        lengths = sorted(len(draft.tokens) for draft in drafts)
        return f"{len(drafts)} drafts complete, of {lengths} tokens"

    async def _kill_node(self) -> str:
        killed_node = self._system.nodes()[0]
        prompt = "A long draft [length=600]"
        draft = Draft()
        stream = await self._caller.start(killed_node.address, MODEL, prompt, 1_000)
        async for _ in self._caller.follow(stream, draft):
            if len(draft.tokens) == 60:
                killed_node.process.kill()
                break
        stream.close()
        n_tokens_before = len(draft.tokens)
        killed_at = time.monotonic()
        other = await self._other_address(killed_node)
        resumed = await self._caller.resume(other, draft)
        seconds = None
        async for _ in self._caller.follow(resumed, draft):
            seconds = seconds or time.monotonic() - killed_at
        _check_draft(draft, prompt)
        if len(draft.tokens) != 600:
            raise DemoError(f"received {len(draft.tokens)} of 600 tokens")
        return (
            f"pid {killed_node.pid} killed after {n_tokens_before} tokens; resumed at "
            f"another node, 600 tokens, none lost or duplicated; first after "
            f"{seconds or 0:.3f} s"
        )

    async def _file_repeatedly(self) -> str:
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
        repeated = await self._caller.call(
            addresses[0], SERVICE, "file", "signature-hall-gig", signature
        )
        if repeated.status != 200:
            raise DemoError(
                f"the repeated filing returned {repeated.status}: {repeated.body!r}"
            )
        status = await self._caller.status(addresses[1], SERVICE, "signature-hall-gig")
        n_runs = await self._count_runs(signature)
        if n_runs != 1:
            raise DemoError(f"the filing ran {n_runs} times")
        statuses = [answer.status for answer in (*answers, repeated)]
        return f"answered {statuses}, status {status.status}, ran {n_runs} time"

    async def _stop_node(self) -> str:
        leaving_node = self._system.nodes()[0]
        prompt = "A draft during a stop [length=500]"
        draft = Draft()
        stream = await self._caller.start(leaving_node.address, MODEL, prompt, 1_000)
        async for _ in self._caller.follow(stream, draft):
            if len(draft.tokens) == 20:
                leaving_node.signal(signal.SIGTERM)
        _check_draft(draft, prompt)
        if not draft.is_whole:
            raise DemoError(f"the draft ended after {len(draft.tokens)} tokens")
        code = await asyncio.to_thread(leaving_node.process.wait, NODE_TIMEOUT_SECONDS)
        if code != 0:
            raise DemoError(f"the leaving node exited with status {code}")
        self._timeline_generation_id = draft.generation_id
        return (
            f"draft complete, {len(draft.tokens)} tokens; "
            f"{leaving_node.name} exited after it"
        )

    async def _show_timeline(self) -> str:
        full_timeline = timeline.read_files(self._system.logs())
        draft_timeline = full_timeline.of_request(self._timeline_generation_id)
        for line in timeline.as_text(draft_timeline):
            print(f"   {line[:150]}")
        processes = {event.process for event in draft_timeline.events}
        if len(draft_timeline.events) < 3:
            raise DemoError("the timeline has fewer than 3 events of the draft")
        return f"{len(draft_timeline.events)} events of {len(processes)} processes"

    async def _run_draft(self, address: Address, prompt: str, draft: Draft) -> None:
        stream = await self._caller.start(address, MODEL, prompt, MAX_TOKENS)
        async for _ in self._caller.follow(stream, draft):
            pass

    async def _other_address(self, excluded: Child) -> Address:
        for address in await self._caller.addresses():
            if address != excluded.address:
                return address
        raise DemoError("the nodes returned no other address")

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


def _check_draft(draft: Draft, prompt: str) -> None:
    """Check that a draft is complete and each token comes from its generation."""
    if not draft.is_whole:
        raise DemoError(f"a draft is incomplete: {draft.error}")
    for offset, token in enumerate(draft.tokens):
        if token != token_text(prompt, draft.generation_id, offset):
            raise DemoError(f"token {offset} is wrong: {token!r}")


async def _wait_ready(node: Child) -> None:
    client = HttpClient()
    deadline = time.monotonic() + NODE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        answer = await client.request(node.address, "GET", "/readyz")
        if answer.is_ok() and answer.unwrap().status == 200:
            client.close()
            return
        await asyncio.sleep(0.05)
    raise DemoError(f"{node.name} did not become ready")


async def _main() -> int:
    layout = Layout(tokens_per_second=TOKENS_PER_SECOND)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="celerytrail-demo-") as folder:
        system = System(folder=Path(folder), layout=layout)
        try:
            await system.start()
            n_processes = len(system.children)
            print(f"{n_processes} processes started", flush=True)
            figures = await Demo(system=system).run()
        finally:
            killed = system.stop()
        if killed:
            print(f"demo: failed, processes killed after a timeout: {killed}")
            return 1
        print(await PlatformDemo(folder=Path(folder)).run(), flush=True)
    print(f"\nin {time.monotonic() - started_at:.1f} s: " + "; ".join(figures))
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
