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
    assert live.stream is not None
    if isinstance(chunk, Err) and chunk.err_value.reason != BROKEN_OFF:
        return chunk.err_value.reason
    if splitter.is_overlong:
        return NO_EVENTS
    # A stream may end properly by its framing and yet inside an event.
    is_end = not isinstance(chunk, Err) and splitter.is_empty
    if is_end and live.stream.is_framed:
        return None
    if not isinstance(chunk, Err) and not live.ex.has_ended_in_time(live.stream):
        return TIMEOUT
    end = await _await_orders(live)
    if is_end:
        live.ex.metrics.count("relay_streams_ended_by_close", by_orders=end.value)
        if end is StreamEnd.ENDED:
            return None
    return BROKEN_OFF if end is StreamEnd.ENDED else STOPPED


async def _await_orders(live: LiveRun) -> StreamEnd:
    """Return what orders to stop a run say of its stream, which has ended or broken.

    A stream that is stopped breaks, or ends in order where its body ends with its
    connection. The answer that names the copy to go on from comes a little later.
    """
    assert live.reg is not None
    end = StreamEnd.PENDING
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(END_SECONDS, live.ex.seconds_left)):
            end = await live.stop_orders.await_end(live.reg)
    return end
