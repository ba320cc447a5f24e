"""Gives a generation's tokens to its caller, streamed or whole."""

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

PROGRESS_TOKENS = 32
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivery:
    """One answer on its way to one caller.

    Parameters
    ----------
    stream : EngineStream
        Where the tokens come from.
    first : Tokens or Finished
        What has come of it already.
    ticket : str
        The ticket's text.
    progress : callable
        Told now and then how many tokens there are.
    """

    stream: EngineStream
    first: Tokens | Finished
    ticket: str
    progress: Callable[[int], None]


async def deliver_events(
    delivery: Delivery,
    res: Responder,
    writer: EventWriter,
    headers: dict[str, str],
    *,
    is_new: bool,
    does_include_usage: bool,
) -> Finished | StreamLost:
    """Stream an answer as server-sent events, to its end or the stream's.

    Raises
    ------
    PeerError
        When the caller has gone or took nothing for too long.
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
    got: Tokens | Finished | StreamLost = delivery.first
    next_progress = stream.offset + PROGRESS_TOKENS
    while isinstance(got, Tokens):
        # Waiting here while the caller is behind is the back-pressure: the engine
        # isn't read meanwhile, and the engine keeps what it made.
        await res.write(opening + writer.tokens(got))
        opening = b""
        if stream.offset >= next_progress:
            delivery.progress(stream.offset)
            next_progress = stream.offset + PROGRESS_TOKENS
        came = await stream.next()
        got = came.ok_value if isinstance(came, Ok) else came.err_value
    last = _as_lost(got)
    if isinstance(last, StreamLost):
        event_id = f"{delivery.ticket}.{stream.offset}"
        await res.write(
            opening + writer.error(stream.offset, lost_error(last, event_id))
        )
    else:
        ending = writer.ending(last, does_include_usage=does_include_usage)
        await res.write(opening + ending)
    await res.finish()
    log_message(
        "callers:stream_ended",
        n_tokens=stream.offset,
        end=last.reason if isinstance(last, StreamLost) else last.end,
    )
    return last


async def gather(
    delivery: Delivery,
) -> Result[tuple[list[bytes], Finished], StreamLost]:
    """Collect a whole answer's tokens, as JSON strings."""
    stream = delivery.stream
    tokens: list[bytes] = []
    n_bytes = 0
    got: Tokens | Finished | StreamLost = delivery.first
    while isinstance(got, Tokens):
        tokens += got.tokens
        n_bytes += sum(len(token) for token in got.tokens)
        if n_bytes > MAX_ANSWER_BYTES:
            lost = StreamLost(
                reason="too_large", n_tokens=stream.offset, can_resume=False
            )
            return Err(lost)
        came = await stream.next()
        got = came.ok_value if isinstance(came, Ok) else came.err_value
    last = _as_lost(got)
    if isinstance(last, StreamLost):
        return Err(last)
    return Ok((tokens, last))


def _as_lost(got: Finished | StreamLost) -> Finished | StreamLost:
    """Turn the end of a cancelled generation into the loss that it is.

    Passed on as an end, a part of an answer would look like the whole of it.
    """
    if isinstance(got, Finished) and got.end == "cancelled":
        return StreamLost(reason="cancelled", n_tokens=got.n_tokens, can_resume=False)
    return got
