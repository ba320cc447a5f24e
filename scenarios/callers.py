"""The callers of one scenario: what they asked for, what they got, what is right."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from celerytrail.http.client import Stream
from celerytrail.http.messages import Response
from celerytrail.http.network import Network
from celerytrail.types import Address
from chores.caller import Caller, CallerError, Draft
from standins.batch import token_text

from .driver import Outcome

REPLAYED_HEADER = "celerytrail-replayed"
SERVICE = "bookings"
OPERATION = "file"
MODEL = "contracts"


@dataclass(kw_only=True)
class Drafting:
    """One draft that a caller asked for."""

    caller: Caller
    prompt: str
    n_tokens: int
    draft: Draft = field(default_factory=Draft)
    task: asyncio.Task[None] | None = None
    stream: Stream | None = None
    outcome: Outcome | None = None


@dataclass(kw_only=True)
class Calling:
    """One call to a plain service."""

    body: str
    task: asyncio.Task[None] | None = None
    outcome: Outcome | None = None


class Callers:
    """All callers of one scenario.

    Parameters
    ----------
    network : Network
        What carries their connections.
    keys : dict
        Organisations to API keys.
    """

    def __init__(self, *, network: Network, keys: dict[str, str]) -> None:
        self._callers = {
            name: Caller(key=key, known=(), network=network)
            for name, key in keys.items()
        }
        self.drafts: dict[str, Drafting] = {}
        self.calls: dict[str, Calling] = {}

    def ask_draft(
        self, organisation: str, address: Address, name: str, n_tokens: int
    ) -> None:
        """Ask for a draft, which goes on by itself."""
        drafting = Drafting(
            caller=self._callers[organisation],
            prompt=f"Draft {name} [length={n_tokens}]",
            n_tokens=n_tokens,
        )
        self.drafts[name] = drafting
        drafting.task = asyncio.create_task(self._draft(drafting, address))

    async def resume(self, name: str, address: Address) -> None:
        """Take a draft up again, giving up the connection it came on."""
        drafting = self.drafts[name]
        await self.disconnect(name)
        drafting.outcome = None
        drafting.draft.error = None
        drafting.task = asyncio.create_task(self._resume(drafting, address))

    async def disconnect(self, name: str) -> None:
        """Let a draft's caller go away."""
        drafting = self.drafts[name]
        if drafting.task is not None and not drafting.task.done():
            drafting.task.cancel()
            await asyncio.wait([drafting.task])
        if drafting.stream is not None:
            drafting.stream.close()

    async def cancel(self, name: str, address: Address) -> None:
        """Cancel a draft at any node."""
        drafting = self.drafts[name]
        await drafting.caller.cancel(address, drafting.draft)

    def file(
        self, organisation: str, address: Address, name: str, key: str, body: str
    ) -> None:
        """Make a call that may not be repeated; it goes on by itself."""
        calling = Calling(body=f"{key}:{body}")
        caller = self._callers[organisation]
        self.calls[name] = calling
        work = caller.call(address, SERVICE, OPERATION, key, {"text": calling.body})
        calling.task = asyncio.create_task(_call(calling, work))

    def ask_status(
        self, organisation: str, address: Address, name: str, key: str
    ) -> None:
        """Ask what became of a key."""
        calling = Calling(body="")
        self.calls[name] = calling
        work = self._callers[organisation].status(address, SERVICE, key)
        calling.task = asyncio.create_task(_call(calling, work))

    async def wait_end(self, name: str) -> None:
        """Wait until a draft or call has ended."""
        task = self._item(name).task
        if task is not None:
            await asyncio.wait([task])

    async def wait_tokens(self, name: str, n_tokens: int) -> None:
        """Wait until a draft has so many tokens, or has ended."""
        drafting = self.drafts[name]
        while len(drafting.draft.tokens) < n_tokens:
            if drafting.task is None or drafting.task.done():
                return
            await asyncio.sleep(0.01)

    def outcome(self, name: str) -> Outcome:
        """Return how a draft or call ended."""
        return self._item(name).outcome or Outcome(kind="in progress")

    def wrong_tokens(self, name: str) -> str:
        """Return what is wrong with a draft's tokens so far; empty for nothing.

        The oracle is the stand-in's own rule: token n of a generation is known, so a
        lost, doubled, swapped or foreign token shows.
        """
        drafting = self.drafts[name]
        draft = drafting.draft
        if not draft.tokens:
            return ""
        generation = draft.generation_id
        for offset, token in enumerate(draft.tokens):
            right = token_text(drafting.prompt, generation, offset)
            if token != right:
                return f"token {offset} is {token!r} and should be {right!r}"
        return ""

    async def close(self) -> None:
        """End all that still goes on."""
        tasks = [drafting.task for drafting in self.drafts.values()]
        tasks += [calling.task for calling in self.calls.values()]
        running = [task for task in tasks if task is not None and not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        for caller in self._callers.values():
            caller.close()

    def _item(self, name: str) -> Drafting | Calling:
        if name in self.drafts:
            return self.drafts[name]
        return self.calls[name]

    async def _draft(self, drafting: Drafting, address: Address) -> None:
        start = drafting.caller.start(
            address, MODEL, drafting.prompt, drafting.n_tokens * 2
        )
        await self._follow(drafting, start)

    async def _resume(self, drafting: Drafting, address: Address) -> None:
        await self._follow(drafting, drafting.caller.resume(address, drafting.draft))

    async def _follow(self, drafting: Drafting, opening: object) -> None:
        try:
            drafting.stream = await opening  # type: ignore[misc]
        except CallerError as exc:
            drafting.outcome = _refusal(exc)
            return
        async for _ in drafting.caller.follow(drafting.stream, drafting.draft):
            pass
        drafting.outcome = _draft_outcome(drafting)


def new_key(organisation: str) -> str:
    """Return an organisation's API key; the same one in each run."""
    return hashlib.sha256(f"key of {organisation}".encode()).hexdigest()


def count_runs(ledger: list[dict[str, object]], body: str) -> int:
    """Return how often an endpoint's ledger says that a call's body was run."""
    bodies = Counter(msgspec.json.encode(run["body"]) for run in ledger)
    return bodies[msgspec.json.encode({"text": body})]


def _draft_outcome(drafting: Drafting) -> Outcome:
    draft = drafting.draft
    if draft.is_whole and len(draft.tokens) == drafting.n_tokens:
        return Outcome(kind="whole")
    error = draft.error or {}
    reason = str(error.get("reason", "connection_cut"))
    if reason == "cancelled":
        return Outcome(kind="cancelled", reason=reason)
    return Outcome(kind="cut", reason=reason)


def _refusal(exc: CallerError) -> Outcome:
    reason = str(exc.error.get("reason", exc.error.get("type", "connection_cut")))
    if exc.error.get("not_run") is True:
        return Outcome(kind="not run", reason=reason)
    if exc.status == 0:
        return Outcome(kind="cut", reason=reason)
    return Outcome(kind="refused", reason=reason)


async def _call(calling: Calling, work: object) -> None:
    try:
        answer: Response = await work  # type: ignore[misc]
    except CallerError as exc:
        calling.outcome = Outcome(kind="unknown", reason=str(exc))
        return
    calling.outcome = _call_outcome(answer)


def _call_outcome(answer: Response) -> Outcome:
    body = msgspec.json.decode(answer.body, type=dict[str, Any])
    if "state" in body:
        return Outcome(kind=_KINDS.get(body["state"], body["state"]))
    if answer.status < 300:
        is_replayed = answer.headers.get(REPLAYED_HEADER) == "true"
        return Outcome(kind="replayed" if is_replayed else "answered")
    error = body.get("error", {})
    reason = str(error.get("reason", error.get("type", "")))
    kind = _KINDS.get(str(error.get("type")), "refused")
    return Outcome(kind=kind, reason=reason)


_KINDS = {"not_run": "not run", "unknown": "unknown", "in_progress": "in progress"}
