"""Operators' tools of the command line: fetch nodes' status, settle open claims."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from .clock import SystemClock
from .http.client import HttpClient
from .nodes.signing import PeerKeys
from .platform.client import PlatformClient
from .platform.table import HttpTable
from .services.sweeper import ClaimSweeper, OpenClaim, Verdict
from .settings import SigningKey
from .status import PROMPT_BLOCKS_PATH, STATUS_PATH
from .types import Address, Finding

ANSWER_TIMEOUT_SECONDS = 5.0


async def fetch_status(
    nodes: Sequence[Address], keys: Sequence[SigningKey]
) -> tuple[list[dict[str, Any]], list[Finding]]:
    """Fetch nodes' status; returns the answers, and a finding per node without one."""
    client = HttpClient(process="status")
    peer_keys = PeerKeys(keys=[key.secret for key in keys])
    headers = peer_keys.headers("GET", STATUS_PATH, b"")
    statuses: list[dict[str, Any]] = []
    findings: list[Finding] = []
    for node in nodes:
        deadline = SystemClock().monotonic() + ANSWER_TIMEOUT_SECONDS
        answer = await client.request(
            node, "GET", STATUS_PATH, headers=headers, deadline=deadline
        )
        if isinstance(answer, Err):
            problem = answer.err_value.reason
            findings.append(Finding(place=str(node), problem=problem))
        elif answer.ok_value.status != 200:
            problem = f"status {answer.ok_value.status}; are the peer keys the same?"
            findings.append(Finding(place=str(node), problem=problem))
        else:
            body = answer.ok_value.body
            statuses.append(msgspec.json.decode(body, type=dict[str, Any]))
    client.close()
    return statuses, findings


async def order_prompt_block(
    node: Address,
    keys: Sequence[SigningKey],
    service: str,
    parts: Sequence[str],
    *,
    is_blocked: bool,
) -> list[Finding]:
    """Block prompts with all of some parts at all nodes, or allow them again.

    One node is told, which tells the others. Returns what went wrong.
    """
    client = HttpClient(process="prompts")
    order = {"service": service, "parts": list(parts), "is_blocked": is_blocked}
    body = msgspec.json.encode(order)
    peer_keys = PeerKeys(keys=[key.secret for key in keys])
    answer = await client.request(
        node,
        "POST",
        PROMPT_BLOCKS_PATH,
        body=body,
        headers=peer_keys.headers("POST", PROMPT_BLOCKS_PATH, body),
        deadline=SystemClock().monotonic() + ANSWER_TIMEOUT_SECONDS,
    )
    client.close()
    if isinstance(answer, Err):
        return [Finding(place=str(node), problem=answer.err_value.reason)]
    if answer.ok_value.status != 200:
        problem = f"status {answer.ok_value.status}; are the peer keys the same?"
        return [Finding(place=str(node), problem=problem)]
    return []


class ClaimSettler:
    """Lists the claims whose outcome is unknown, and settles them.

    A call whose answer was lost stays unknown until a person has checked the endpoint's
    own records. The outcome is never guessed, as a wrong guess would run it twice.

    Parameters
    ----------
    platform : sequence of Address
        The addresses of the platform.
    """

    def __init__(self, *, platform: Sequence[Address]) -> None:
        self._clock = SystemClock()
        self._client = HttpClient(process="claims")
        rng = random.Random()
        exchanger = PlatformClient(
            addresses=tuple(platform), http=self._client, clock=self._clock, rng=rng
        )
        self._sweeper = ClaimSweeper(
            table=HttpTable(exchanger=exchanger), clock=self._clock, rng=rng
        )

    async def list_open(self) -> Result[list[OpenClaim], Finding]:
        """Return all open claims, reading every page of the claims.

        Finished claims are kept for days and fill most pages, so a single page would
        omit most open claims.
        """
        open_claims: list[OpenClaim] = []
        after = ""
        while True:
            listed = await self._sweeper.open_claims(self._deadline(), after=after)
            if isinstance(listed, Err):
                return Err(Finding(place="platform", problem=listed.err_value.reason))
            page = listed.ok_value
            open_claims.extend(page.claims)
            if page.next_after is None:
                return Ok(open_claims)
            after = page.next_after

    async def settle(
        self, row_key: str, verdict: Verdict, by: str
    ) -> Result[None, Finding]:
        """Record the outcome of an open claim as a person determined it."""
        listed = await self.list_open()
        if isinstance(listed, Err):
            return Err(listed.err_value)
        for open_claim in listed.ok_value:
            if open_claim.row_key == row_key:
                return await self._sweeper.settle(
                    open_claim, verdict, by=by, deadline=self._deadline()
                )
        problem = "no open claim has this key; its call may still be running"
        return Err(Finding(place=row_key, problem=problem))

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _deadline(self) -> float:
        return self._clock.monotonic() + ANSWER_TIMEOUT_SECONDS
