"""Sends a generation's tokens to its caller, as a stream or collected."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..engines.streams import EngineStream, StreamLost
from ..engines.wire import Finished, Tokens
from ..http.server import Responder
from .answers import lost_error
from .shapes import EVENT_STREAM_TYPE, EventWriter

PROGRESS_INTERVAL_TOKENS = 32
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivery:
    """One answer that is being sent to one caller.

    Parameters
    ----------
    stream : EngineStream
        The stream of the generation's tokens.
    first : Tokens or Finished
        The first tokens or the end, already read from the stream.
    ticket : str
        The ticket's text.
    on_progress : callable
        Called with the number of tokens after each `PROGRESS_INTERVAL_TOKENS`.
    """

    stream: EngineStream
    first: Tokens | Finished
    ticket: str
    on_progress: Callable[[int], None]


async def deliver_events(
    delivery: Delivery,
    res: Responder,
    writer: EventWriter,
    headers: dict[str, str],
    *,
    is_new: bool,
    does_include_usage: bool,
) -> Finished | StreamLost:
    """Stream an answer as server-sent events until it is complete or lost.

    Raises
    ------
    PeerError
        If the caller has disconnected or hasn't read for too long.
    """
    stream = delivery.stream
    res.start(
        200,
        {
            **headers,
            "content-type": EVENT_STREAM_TYPE,
            "cache-control": "no-store",
            "x-ticket": delivery.ticket,
        },
    )
    opening = writer.opening(0) if is_new else b""
    item: Tokens | Finished | StreamLost = delivery.first
    next_progress = stream.offset + PROGRESS_INTERVAL_TOKENS
    while isinstance(item, Tokens):
        # This wait is the backpressure: while the caller reads slowly, the engine's
        # stream isn't read, and the engine keeps the tokens.
        await res.write(opening + writer.tokens(item))
        opening = b""
        if stream.offset >= next_progress:
            delivery.on_progress(stream.offset)
            next_progress = stream.offset + PROGRESS_INTERVAL_TOKENS
        result = await stream.next()
        item = result.ok_value if isinstance(result, Ok) else result.err_value
    outcome = _cancelled_as_lost(item)
    if isinstance(outcome, StreamLost):
        event_id = f"{delivery.ticket}.{stream.offset}"
        await res.write(
            opening + writer.error(stream.offset, lost_error(outcome, event_id))
        )
    else:
        ending = writer.ending(outcome, does_include_usage=does_include_usage)
        await res.write(opening + ending)
    await res.finish()
    log_message(
        "callers:stream_ended",
        n_tokens=stream.offset,
        end=outcome.reason if isinstance(outcome, StreamLost) else outcome.end,
    )
    return outcome


async def collect_tokens(
    delivery: Delivery,
) -> Result[tuple[list[bytes], Finished], StreamLost]:
    """Collect all tokens of an answer, as JSON strings."""
    stream = delivery.stream
    tokens: list[bytes] = []
    n_bytes = 0
    item: Tokens | Finished | StreamLost = delivery.first
    while isinstance(item, Tokens):
        tokens += item.tokens
        n_bytes += sum(len(token) for token in item.tokens)
        if n_bytes > MAX_ANSWER_BYTES:
            lost = StreamLost(
                reason="too_large", n_tokens=stream.offset, can_resume=False
            )
            return Err(lost)
        result = await stream.next()
        item = result.ok_value if isinstance(result, Ok) else result.err_value
    outcome = _cancelled_as_lost(item)
    if isinstance(outcome, StreamLost):
        return Err(outcome)
    return Ok((tokens, outcome))


def _cancelled_as_lost(item: Finished | StreamLost) -> Finished | StreamLost:
    """Return a cancelled end as a lost stream, and any other outcome as it is.

    Sent as an ordinary end, a partial answer would look complete to the caller.
    """
    if isinstance(item, Finished) and item.end == "cancelled":
        return StreamLost(reason="cancelled", n_tokens=item.n_tokens, can_resume=False)
    return item
