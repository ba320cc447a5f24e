"""Handlers that return callers' addresses to connect to, and this node's readiness."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..http.messages import Request
from ..http.server import Handler, Responder
from ..nodes.member import Member, State
from ..nodes.nodes import Nodes
from ..platform import wire
from ..policies import homes
from ..policies.reach import listed_nodes
from ..types import Address

MAX_ADDRESSES = 64
# How long an answer may be cached, in seconds. Callers keep one up to three times as
# long, and an address whose VM no longer exists costs them a second per try.
ADDRESS_SECONDS = 2.0


def choose_addresses(
    members: list[Member],
    region: str,
    failure_domain: str,
    rng: random.Random,
    is_cut_off: Callable[[Member], bool] = lambda _: False,
) -> list[Address]:
    """Return the addresses of nodes that serve, those in the failure domain first.

    Nodes of another region are returned only if the caller's has none. Nodes that are
    cut off from endpoints are left out as long as the others suffice.

    If no node is alive, all that aren't known to be dead are returned: with an empty
    answer callers would have no address to try.
    """
    serving = [member for member in members if member.state is State.ALIVE]
    if not serving:
        serving = [member for member in members if member.state is not State.DEAD]
    serving = homes.in_region(serving, region, lambda member: member.region)
    serving = list(listed_nodes(serving, is_cut_off))
    rng.shuffle(serving)
    serving.sort(key=lambda member: member.failure_domain != failure_domain)
    return [member.caller for member in serving[:MAX_ADDRESSES]]


class DirectoryHandler(Handler):
    """Handles callers' requests for addresses to connect to.

    Parameters
    ----------
    nodes : Nodes
        The known nodes.
    max_seconds : float
        Upper limit on how long callers may cache an answer.
    rng : random.Random
        Shuffles the addresses within a failure domain.
    is_cut_off : callable
        Returns whether a node is cut off from endpoints.
    """

    def __init__(
        self,
        *,
        nodes: Nodes,
        max_seconds: float,
        rng: random.Random,
        is_cut_off: Callable[[Member], bool] = lambda _: False,
    ) -> None:
        self._nodes = nodes
        self._seconds = min(ADDRESS_SECONDS, max_seconds)
        self._rng = rng
        self._is_cut_off = is_cut_off

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one request."""
        if req.path != wire.ADDRESSES_PATH:
            await res.send(404)
            return
        domain = wire.requested_domain(req)
        region = wire.requested_region(req)
        addresses = choose_addresses(
            list(self._nodes.members()), region, domain, self._rng, self._is_cut_off
        )
        body = wire.encode_addresses(addresses, self._seconds)
        await res.send(200, body, {"content-type": "application/json"})


class ReadinessHandler(Handler):
    """Handles the platform's readiness checks.

    Parameters
    ----------
    is_ready : callable
        Returns whether callers should be sent to this node.
    paused_tasks : callable
        Returns the names of tasks that have ended unexpectedly and will start again.
    """

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        paused_tasks: Callable[[], list[str]],
    ) -> None:
        self._is_ready = is_ready
        self._paused_tasks = paused_tasks

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one check."""
        if req.path != wire.READINESS_PATH:
            await res.send(404)
            return
        status = 200 if self._is_ready() else 503
        await res.send_json(status, {"paused_tasks": self._paused_tasks()})
