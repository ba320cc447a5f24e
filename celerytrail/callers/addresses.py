"""Which addresses callers should use, and for how long they may keep the answer."""

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

ADDRESS_SECONDS = 30.0
MAX_NEAR = 4
MAX_FAR = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberAddress:
    """A node as this node knows it.

    Parameters
    ----------
    node : str
        Its name.
    address : str
        ``IP:PORT`` at which it takes callers.
    failure_domain, region : str
        Where it runs.
    state : {"alive", "suspect", "leaving", "dead"}
        Only those alive are named to callers.
    """

    node: str
    address: str
    failure_domain: str
    region: str = ""
    state: Literal["alive", "suspect", "leaving", "dead"] = "alive"


class MemberSource(abc.ABC):
    """Knows the nodes, this one included."""

    @abc.abstractmethod
    def members(self) -> Iterable[MemberAddress]:
        """Return all nodes that are known, with their states."""


class AddressesApi:
    """Answers ``GET /v1/addresses``.

    Parameters
    ----------
    source : MemberSource
        Where the nodes are known.
    failure_domain, region : str
        Those of this node, taken as the caller's where it names none.
    clock : Clock
        Its wall time dates the expiry.
    rng : random.Random
        Shuffles equals, so that callers don't all take the same first node.
    address_seconds : float
        For how long an answer may be used; a leaving node stays open that long.
    """

    def __init__(
        self,
        *,
        source: MemberSource,
        failure_domain: str,
        region: str = "",
        clock: Clock,
        rng: random.Random,
        address_seconds: float = ADDRESS_SECONDS,
    ) -> None:
        self._source = source
        self._failure_domain = failure_domain
        self._region = region
        self._clock = clock
        self._rng = rng
        self._address_seconds = address_seconds

    def add_routes(self, router: Router) -> None:
        """Serve the route."""
        router.add("GET", "/v1/addresses", self._answer)

    def choose(self, failure_domain: str) -> list[MemberAddress]:
        """Return nodes to use, best first.

        First come some of the caller's failure domain, then some of its region
        elsewhere, then of other regions: a caller whose failure domain is lost finds
        another in the answer that it holds.
        """
        alive = [m for m in self._source.members() if m.state == "alive"]
        self._rng.shuffle(alive)
        region = next(
            (m.region for m in alive if m.failure_domain == failure_domain),
            self._region,
        )
        near = [m for m in alive if m.failure_domain == failure_domain]
        far = [m for m in alive if m.failure_domain != failure_domain]
        far.sort(key=lambda m: m.region != region)
        return near[:MAX_NEAR] + _spread(far, lambda m: m.failure_domain)[:MAX_FAR]

    async def _answer(self, req: Request, res: Responder, params: Params) -> None:
        asked = parse_qs(req.query).get("failure_domain", [self._failure_domain])[0]
        expires_at = round(self._clock.wall() + self._address_seconds, 3)
        addresses = [
            {
                "address": member.address,
                "failure_domain": member.failure_domain,
                "expires_at": expires_at,
            }
            for member in self.choose(asked)
        ]
        value = {"addresses": addresses, "expires_at": expires_at}
        await res.send_json(200, value, {"cache-control": "no-store"})


def _spread(
    members: list[MemberAddress], group: Callable[[MemberAddress], str]
) -> list[MemberAddress]:
    """Order members so that each group's first comes before any group's second."""
    n_seen: dict[str, int] = {}
    ranked = []
    for number, member in enumerate(members):
        rank = n_seen.get(group(member), 0)
        n_seen[group(member)] = rank + 1
        ranked.append((rank, number, member))
    ranked.sort(key=lambda item: item[:2])
    return [member for _, _, member in ranked]
