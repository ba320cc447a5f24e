"""The nodes' addresses for callers, with the time for which callers may cache them."""

from __future__ import annotations

import abc
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal
from urllib.parse import parse_qs

from ..clock import Clock
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder

ADDRESS_TTL_SECONDS = 30.0
MAX_LOCAL_NODES = 4
MAX_REMOTE_NODES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberAddress:
    """A node's address and state, as this node knows them.

    Parameters
    ----------
    node : str
        Name of the node.
    address : str
        ``IP:PORT`` at which it serves callers.
    failure_domain, region : str
        Location of the node.
    state : {"alive", "suspect", "leaving", "dead"}
        Membership state; only nodes in state ``alive`` are returned to callers.
    """

    node: str
    address: str
    failure_domain: str
    region: str = ""
    state: Literal["alive", "suspect", "leaving", "dead"] = "alive"


class MemberSource(abc.ABC):
    """Source of the known nodes, including this node."""

    @abc.abstractmethod
    def members(self) -> Iterable[MemberAddress]:
        """Return all known nodes with their states."""


class AddressesApi:
    """Serves ``GET /v1/addresses``.

    Parameters
    ----------
    source : MemberSource
        Source of the known nodes.
    failure_domain, region : str
        Location of this node; used for callers that don't send a failure domain.
    clock : Clock
        Its wall time is the base of ``expires_at``.
    rng : random.Random
        Shuffles nodes of equal rank, so that callers don't all use the same first node.
    address_ttl_seconds : float
        Time for which callers may use an answer, in seconds; a leaving node accepts
        requests for that long.
    """

    def __init__(
        self,
        *,
        source: MemberSource,
        failure_domain: str,
        region: str = "",
        clock: Clock,
        rng: random.Random,
        address_ttl_seconds: float = ADDRESS_TTL_SECONDS,
    ) -> None:
        self._source = source
        self._failure_domain = failure_domain
        self._region = region
        self._clock = clock
        self._rng = rng
        self._address_ttl_seconds = address_ttl_seconds

    def add_routes(self, router: Router) -> None:
        """Register the route."""
        router.add("GET", "/v1/addresses", self._answer)

    def choose(self, failure_domain: str) -> list[MemberAddress]:
        """Return the nodes for a caller, in order of preference.

        Nodes of the caller's failure domain come first, then nodes of other failure
        domains, those of its region before those of other regions, so that a caller
        whose failure domain fails has addresses in another one in its cached answer.
        """
        alive = [m for m in self._source.members() if m.state == "alive"]
        self._rng.shuffle(alive)
        region = next(
            (m.region for m in alive if m.failure_domain == failure_domain),
            self._region,
        )
        local = [m for m in alive if m.failure_domain == failure_domain]
        remote = [m for m in alive if m.failure_domain != failure_domain]
        remote.sort(key=lambda m: m.region != region)
        return (
            local[:MAX_LOCAL_NODES]
            + _interleave_groups(remote, lambda m: m.failure_domain)[:MAX_REMOTE_NODES]
        )

    async def _answer(self, req: Request, res: Responder, params: Params) -> None:
        failure_domain = parse_qs(req.query).get(
            "failure_domain", [self._failure_domain]
        )[0]
        expires_at = round(self._clock.wall() + self._address_ttl_seconds, 3)
        addresses = [
            {
                "address": member.address,
                "failure_domain": member.failure_domain,
                "expires_at": expires_at,
            }
            for member in self.choose(failure_domain)
        ]
        value = {"addresses": addresses, "expires_at": expires_at}
        await res.send_json(200, value, {"cache-control": "no-store"})


def _interleave_groups(
    members: list[MemberAddress], group_of: Callable[[MemberAddress], str]
) -> list[MemberAddress]:
    """Order members so that each group's first precedes every group's second."""
    n_seen: dict[str, int] = {}
    ranked = []
    for position, member in enumerate(members):
        rank = n_seen.get(group_of(member), 0)
        n_seen[group_of(member)] = rank + 1
        ranked.append((rank, position, member))
    ranked.sort(key=lambda item: item[:2])
    return [member for _, _, member in ranked]
