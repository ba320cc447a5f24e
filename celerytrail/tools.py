"""What the command line's tools for a person do: ask nodes, settle open claims."""

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
from .status import STATUS_PATH
from .types import Address, Finding

ANSWER_SECONDS = 5.0


async def fetch_status(
    nodes: Sequence[Address], keys: Sequence[SigningKey]
) -> tuple[list[dict[str, Any]], list[Finding]]:
    """Ask nodes for their state; returns the answers and who gave none."""
    client = HttpClient(process="status")
    peer_keys = PeerKeys(keys=[key.secret for key in keys])
    headers = peer_keys.headers("GET", STATUS_PATH, b"")
    found: list[dict[str, Any]] = []
    findings: list[Finding] = []
    for node in nodes:
        deadline = SystemClock().monotonic() + ANSWER_SECONDS
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
            found.append(msgspec.json.decode(body, type=dict[str, Any]))
    client.close()
    return found, findings


class ClaimDesk:
    """Lists the claims whose outcome nobody knows, and settles them.

    A filing whose answer was lost stays unknown until a person has looked at the
    endpoint's own books; nothing here may guess, since a wrong guess files twice.

    Parameters
    ----------
    platform : sequence of Address
        Where the platform listens.
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
        """Return all open claims, reading page after page of all claims.

        Finished claims stand between them for days; one page alone would hide most
        open ones from whoever has to settle them.
        """
        found: list[OpenClaim] = []
        after = ""
        while True:
            listed = await self._sweeper.open_claims(self._deadline(), after=after)
            if isinstance(listed, Err):
                return Err(Finding(place="platform", problem=listed.err_value.reason))
            page = listed.ok_value
            found.extend(page.claims)
            if page.next_after is None:
                return Ok(found)
            after = page.next_after

    async def settle(
        self, row_key: str, verdict: Verdict, by: str
    ) -> Result[None, Finding]:
        """Record what a person found out of one open claim."""
        listed = await self.list_open()
        if isinstance(listed, Err):
            return Err(listed.err_value)
        for opened in listed.ok_value:
            if opened.row_key == row_key:
                return await self._sweeper.settle(
                    opened, verdict, by=by, deadline=self._deadline()
                )
        problem = "no open claim has this key; its call may still be running"
        return Err(Finding(place=row_key, problem=problem))

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _deadline(self) -> float:
        return self._clock.monotonic() + ANSWER_SECONDS
