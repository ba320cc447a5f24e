"""A generation's tokens, each exactly once and in order, whatever its engine does.

A stream is named by engine, engine incarnation and generation id; its tokens by their
offsets. What comes again is dropped, what is missing is read again, and what another
incarnation says is never taken.
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
    Line,
    NewerReader,
    Tokens,
    UnknownGeneration,
)

CANCEL_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamPolicy:
    """How long a stream waits for what, in seconds, and how often it tries again.

    Parameters
    ----------
    first_token_seconds : float
        Silence before the first token after which the stream is read again.
    stall_seconds : float
        Silence between tokens after which it is read again; doubles while the engine
        answers and the silence lasts, as an engine out of memory is silent too.
    max_stall_seconds : float
        Where that doubling ends.
    counted_stall_seconds : float
        Silence between tokens beyond which it counts as a stall in the metrics.
    head_seconds : float
        How long an engine may take to answer the head of a stream.
    recover_seconds : float
        How long an engine that can't be reached is tried again.
    n_max_breaks, n_max_first_breaks : int
        Breaks without a token between after which the engine counts as broken; and
        the same before the first token, when another engine can still be asked.
    backoff_seconds, max_backoff_seconds : float
        Wait before an engine is tried again; doubles each time up to the latter.
    """

    first_token_seconds: float = 10.0
    stall_seconds: float = 3.0
    max_stall_seconds: float = 24.0
    counted_stall_seconds: float = 0.5
    head_seconds: float = 3.0
    recover_seconds: float = 10.0
    n_max_breaks: int = 6
    n_max_first_breaks: int = 1
    backoff_seconds: float = 0.05
    max_backoff_seconds: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamLost:
    """No more tokens come by this stream.

    Parameters
    ----------
    reason : str
        ``engine_unreachable``, ``engine_restarted``, ``generation_unknown``,
        ``engine_broken``, ``offset_beyond_end``, ``deadline`` or ``abandoned``.
    n_tokens : int
        Tokens handed over before it.
    can_resume : bool
        Whether asking again later may bring the rest of the same generation.
    """

    reason: str
    detail: str = ""
    n_tokens: int
    can_resume: bool


class EngineStream:
    """One generation at one engine, read from an offset on.

    Parameters
    ----------
    client : EngineClient
        Speaks to the engine.
    clock : Clock
        Of the deadlines.
    rng : random.Random
        Spreads the times at which an engine is tried again.
    policy : StreamPolicy
        The waits.
    counters : StreamCounters
        Where tokens, gaps and stalls are counted.
    address : Address
        The engine.
    generation_id, incarnation : str
        The generation, and the engine process it lives in.
    offset : int
        The first offset wanted.
    reader : TokenReader or None
        An open reading from that offset; None opens one at the first need.
    deadline : float or None
        Monotonic time at which the caller gives up.
    headers : Mapping or None
        Sent with each reading, such as the task of the log.
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
        self.last_reader: int | None = reader.reader if reader else None
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
        self._last_at: float | None = None

    async def next(self) -> Result[Tokens | Finished, StreamLost]:
        """Return the next tokens that are ready together, or the end."""
        while self._finished is None:
            if self._reader is None:
                lost = await self._reopen()
                if lost is not None:
                    return Err(lost)
            reader = self._reader
            assert reader is not None
            got = await reader.next_lines(self._wait_until())
            if isinstance(got, Err):
                lost = self._note_break(got.err_value)
                if lost is not None:
                    return Err(lost)
                continue
            tokens = self._take(got.ok_value)
            if self._is_beyond_end:
                self._drop_reader()
                return Err(self._lost("offset_beyond_end", can_resume=False))
            if tokens:
                return Ok(Tokens(offset=self.offset - len(tokens), tokens=tokens))
        return Ok(self._finished)

    def abandon(self) -> None:
        """Stop reading, as the caller has gone; a waiting `next` returns soon."""
        self._is_abandoned = True
        self._drop_reader()

    async def release(self) -> None:
        """Give the connection back to the pool where the stream ended properly."""
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
        """End the generation at the engine.

        Parameters
        ----------
        only_if_last_reader : bool
            Leaves it running where another node reads it by now, and where the
            engine does not number its readings.
        """
        self._drop_reader()
        reader = self.last_reader if only_if_last_reader else None
        if only_if_last_reader and reader is None:
            return Err(NewerReader())
        done = await self._client.cancel(
            self.address,
            self.generation_id,
            deadline=self._clock.monotonic() + CANCEL_SECONDS,
            reader=reader,
        )
        log_message(
            "engines:cancelled",
            generation_id=self.generation_id,
            outcome="ok" if isinstance(done, Ok) else type(done.err_value).__name__,
        )
        return done

    def _wait_until(self) -> float:
        until = self._clock.monotonic() + self._stall_seconds
        return until if self._deadline is None else min(until, self._deadline)

    def _take(self, lines: list[Line | Finished]) -> list[bytes]:
        """Keep the tokens that come next; drop repeats, stop at a gap."""
        tokens: list[bytes] = []
        expected = self.offset
        for line in lines:
            if isinstance(line, Line):
                if line.offset == expected:
                    tokens.append(bytes(line.token))
                    expected += 1
                elif line.offset < expected:
                    # Engines may send again after a resume. Handed on, the caller's
                    # text would hold some words twice.
                    self._counters.n_repeats += 1
                else:
                    self._note_gap(expected, line.offset)
                    break
            elif line.n_tokens == expected:
                self._finished = line
            elif line.n_tokens < expected:
                self._is_beyond_end = True
                break
            else:
                self._note_gap(expected, line.n_tokens)
                break
        if tokens:
            self.offset = expected
            self._note_tokens(len(tokens))
        return tokens

    def _note_gap(self, expected: int, found: int) -> None:
        """Read again from the first missing offset, on a new connection.

        Without this the caller would get a text with a hole that nothing shows.
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

    def _note_tokens(self, n_tokens: int) -> None:
        now = self._clock.monotonic()
        policy = self._policy
        if self._last_at is None:
            self._counters.n_tokens += n_tokens
        else:
            gap = now - self._last_at
            self._counters.note_tokens(n_tokens, gap)
            if gap > policy.counted_stall_seconds:
                self._counters.n_stalls += 1
                self._counters.stall_seconds += gap - policy.counted_stall_seconds
        self._last_at = now
        self._stall_seconds = policy.stall_seconds
        if self._reader is not None:
            self._n_breaks = 0

    def _note_break(self, problem: EngineLost | BadReply) -> StreamLost | None:
        """Decide what a broken reading means; None where it is to be read again."""
        self._drop_reader()
        if self._is_abandoned:
            return self._lost("abandoned", can_resume=True)
        now = self._clock.monotonic()
        if self._deadline is not None and now >= self._deadline:
            return self._lost("deadline", can_resume=False)
        if problem.reason == "stalled":
            doubled = self._stall_seconds * 2
            self._stall_seconds = min(doubled, self._policy.max_stall_seconds)
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
        """Read again from the next offset, trying for a while."""
        policy = self._policy
        give_up_at = self._clock.monotonic()
        if self.offset > 0:
            # Before its first token a generation is better begun elsewhere.
            give_up_at += policy.recover_seconds
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
                return self._accept(opened.ok_value)
            if isinstance(opened.err_value, UnknownGeneration):
                return self._lost("generation_unknown", can_resume=False)
            self._note_failed_open(opened.err_value)
            if self._clock.monotonic() >= give_up_at:
                return self._lost("engine_unreachable", can_resume=True)
            await self._back_off(backoff)
            backoff = min(backoff * 2, policy.max_backoff_seconds)

    def _note_failed_open(self, problem: OpenError) -> None:
        if isinstance(problem, BadReply):
            self._counters.bad_replies[problem.reason] += 1
        log_message(
            "engines:open_failed",
            generation_id=self.generation_id,
            reason=problem.reason,
        )

    def _accept(self, reader: TokenReader) -> StreamLost | None:
        if self._is_abandoned:
            reader.close()
            return self._lost("abandoned", can_resume=True)
        if reader.incarnation != self.incarnation:
            # A restarted engine may give the id to another generation; its tokens
            # would be spliced onto those of the first.
            reader.close()
            return self._lost("engine_restarted", can_resume=False)
        self._reader = reader
        self.last_reader = reader.reader
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
