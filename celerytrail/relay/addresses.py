"""Tells callers which addresses to use, and the platform whether this node is ready."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..http.messages import Request
from ..http.server import Handler, Responder
from ..nodes.member import Member, State
from ..nodes.nodes import Nodes
from ..platform import wire
from ..types import Address

MAX_ADDRESSES = 64
# For how long an answer may be used, in seconds: short, as callers keep one up to three
# times as long, and one that names a VM that has gone costs them a second each time.
ADDRESS_SECONDS = 2.0


def choose_addresses(
    members: list[Member], failure_domain: str, rng: random.Random
) -> list[Address]:
    """Return where callers may connect: those that serve, near ones first.

    Where none says that it serves, all that may live are named: an empty answer would
    leave callers with nothing to try.
    """
    serving = [member for member in members if member.state is State.ALIVE]
    if not serving:
        serving = [member for member in members if member.state is not State.DEAD]
    rng.shuffle(serving)
    serving.sort(key=lambda member: member.failure_domain != failure_domain)
    return [member.caller for member in serving[:MAX_ADDRESSES]]


class DirectoryHandler(Handler):
    """Answers callers that ask where to connect.

    Parameters
    ----------
    nodes : Nodes
        The nodes that are known.
    max_seconds : float
        How long callers may keep an answer at most.
    rng : random.Random
        Shuffles equals.
    """

    def __init__(self, *, nodes: Nodes, max_seconds: float, rng: random.Random) -> None:
        self._nodes = nodes
        self._seconds = min(ADDRESS_SECONDS, max_seconds)
        self._rng = rng

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one question."""
        if req.path != wire.ADDRESSES_PATH:
            await res.send(404)
            return
        domain = wire.asked_domain(req)
        addresses = choose_addresses(list(self._nodes.members()), domain, self._rng)
        body = wire.encode_addresses(addresses, self._seconds)
        await res.send(200, body, {"content-type": "application/json"})


class ReadinessHandler(Handler):
    """Answers the platform's own check.

    Parameters
    ----------
    is_ready : callable
        Whether callers should be sent here.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, req: Request, res: Responder) -> None:
        """Answer one check."""
        if req.path != wire.READINESS_PATH:
            await res.send(404)
            return
        await res.send(200 if self._is_ready() else 503)
