"""When this process will be killed, and which requests can end before."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..model import RelayConfig, RequestMetadata, Route
from ..policies.answertimes import AnswerTimes
from ..policies.stopping import (
    CALL_MARGIN_SECONDS,
    MARGIN_SECONDS,
    can_finish,
    generation_seconds,
)

# Reason for which a request isn't sent on, and for which one that was sent on is given
# up: this process is about to be killed.
STOPPING = "stopping"
STOPPED = "node_stopped"
# Time before the kill at which requests without an answer are given up, in seconds:
# enough for their error answers to reach the callers.
LAST_ANSWER_SECONDS = 0.1
# Retry-After when other nodes serve, in seconds: the caller can try another address at
# once.
OTHER_NODE_RETRY_SECONDS = 0.1
# Retry-After when no other node serves, in seconds: the store is then unavailable to
# all nodes, and outages last seconds. With a short value callers used up their tries
# during the outage, and a third of their requests were refused on the last try.
OUTAGE_RETRY_SECONDS = 2.0


class Shutdown:
    """Knows when this process will be killed, and which requests can end before.

    A node that isn't stopping sends everything on.

    Parameters
    ----------
    has_others : callable
        Returns whether another node serves callers.
    """

    def __init__(self, *, has_others: Callable[[], bool]) -> None:
        self._has_others = has_others
        # In loop time; None until the process is asked to stop.
        self.killed_at: float | None = None
        self.answer_times = AnswerTimes()
        self._unanswered: set[asyncio.Future[None]] = set()

    def begin(self, killed_at: float) -> None:
        """Record the loop time at which this process will be killed."""
        self.killed_at = killed_at
        loop = asyncio.get_running_loop()
        loop.call_at(killed_at - LAST_ANSWER_SECONDS, self._give_up)

    @property
    def retry_seconds(self) -> float:
        """Return the Retry-After of a request that another node may serve."""
        return OTHER_NODE_RETRY_SECONDS if self._has_others() else OUTAGE_RETRY_SECONDS

    def can_call(self, service: str, route: Route, seconds_left: float) -> bool:
        """Return whether a request that is sent to an endpoint now has its answer.

        Endpoints whose answers aren't known are expected to take the route's target.

        Parameters
        ----------
        service : str
            The request's service.
        route : Route
            Its route.
        seconds_left : float
            The time until it is given up anyway.
        """
        if self.killed_at is None:
            return True
        now = asyncio.get_running_loop().time()
        expected = self.answer_times.expected_seconds(
            service, route.name, now, default=route.target_latency_seconds
        )
        seconds = min(expected, seconds_left)
        return can_finish(seconds, now, self.killed_at, CALL_MARGIN_SECONDS)

    def can_generate(self, facts: RequestMetadata, n_made_tokens: int) -> bool:
        """Return whether a generation that is sent to an engine now ends.

        ``n_made_tokens`` is how many of its tokens its caller has.
        """
        if self.killed_at is None:
            return True
        now = asyncio.get_running_loop().time()
        seconds = generation_seconds(facts, n_made_tokens)
        return can_finish(seconds, now, self.killed_at, MARGIN_SECONDS)

    def expire(self, cfg: RelayConfig | None) -> None:
        """Forget the answers of services that the configuration doesn't name."""
        if cfg is not None:
            self.answer_times.keep(set(cfg.services))

    @contextmanager
    def watch(self) -> Iterator[asyncio.Future[None]]:
        """Yield a future that is done when an unanswered request has to be given up."""
        fut = asyncio.get_running_loop().create_future()
        self._unanswered.add(fut)
        try:
            yield fut
        finally:
            self._unanswered.discard(fut)
            fut.cancel()

    def _give_up(self) -> None:
        for fut in self._unanswered:
            if not fut.done():
                fut.set_result(None)
