"""The callers of one scenario: their requests, the answers and the expected tokens."""

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
class DraftRecord:
    """One draft that a caller requested, and how far it got."""

    caller: Caller
    prompt: str
    n_tokens: int
    draft: Draft = field(default_factory=Draft)
    task: asyncio.Task[None] | None = None
    stream: Stream | None = None
    outcome: Outcome | None = None


@dataclass(kw_only=True)
class CallRecord:
    """One call to a plain service, and its outcome."""

    body: str
    task: asyncio.Task[None] | None = None
    outcome: Outcome | None = None


class Callers:
    """Makes the requests of all callers of one scenario and records the outcomes.

    Parameters
    ----------
    network : Network
        Network on which the callers connect.
    keys : dict
        API key of each organisation.
    """

    def __init__(self, *, network: Network, keys: dict[str, str]) -> None:
        self._callers = {
            name: Caller(key=key, known=(), network=network)
            for name, key in keys.items()
        }
        self.drafts: dict[str, DraftRecord] = {}
        self.calls: dict[str, CallRecord] = {}

    def ask_draft(
        self, organisation: str, address: Address, name: str, n_tokens: int
    ) -> None:
        """Request a draft, which runs in a task of its own."""
        record = DraftRecord(
            caller=self._callers[organisation],
            prompt=f"Draft {name} [length={n_tokens}]",
            n_tokens=n_tokens,
        )
        self.drafts[name] = record
        record.task = asyncio.create_task(self._draft(record, address))

    async def resume(self, name: str, address: Address) -> None:
        """Resume a draft on a new connection after closing its current one."""
        record = self.drafts[name]
        await self.disconnect(name)
        record.outcome = None
        record.draft.error = None
        record.task = asyncio.create_task(self._resume(record, address))

    async def disconnect(self, name: str) -> None:
        """Close the connection of a draft's caller."""
        record = self.drafts[name]
        if record.task is not None and not record.task.done():
            record.task.cancel()
            await asyncio.wait([record.task])
        if record.stream is not None:
            record.stream.close()

    async def cancel(self, name: str, address: Address) -> None:
        """Cancel a draft at any node."""
        record = self.drafts[name]
        await record.caller.cancel(address, record.draft)

    def file(
        self, organisation: str, address: Address, name: str, key: str, body: str
    ) -> None:
        """Make a non-idempotent call, which runs in a task of its own."""
        record = CallRecord(body=f"{key}:{body}")
        caller = self._callers[organisation]
        self.calls[name] = record
        work = caller.call(address, SERVICE, OPERATION, key, {"text": record.body})
        record.task = asyncio.create_task(_call(record, work))

    def ask_status(
        self, organisation: str, address: Address, name: str, key: str
    ) -> None:
        """Request the status of an idempotency key."""
        record = CallRecord(body="")
        self.calls[name] = record
        work = self._callers[organisation].status(address, SERVICE, key)
        record.task = asyncio.create_task(_call(record, work))

    async def wait_end(self, name: str) -> None:
        """Wait until a draft or call has ended."""
        task = self._record(name).task
        if task is not None:
            await asyncio.wait([task])

    async def wait_tokens(self, name: str, n_tokens: int) -> None:
        """Wait until a draft has at least ``n_tokens`` tokens or has ended."""
        record = self.drafts[name]
        while len(record.draft.tokens) < n_tokens:
            if record.task is None or record.task.done():
                return
            await asyncio.sleep(0.01)

    def outcome(self, name: str) -> Outcome:
        """Return how a draft or call ended."""
        return self._record(name).outcome or Outcome(kind="in progress")

    def wrong_tokens(self, name: str) -> str:
        """Return the first wrong token of a draft so far; empty when there is none.

        The stand-in derives token n of a generation from the prompt and the
        generation's id, so a lost, duplicate, swapped or foreign token is found.
        """
        record = self.drafts[name]
        draft = record.draft
        if not draft.tokens:
            return ""
        generation = draft.generation_id
        for offset, token in enumerate(draft.tokens):
            expected = token_text(record.prompt, generation, offset)
            if token != expected:
                return f"token {offset} is {token!r} and should be {expected!r}"
        return ""

    async def close(self) -> None:
        """Cancel all requests in progress and close the callers."""
        tasks = [record.task for record in self.drafts.values()]
        tasks += [record.task for record in self.calls.values()]
        running = [task for task in tasks if task is not None and not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        for caller in self._callers.values():
            caller.close()

    def _record(self, name: str) -> DraftRecord | CallRecord:
        if name in self.drafts:
            return self.drafts[name]
        return self.calls[name]

    async def _draft(self, record: DraftRecord, address: Address) -> None:
        start = record.caller.start(address, MODEL, record.prompt, record.n_tokens * 2)
        await self._follow(record, start)

    async def _resume(self, record: DraftRecord, address: Address) -> None:
        await self._follow(record, record.caller.resume(address, record.draft))

    async def _follow(self, record: DraftRecord, opening: object) -> None:
        try:
            record.stream = await opening  # type: ignore[misc]
        except CallerError as exc:
            record.outcome = _refusal(exc)
            return
        async for _ in record.caller.follow(record.stream, record.draft):
            pass
        record.outcome = _draft_outcome(record)


def new_key(organisation: str) -> str:
    """Return an organisation's API key, which is the same in each run."""
    return hashlib.sha256(f"key of {organisation}".encode()).hexdigest()


def count_runs(ledger: list[dict[str, object]], body: str) -> int:
    """Return how often a call's body appears in an endpoint's ledger of runs."""
    bodies = Counter(msgspec.json.encode(run["body"]) for run in ledger)
    return bodies[msgspec.json.encode({"text": body})]


def _draft_outcome(record: DraftRecord) -> Outcome:
    draft = record.draft
    if draft.is_whole and len(draft.tokens) == record.n_tokens:
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


async def _call(record: CallRecord, work: object) -> None:
    try:
        answer: Response = await work  # type: ignore[misc]
    except CallerError as exc:
        record.outcome = Outcome(kind="unknown", reason=str(exc))
        return
    record.outcome = _call_outcome(answer)


def _call_outcome(answer: Response) -> Outcome:
    body = msgspec.json.decode(answer.body, type=dict[str, Any])
    if "state" in body:
        return Outcome(kind=_OUTCOME_KINDS.get(body["state"], body["state"]))
    if answer.status < 300:
        is_replayed = answer.headers.get(REPLAYED_HEADER) == "true"
        return Outcome(kind="replayed" if is_replayed else "answered")
    error = body.get("error", {})
    reason = str(error.get("reason", error.get("type", "")))
    kind = _OUTCOME_KINDS.get(str(error.get("type")), "refused")
    return Outcome(kind=kind, reason=reason)


_OUTCOME_KINDS = {
    "not_run": "not run",
    "unknown": "unknown",
    "in_progress": "in progress",
}
