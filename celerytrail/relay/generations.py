"""Requests to model engines: one stream each, carried from engine to engine."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from result import Err, Ok, Result

from ..exceptions import PeerError
from ..http.client import Stream
from ..model import EngineFacts, Registration
from ..platform import wire
from ..policies.engineloads import Run
from ..policies.retrybudget import RetryBudget
from .departures import Departures
from .engineopener import EngineOpener
from .engineplacer import EnginePlacer
from .events import EventSplitter, StreamEvent
from .exchange import CallerGoneError, Exchange, refuse
from .liverun import Copied, Failed, LiveRun, Refused, Switched
from .sharing import Sharing

# How many engines are asked that refuse before the caller is told to come back.
MAX_REFUSED = 3
# What the client says of an endpoint that no connection could be made to.
UNREACHABLE = ("connect_refused", "connect_timeout")
# When to come back after engines were full, in seconds: about as long as a short
# answer takes to free its place.
FULL_RETRY_SECONDS = 0.7


class Generations:
    """Places generations, relays their events, and takes broken ones up again.

    Parameters
    ----------
    placer : EnginePlacer
        Chooses engines.
    opener : EngineOpener
        Opens streams.
    departures : Departures
        Carries runs off engines that leave.
    sharing : Sharing
        Tells the other nodes.
    budget : RetryBudget
        Bounds what is sent again.
    rng : random.Random
        Names runs.
    """

    def __init__(
        self,
        *,
        placer: EnginePlacer,
        opener: EngineOpener,
        departures: Departures,
        sharing: Sharing,
        budget: RetryBudget,
        rng: random.Random,
    ) -> None:
        self._placer = placer
        self._opener = opener
        self._departures = departures
        self._sharing = sharing
        self._budget = budget
        self._rng = rng
        self._live: set[LiveRun] = set()

    @property
    def n_live(self) -> int:
        """Return how many generations are on their way."""
        return len(self._live)

    async def relay(self, ex: Exchange, engine: EngineFacts) -> None:
        """Answer a request by one generation."""
        now = asyncio.get_running_loop().time()
        self._budget.note_request(ex.service, now)
        facts = ex.facts
        n_prompt = max(1, facts.n_prompt_tokens)
        run = Run(
            run_id=f"{facts.attempt_id}/{self._rng.getrandbits(24):x}",
            endpoint="",
            n_prompt_tokens=n_prompt,
            n_expected_tokens=max(1, facts.n_expected_tokens),
        )
        live = LiveRun(ex=ex, engine=engine, run=run)
        self._live.add(live)
        try:
            await ex.unless_gone(self._carry(live))
        except CallerGoneError:
            ex.log("caller_gone", n_events=live.n_events)
        except PeerError as exc:
            # What was begun can't be finished, and must not look whole.
            ex.res.abort()
            ex.log("caller_lost", problem=str(exc), n_events=live.n_events)
        finally:
            self._live.discard(live)
            if not live.pauses.is_empty:
                ex.metrics.observe_many(
                    "relay_between_events", live.pauses, route=ex.route.name
                )
            if live.stream is not None:
                live.stream.close()
            self._departures.drop_move(live)
            if not live.is_whole and live.reg is not None:
                self._departures.drop_backup(live, live.reg)
            if live.run.endpoint:
                self._sharing.ended(live.run.run_id)

    def on_leaving(self, reg: Registration) -> None:
        """Carry what runs on an engine that leaves to others."""
        self._departures.on_leaving(reg, self._live)

    def note_progress(self) -> None:
        """Note how far the runs are, for the next list that the other nodes get."""
        for live in self._live:
            self._departures.look_at(live)
            if live.run.endpoint:
                n_made = live.n_events * live.engine.n_event_tokens
                live.run = replace(live.run, n_made_tokens=n_made)
                self._sharing.progressed(live.run)

    # Carrying.

    async def _carry(self, live: LiveRun) -> None:
        started = await self._start(live)
        if isinstance(started, Err):
            await self._end_unstarted(live, started.err_value)
            return
        live.stream = started.ok_value
        if not wire.is_own_answer(live.stream.headers):
            live.ex.log("failed", reason="unsealed")
            await refuse(
                live.ex.res, 502, "unsealed", attempt_id=live.ex.facts.attempt_id
            )
            return
        if live.stream.status != 200:
            await self._pass_whole(live, live.stream)
            return
        await self._pass_events(live)

    async def _end_unstarted(self, live: LiveRun, end: Refused | Failed) -> None:
        ex = live.ex
        attempt = ex.facts.attempt_id
        if isinstance(end, Refused):
            ex.log("refused", reason=end.reason)
            await refuse(
                ex.res,
                503,
                end.reason,
                attempt_id=attempt,
                retry_after=FULL_RETRY_SECONDS,
            )
            return
        status = 504 if end.reason in ("timeout", "stalled") else 502
        ex.log("failed", reason=end.reason, status=status)
        await refuse(ex.res, status, end.reason, attempt_id=attempt)

    async def _start(self, live: LiveRun) -> Result[Stream, Refused | Failed]:
        """Find an engine that takes the generation.

        A crashed engine's row stays for seconds, and to every node it looks the
        emptiest. Were its refused connections counted as tries, three such engines
        would have a draft refused while others are free.
        """
        ex = live.ex
        excluded: set[str] = set()
        n_sent = n_tries = 0
        while n_tries < MAX_REFUSED:
            reg = await self._placer.place(live, excluded)
            if reg is None:
                return Err(Refused(reason="no_room"))
            now = asyncio.get_running_loop().time()
            if n_sent and not self._budget.take(ex.service, now):
                return Err(Refused(reason="retry_denied"))
            opened = await self._opener.open(live, reg, live.backup)
            if isinstance(opened, Ok):
                return opened
            if isinstance(opened.err_value, Failed):
                return await self._start_again(live, opened.err_value)
            refused = opened.err_value
            excluded.add(reg.endpoint)
            if refused.was_sent:
                n_sent += 1
            elif refused.reason in UNREACHABLE:
                self._placer.note_unreachable(reg)
            else:
                # The key was taken away, or the caller's time is over.
                return Err(refused)
            if refused.reason != "connect_refused":
                n_tries += 1
        return Err(Refused(reason="engines_refused"))

    async def _start_again(
        self, live: LiveRun, failed: Failed
    ) -> Result[Stream, Refused | Failed]:
        """Go on after an engine was lost before its answer began."""
        resumed = await self._resume(live, failed.reason)
        if resumed is None:
            return Err(failed)
        return Ok(resumed)

    async def _pass_whole(self, live: LiveRun, stream: Stream) -> None:
        """Pass on an answer that is no stream of events."""
        ex = live.ex
        body = await stream.read(ex.loop_deadline)
        attempt = ex.facts.attempt_id
        if isinstance(body, Err):
            ex.log("failed", reason=body.err_value.reason)
            await refuse(ex.res, 502, body.err_value.reason, attempt_id=attempt)
            return
        ex.log("answered", status=stream.status)
        headers = wire.answer_headers(stream.headers)
        await ex.res.send(stream.status, body.ok_value, headers)

    async def _pass_events(self, live: LiveRun) -> None:
        """Pass events on as they come, over as many engines as it takes."""
        ex = live.ex
        assert live.stream is not None
        ex.res.start(live.stream.status, wire.answer_headers(live.stream.headers))
        splitter = EventSplitter()
        while True:
            piece = await live.stream.next_chunk(ex.loop_deadline)
            if isinstance(piece, Ok):
                if piece.ok_value is None:
                    break
                for event in splitter.feed(piece.ok_value):
                    await self._pass_event(live, event)
                continue
            splitter.clear()
            resumed = await self._resume(live, piece.err_value.reason)
            if resumed is None or resumed.status != 200:
                ex.log("cut", reason=piece.err_value.reason, n_events=live.n_events)
                ex.res.abort()
                return
            live.stream = resumed
        if not splitter.is_empty:
            ex.log("cut", reason="torn_event", n_events=live.n_events)
            ex.res.abort()
            return
        live.is_whole = True
        await ex.res.finish()
        ex.observe("relay_answer")
        ex.observe_seconds("relay_longest_pause", live.longest_pause)
        ex.log(
            "answered",
            status=200,
            n_events=live.n_events,
            n_runs=live.n_runs,
            longest_pause=round(live.longest_pause, 3),
        )

    async def _pass_event(self, live: LiveRun, event: StreamEvent) -> None:
        number = event.number
        if number is not None:
            if live.last_number is not None and number <= live.last_number:
                # A run that goes on from a copy may say again what the caller has.
                return
            if live.n_runs > 1 and live.is_gap(number):
                raise PeerError("a run that goes on left out events")
            live.last_number = number
        if event.event_id is not None:
            live.last_event_id = event.event_id
        if live.run.is_reading:
            self._placer.note_first_event(live)
            live.ex.observe("relay_first_event")
        live.note_event()
        await live.ex.res.write(event.data)

    # Going on elsewhere.

    async def _resume(self, live: LiveRun, reason: str) -> Stream | None:
        """Take a run up again after its stream broke or was moved."""
        live.is_resuming = True
        try:
            return await self._go_on(live, reason)
        finally:
            live.is_resuming = False

    async def _go_on(self, live: LiveRun, reason: str) -> Stream | None:
        ex = live.ex
        former = live.reg
        moved = await self._finished_move(live)
        if isinstance(moved, Switched):
            self._note_move(live, moved.reg)
            return moved.stream
        copied = moved
        has_backup = live.backup is not None and live.backup != live.reg
        if copied is None and has_backup:
            assert live.backup is not None
            name = wire.copy_name(live.backup.address, ex.facts.attempt_id)
            copied = Copied(reg=live.backup, name=name)
        if copied is not None:
            self._note_move(live, copied.reg)
            opened = await self._opener.open(live, copied.reg, None, copied.name)
            if isinstance(opened, Ok):
                ex.log("resumed", reason=reason, endpoint=copied.reg.endpoint)
                return opened.ok_value
            ex.log("copy_unusable", reason=reason, endpoint=copied.reg.endpoint)
        if not ex.route.is_resumable or live.n_runs >= ex.route.max_attempts:
            return None
        now = asyncio.get_running_loop().time()
        if not self._budget.take(ex.service, now):
            return None
        reg = await self._placer.place(live, {former.endpoint} if former else set())
        if reg is None:
            return None
        opened = await self._opener.open(live, reg, live.backup)
        if isinstance(opened, Err):
            return None
        ex.log("run_again", reason=reason, endpoint=reg.endpoint)
        return opened.ok_value

    async def _finished_move(self, live: LiveRun) -> Copied | Switched | None:
        if live.move is None:
            return None
        move, live.move = live.move, None
        return await move

    def _note_move(self, live: LiveRun, reg: Registration) -> None:
        """Note that a run goes on at another engine.

        It gets no new copy elsewhere. Several runs go on at the same moment, when an
        engine leaves; were all of them copied whole once more, those that still have to
        be moved would wait for the links until their engine is gone.
        """
        self._departures.drop_backup(live, reg)
        live.backup = None
        live.reg = reg
        live.begin_engine()
        self._placer.share(live, is_reading=False)
