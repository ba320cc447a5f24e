"""Tells streams that ended with their runs from those that broke or were stopped."""

from __future__ import annotations

import asyncio
import contextlib

from result import Err, Result

from ..http.client import RequestLost
from ..policies.runstops import StreamEnd
from .events import EventSplitter
from .liverun import LiveRun
from .outcomes import BROKEN_OFF, TIMEOUT

# Reasons for which a stream doesn't go on: its engine sends bytes that are no events,
# or was told to stop the run.
NO_EVENTS = "no_events"
STOPPED = "stopped"
# How long the end of a stream waits for the answers to orders to stop its run, in
# seconds. Without them the run goes on from a copy.
END_SECONDS = 1.0


async def find_break(
    live: LiveRun, chunk: Result[bytes | None, RequestLost], splitter: EventSplitter
) -> str | None:
    """Return why a stream doesn't go on at its engine, None if its run has ended.

    Parameters
    ----------
    live : LiveRun
        The run.
    chunk : Result
        What was read last: a chunk that makes no event, the end of the body, or an
        error.
    splitter : EventSplitter
        Holds what was read of an event.
    """
    assert live.reg is not None and live.stream is not None
    if isinstance(chunk, Err) and chunk.err_value.reason != BROKEN_OFF:
        return chunk.err_value.reason
    if splitter.is_overlong:
        return NO_EVENTS
    if not isinstance(chunk, Err):
        if not live.ex.has_ended_in_time(live.stream):
            return TIMEOUT
        # A stream may end properly by its framing and yet inside an event.
        if splitter.is_empty and await _has_ended(live):
            return None
    is_stopped = live.stop_orders.judge_end(live.reg) is not StreamEnd.ENDED
    return STOPPED if is_stopped else BROKEN_OFF


async def _has_ended(live: LiveRun) -> bool:
    """Return whether a run has ended whose stream its engine has closed in order.

    Where a body ends with its connection, a run that was told to stop looks the same.
    """
    assert live.reg is not None and live.stream is not None
    if live.stream.is_framed:
        return True
    end = StreamEnd.PENDING
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(END_SECONDS, live.ex.seconds_left)):
            end = await live.stop_orders.await_end(live.reg)
    live.ex.metrics.count("relay_streams_ended_by_close", by_orders=end.value)
    return end is StreamEnd.ENDED
