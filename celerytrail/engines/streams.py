"""Reads a generation's tokens from its engine, each exactly once and in order.

A stream is identified by engine, engine incarnation and generation id, and its tokens
by their offsets. Repeated tokens are dropped, missing tokens are requested again, and
tokens of another incarnation are never accepted.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..types import Address
from .client import EngineClient, OpenError
from .counters import StreamCounters
from .reader import TokenReader
from .wire import (
    BadReply,
    EngineLost,
    Finished,
    NewerReader,
    StreamLine,
    Tokens,
    UnknownGeneration,
)

CANCEL_SECONDS = 2.0
# An engine whose clock runs ahead of ours may see a deadline pass this much earlier.
DEADLINE_MARGIN_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamPolicy:
    """Holds the timeouts of a stream, in seconds, and its limits on retries.

    Parameters
    ----------
    first_token_seconds : float
        Time without a first token after which the stream is opened again.
    stall_seconds : float
        Time without a further token after which the stream is opened again; doubles
        with each stall in a row, as an engine that has run out of memory pauses too.
    max_stall_seconds : float
        Upper bound of ``stall_seconds`` after doubling.
    counted_stall_seconds : float
        Time between tokens above which the metrics count a stall.
    head_seconds : float
        Timeout for the response head of a stream.
    unreachable_retry_seconds : float
        How long an unreachable engine is retried.
    n_max_breaks, n_max_first_breaks : int
        Consecutive breaks without a token after which the engine counts as broken;
        the second holds before the first token, when another engine can still be used.
    backoff_seconds, max_backoff_seconds : float
        Wait before an engine is retried; doubles each time up to the second.
    """

    first_token_seconds: float = 10.0
    stall_seconds: float = 3.0
    max_stall_seconds: float = 24.0
    counted_stall_seconds: float = 0.5
    head_seconds: float = 3.0
    unreachable_retry_seconds: float = 10.0
    n_max_breaks: int = 6
    n_max_first_breaks: int = 1
    backoff_seconds: float = 0.05
    max_backoff_seconds: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamLost:
    """Reports that a stream failed before the end of its generation.

    Parameters
    ----------
    reason : str
        ``engine_unreachable``, ``engine_restarted``, ``generation_unknown``,
        ``engine_broken``, ``offset_beyond_end``, ``deadline`` or ``abandoned``.
    n_tokens : int
        Tokens returned before the failure.
    can_resume : bool
        Whether the rest of the same generation may be readable later.
    """

    reason: str
    detail: str = ""
    n_tokens: int
    can_resume: bool


class EngineStream:
    """Reads one generation at one engine, starting at an offset.

    Parameters
    ----------
    client : EngineClient
        Sends the requests to the engine.
    clock : Clock
        Measures the deadlines.
    rng : random.Random
        Adds jitter to the backoff.
    policy : StreamPolicy
        Timeouts and limits on retries.
    counters : StreamCounters
        Counts tokens, gaps and stalls.
    address : Address
        The engine.
    generation_id, incarnation : str
        The generation, and the engine process that runs it.
    offset : int
        The offset of the first token to return.
    reader : TokenReader or None
        An open reader at that offset; None opens one on the first `next`.
    deadline : float or None
        Monotonic time of the caller's deadline.
    headers : Mapping or None
        Sent with each read request, such as the log task.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        clock: Clock,
        rng: random.Random,
        policy: StreamPolicy,
        counters: StreamCounters,
        address: Address,
        generation_id: str,
        incarnation: str,
        offset: int = 0,
        reader: TokenReader | None = None,
        deadline: float | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        self.address = address
        self.generation_id = generation_id
        self.incarnation = incarnation
        self.offset = offset
        self.last_reader_number: int | None = reader.number if reader else None
        self._client = client
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._counters = counters
        self._reader = reader
        self._deadline = deadline
        self._headers = headers
        self._finished: Finished | None = None
        self._is_abandoned = False
        self._is_beyond_end = False
        self._n_breaks = 0
        self._stall_seconds = policy.first_token_seconds
        self._last_token_at: float | None = None

    async def next(self) -> Result[Tokens | Finished, StreamLost]:
        """Return all tokens that are ready, at least one, or the end."""
        while self._finished is None:
            if self._reader is None:
                lost = await self._reopen()
                if lost is not None:
                    return Err(lost)
            reader = self._reader
            assert reader is not None
            received = await reader.next_lines(self._read_deadline())
            if isinstance(received, Err):
                lost = self._on_break(received.err_value)
                if lost is not None:
                    return Err(lost)
                continue
            tokens = self._accept_lines(received.ok_value)
            if self._is_beyond_end:
                self._drop_reader()
                return Err(self._lost("offset_beyond_end", can_resume=False))
            if tokens:
                return Ok(Tokens(offset=self.offset - len(tokens), tokens=tokens))
        if self._is_ended_by_deadline():
            return Err(self._lost("deadline", can_resume=False))
        return Ok(self._finished)

    def _is_ended_by_deadline(self) -> bool:
        """Return whether the engine cancelled the generation at its deadline.

        Both sides enforce the deadline, and with a small clock difference the engine
        may do so first. The end it sends is only "cancelled", and without this check
        the caller's answer would state that somebody had cancelled the generation.
        """
        if self._finished is None or self._finished.end != "cancelled":
            return False
        if self._deadline is None:
            return False
        return self._clock.monotonic() >= self._deadline - DEADLINE_MARGIN_SECONDS

    def abandon(self) -> None:
        """Stop reading for a disconnected caller; a waiting `next` returns soon."""
        self._is_abandoned = True
        self._drop_reader()

    async def release(self) -> None:
        """Return the connection to the pool if the stream ended properly."""
        if self._reader is None:
            return
        if self._finished is None or self._is_abandoned:
            self._drop_reader()
            return
        reader, self._reader = self._reader, None
        await reader.finish(self._clock.monotonic() + CANCEL_SECONDS)

    async def cancel(
        self, *, only_if_last_reader: bool = False
    ) -> Result[None, OpenError | NewerReader]:
        """Cancel the generation at the engine.

        Parameters
        ----------
        only_if_last_reader : bool
            Leave the generation running if another node has started to read it, or
            if the engine does not number its readers.
        """
        self._drop_reader()
        reader_number = self.last_reader_number if only_if_last_reader else None
        if only_if_last_reader and reader_number is None:
            return Err(NewerReader())
        cancelled = await self._client.cancel(
            self.address,
            self.generation_id,
            deadline=self._clock.monotonic() + CANCEL_SECONDS,
            reader_number=reader_number,
        )
        log_message(
            "engines:cancelled",
            generation_id=self.generation_id,
            outcome="ok"
            if isinstance(cancelled, Ok)
            else type(cancelled.err_value).__name__,
        )
        return cancelled

    def _read_deadline(self) -> float:
        stalls_at = self._clock.monotonic() + self._stall_seconds
        return stalls_at if self._deadline is None else min(stalls_at, self._deadline)

    def _accept_lines(self, lines: list[StreamLine | Finished]) -> list[bytes]:
        """Return the tokens that continue the stream; drop repeats, stop at a gap."""
        tokens: list[bytes] = []
        expected = self.offset
        for line in lines:
            if isinstance(line, StreamLine):
                if line.offset == expected:
                    tokens.append(bytes(line.token))
                    expected += 1
                elif line.offset < expected:
                    # Engines may resend tokens after a resume. Passed on, they would
                    # repeat words in the caller's text.
                    self._counters.n_repeats += 1
                else:
                    self._on_gap(expected, line.offset)
                    break
            elif line.n_tokens == expected:
                self._finished = line
            elif line.n_tokens < expected:
                self._is_beyond_end = True
                break
            else:
                self._on_gap(expected, line.n_tokens)
                break
        if tokens:
            self.offset = expected
            self._record_tokens(len(tokens))
        return tokens

    def _on_gap(self, expected: int, found: int) -> None:
        """Drop the reader, so that the first missing offset is read again.

        Without this the caller would get a text with missing words and no error.
        """
        self._counters.resumes["gap"] += 1
        self._n_breaks += 1
        log_message(
            "engines:gap",
            generation_id=self.generation_id,
            expected=expected,
            found=found,
        )
        self._drop_reader()

    def _record_tokens(self, n_tokens: int) -> None:
        now = self._clock.monotonic()
        policy = self._policy
        if self._last_token_at is None:
            self._counters.n_tokens += n_tokens
        else:
            interval = now - self._last_token_at
            self._counters.record_tokens(n_tokens, interval)
            if interval > policy.counted_stall_seconds:
                self._counters.n_stalls += 1
                self._counters.stall_seconds += interval - policy.counted_stall_seconds
        self._last_token_at = now
        self._stall_seconds = policy.stall_seconds
        if self._reader is not None:
            self._n_breaks = 0

    def _on_break(self, problem: EngineLost | BadReply) -> StreamLost | None:
        """Handle a broken reader; return None if the stream should be reopened."""
        self._drop_reader()
        if self._is_abandoned:
            return self._lost("abandoned", can_resume=True)
        now = self._clock.monotonic()
        if self._deadline is not None and now >= self._deadline:
            return self._lost("deadline", can_resume=False)
        if problem.reason == "stalled":
            doubled_seconds = self._stall_seconds * 2
            self._stall_seconds = min(doubled_seconds, self._policy.max_stall_seconds)
        else:
            self._n_breaks += 1
        if isinstance(problem, BadReply):
            self._counters.bad_replies[problem.reason] += 1
        self._counters.resumes[problem.reason] += 1
        log_message(
            "engines:stream_broken",
            generation_id=self.generation_id,
            offset=self.offset,
            reason=problem.reason,
            detail=problem.detail,
        )
        return None

    async def _reopen(self) -> StreamLost | None:
        """Open a reader at the next offset, with retries and backoff."""
        policy = self._policy
        give_up_at = self._clock.monotonic()
        if self.offset > 0:
            # Before its first token a generation is better restarted at another engine.
            give_up_at += policy.unreachable_retry_seconds
        backoff = policy.backoff_seconds
        n_max_breaks = policy.n_max_breaks
        if self.offset == 0:
            n_max_breaks = policy.n_max_first_breaks
        if self._n_breaks > n_max_breaks:
            return self._lost("engine_broken", can_resume=False)
        if self._n_breaks > 1:
            await self._back_off(backoff * 2**self._n_breaks)
        while True:
            if self._is_abandoned:
                return self._lost("abandoned", can_resume=True)
            now = self._clock.monotonic()
            if self._deadline is not None and now >= self._deadline:
                return self._lost("deadline", can_resume=False)
            head_deadline = now + policy.head_seconds
            if self._deadline is not None:
                head_deadline = min(head_deadline, self._deadline)
            opened = await self._client.resume(
                self.address,
                self.generation_id,
                self.offset,
                deadline=head_deadline,
                headers=self._headers,
            )
            if isinstance(opened, Ok):
                return self._accept_reader(opened.ok_value)
            if isinstance(opened.err_value, UnknownGeneration):
                return self._lost("generation_unknown", can_resume=False)
            self._record_failed_open(opened.err_value)
            if self._clock.monotonic() >= give_up_at:
                return self._lost("engine_unreachable", can_resume=True)
            await self._back_off(backoff)
            backoff = min(backoff * 2, policy.max_backoff_seconds)

    def _record_failed_open(self, problem: OpenError) -> None:
        if isinstance(problem, BadReply):
            self._counters.bad_replies[problem.reason] += 1
        log_message(
            "engines:open_failed",
            generation_id=self.generation_id,
            reason=problem.reason,
        )

    def _accept_reader(self, reader: TokenReader) -> StreamLost | None:
        if self._is_abandoned:
            reader.close()
            return self._lost("abandoned", can_resume=True)
        if reader.incarnation != self.incarnation:
            # A restarted engine may use the id for another generation, whose tokens
            # would be appended to those of the first.
            reader.close()
            return self._lost("engine_restarted", can_resume=False)
        self._reader = reader
        self.last_reader_number = reader.number
        log_message(
            "engines:stream_opened",
            generation_id=self.generation_id,
            offset=self.offset,
        )
        return None

    async def _back_off(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self._rng.uniform(0.5, 1.0))

    def _drop_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
            self._reader = None

    def _lost(self, reason: str, *, can_resume: bool) -> StreamLost:
        return StreamLost(reason=reason, n_tokens=self.offset, can_resume=can_resume)
