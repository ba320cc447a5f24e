"""Requests to model engines: one stream each, carried from engine to engine."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from eliot import log_message
from result import Err, Ok, Result

from ..exceptions import PeerError
from ..httpclient import HttpClient, NotSent, Stream
from ..platform import wire
from . import moving, placing
from .engineapi import EngineApi, MoveFailed
from .engineloads import EngineLoad, EngineLoads, Run
from .events import EventSplitter, StreamEvent
from .exchange import CallerGoneError, Exchange, refuse
from .model import EngineFacts, Registration
from .paces import Paces
from .registry import Registry
from .retrybudget import RetryBudget
from .sharing import Sharing

CONNECT_SECONDS = 0.25
# Share of the target for which a generation waits here for an engine with room; the
# rest is for reading its prompt.
WAIT_SHARE = 0.5
# Between two looks for room, in seconds.
LOOK_SECONDS = 0.02
# How many engines are asked that refuse before the caller is told to come back.
MAX_REFUSED = 3
# When to come back after engines were full, in seconds: about as long as a short
# answer takes to free its place.
FULL_RETRY_SECONDS = 0.7
# Copies that take longer than this are not worth waiting for, in seconds.
COPY_SECONDS = 4.0
# Between two looks whether it is a run's turn to be moved, in seconds.
TURN_SECONDS = 0.005
# A copy that is made as the run grows is taken to stand after so long, in seconds: it
# is sent several times a second, and 4,000 tokens take 0.2 s to 0.5 s over a link.
COPY_AGE_SECONDS = 0.3
# How much older than its answer an engine's report is, in seconds.
REPORT_LAG_SECONDS = 0.55
# How long an engine that leaves may take to say when it will be gone, in seconds.
REPORT_SECONDS = 0.3
# How long the order to free a copy may take, in seconds.
FREE_SECONDS = 0.5
# How often a copy is tried that does not stand yet, and the pause between, in seconds.
SWITCH_TRIES = 3
SWITCH_PAUSE_SECONDS = 0.2
# A stream with a copy elsewhere goes on there after so long without an event, in
# seconds; engines under load pause for a few tenths at most.
SILENT_SECONDS = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class Copied:
    """A run's memory lies ready: where to go on, and by which name."""

    reg: Registration
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Switched:
    """A run already goes on elsewhere."""

    reg: Registration
    backup: Registration | None
    stream: Stream


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """No engine has run it, and none will."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """An engine may have run it, and it can't go on."""

    reason: str


class LiveRun:
    """A generation on its way, with what is needed to carry it elsewhere."""

    def __init__(self, *, ex: Exchange, engine: EngineFacts, run: Run) -> None:
        self.ex = ex
        self.engine = engine
        self.run = run
        self.reg: Registration | None = None
        self.backup: Registration | None = None
        self.stream: Stream | None = None
        self.last_event_id: str | None = ex.facts.last_event_id
        self.last_number: int | None = None
        self.n_events = 0
        self.n_runs = 0
        self.is_whole = False
        self.move: asyncio.Task[Copied | Switched | None] | None = None
        self.started = asyncio.Event()
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self.longest_pause = 0.0

    def note_event(self) -> None:
        """Note that an event came."""
        now = asyncio.get_running_loop().time()
        if self.n_events:
            self.longest_pause = max(self.longest_pause, now - self._last_event_at)
        if not self.started.is_set():
            self._first_event_at = now
            self.started.set()
        self._last_event_at = now
        self.n_events += 1

    @property
    def silent_seconds(self) -> float:
        """Return how long no event came since one did; 0 before the first."""
        if not self.started.is_set():
            return 0.0
        return asyncio.get_running_loop().time() - self._last_event_at

    @property
    def age_seconds(self) -> float:
        """Return how long ago the engine's first event came."""
        return asyncio.get_running_loop().time() - self._first_event_at

    def begin_engine(self) -> None:
        """Note that another engine works on it, which has sent nothing yet."""
        self.started.clear()


class Generations:
    """Places generations, relays their events, and moves them off leaving engines.

    Parameters
    ----------
    client : HttpClient
        Speaks with engines.
    api : EngineApi
        Orders copies.
    registry : Registry
        Knows the engines.
    loads : EngineLoads
        What all nodes have placed.
    sharing : Sharing
        Tells the other nodes.
    paces : Paces
        How fast each engine is.
    budget : RetryBudget
        Bounds what is sent again.
    engine_of : callable
        Returns the facts of a service's engines.
    failure_domain : str
        Where this node runs.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        api: EngineApi,
        registry: Registry,
        loads: EngineLoads,
        sharing: Sharing,
        paces: Paces,
        budget: RetryBudget,
        engine_of: Callable[[str], EngineFacts | None],
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._api = api
        self._registry = registry
        self._loads = loads
        self._sharing = sharing
        self._paces = paces
        self._budget = budget
        self._engine_of = engine_of
        self._failure_domain = failure_domain
        self._rng = rng
        self._live: set[LiveRun] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # When engines that leave will be gone, in loop time.
        self._leaves_at: dict[str, float] = {}

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
            ex.log("caller_lost", problem=str(exc), n_events=live.n_events)
        finally:
            self._live.discard(live)
            if live.stream is not None:
                live.stream.close()
            if live.move is not None:
                self._drop_move(live.move)
            if not live.is_whole and live.reg is not None:
                self._drop_backup(live, live.reg)
            if live.run.endpoint:
                self._sharing.ended(live.run.run_id)

    @staticmethod
    def _drop_move(move: asyncio.Task[Copied | Switched | None]) -> None:
        """Let go of a move that is no longer needed."""
        if not move.done():
            move.cancel()
        elif not move.cancelled() and isinstance(move.result(), Switched):
            switched = move.result()
            assert isinstance(switched, Switched)
            switched.stream.close()

    def on_leaving(self, reg: Registration) -> None:
        """Carry what runs on an engine that leaves to others, most advanced first."""
        for live in self._live:
            if live.backup is not None and live.backup.endpoint == reg.endpoint:
                self._forget_backup(live)
        leaving = [
            live
            for live in self._live
            if live.reg is not None and live.reg.endpoint == reg.endpoint
        ]
        leaving.sort(key=lambda live: live.n_events, reverse=True)
        if leaving:
            self._run(self._ask_end(reg))
        for live in leaving:
            self._leave_engine(live)

    def _forget_backup(self, live: LiveRun) -> None:
        """Note that the engine that had a copy of a run goes."""
        live.backup = None
        if live.reg is not None:
            self._share(live, is_reading=live.run.is_reading)

    def note_progress(self) -> None:
        """Note how far the runs are, for the next list that the other nodes get."""
        for live in self._live:
            is_idle = live.move is None and live.backup is not None
            if is_idle and live.silent_seconds > SILENT_SECONDS:
                live.move = asyncio.ensure_future(self._leave_silent(live))
            if live.run.endpoint:
                n_made = live.n_events * live.engine.n_event_tokens
                live.run = replace(live.run, n_made_tokens=n_made)
                self._sharing.progressed(live.run)

    # Placing.

    def _engine_loads(self, live: LiveRun, excluded: set[str]) -> list[EngineLoad]:
        engine = live.engine
        empty = [
            EngineLoad(
                reg=reg,
                n_slots=engine.n_slots,
                n_memory_tokens=engine.n_memory_tokens,
            )
            for reg in self._registry.usable(live.ex.service)
            if reg.endpoint not in excluded
        ]
        return [
            replace(load, token_seconds=self._paces.token_seconds(load.reg.endpoint))
            for load in self._loads.loads(empty)
        ]

    def _demand(self, live: LiveRun) -> placing.Demand:
        run = live.run
        return placing.Demand(
            n_tokens=run.n_tokens,
            n_reading_tokens=run.n_prompt_tokens,
            n_remaining_tokens=run.n_remaining_tokens,
            failure_domain=self._failure_domain,
        )

    async def _place(self, live: LiveRun, excluded: set[str]) -> Registration | None:
        """Wait for an engine with room; None where none has any in time."""
        ex = live.ex
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_SHARE * ex.route.target_seconds
        until = min(until, ex.loop_deadline)
        demand = self._demand(live)
        while True:
            loads = self._engine_loads(live, excluded)
            load = placing.choose_engine(loads, demand, self._rng)
            if load is not None:
                self._note_place(live, load.reg, loads, demand)
                return load.reg
            if loop.time() >= until:
                ex.log("no_room", n_engines=len(loads))
                return None
            await asyncio.sleep(LOOK_SECONDS)

    def _note_place(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> None:
        live.reg = reg
        live.backup = self._choose_backup(live, reg, loads, demand)
        self._share(live, is_reading=True)

    def _choose_backup(
        self,
        live: LiveRun,
        reg: Registration,
        loads: list[EngineLoad],
        demand: placing.Demand,
    ) -> Registration | None:
        """Return the engine that gets a copy of a run as it grows, if any."""
        if not live.engine.can_back_up or live.ex.route.is_resumable:
            return None
        others = [
            run
            for run in self._loads.on_engine(reg.endpoint)
            if run.run_id != live.run.run_id
        ]
        is_needed = moving.needs_backup(live.run, others, live.engine)
        copy = placing.choose_backup(
            loads, demand, reg.endpoint, self._rng, is_needed=is_needed
        )
        return copy.reg if copy is not None else None

    def _share(
        self, live: LiveRun, *, is_reading: bool, is_moving: bool = False
    ) -> None:
        assert live.reg is not None
        live.run = replace(
            live.run,
            endpoint=live.reg.endpoint,
            backup=live.backup.endpoint if live.backup else "",
            is_reading=is_reading,
            is_moving=is_moving,
        )
        self._sharing.placed(live.run)

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
        """Find an engine that takes the generation."""
        ex = live.ex
        excluded: set[str] = set()
        for number in range(MAX_REFUSED):
            reg = await self._place(live, excluded)
            if reg is None:
                return Err(Refused(reason="no_room"))
            now = asyncio.get_running_loop().time()
            if number and not self._budget.take(ex.service, now):
                return Err(Refused(reason="retry_denied"))
            opened = await self._open(live, reg, live.backup)
            if isinstance(opened, Ok):
                return opened
            if isinstance(opened.err_value, Failed):
                return await self._start_again(live, opened.err_value)
            excluded.add(reg.endpoint)
        return Err(Refused(reason="engines_refused"))

    async def _start_again(
        self, live: LiveRun, failed: Failed
    ) -> Result[Stream, Refused | Failed]:
        """Go on after an engine was lost before its answer began."""
        resumed = await self._resume(live, failed.reason)
        if resumed is None:
            return Err(failed)
        return Ok(resumed)

    async def _open(
        self,
        live: LiveRun,
        reg: Registration,
        backup: Registration | None,
        copy_name: str | None = None,
    ) -> Result[Stream, Refused | Failed]:
        """Send the generation to one engine, new or from a copy."""
        ex = live.ex
        if ex.seconds_left <= 0:
            return Err(Failed(reason="timeout"))
        facts = wire.ForwardFacts(
            endpoint=reg.endpoint,
            budget_seconds=ex.seconds_left,
            organisation=ex.organisation,
            priority=ex.priority,
            backup=backup.address if backup else None,
            resume_from=copy_name,
            last_event_id=live.last_event_id,
        )
        opened = await self._client.open(
            reg.address,
            ex.req.method,
            ex.target,
            body=ex.req.body,
            headers=wire.forward_headers(ex.req, facts),
            deadline=ex.loop_deadline,
            connect_seconds=CONNECT_SECONDS,
            request_id=ex.facts.attempt_id,
            may_send=ex.may_go_on if copy_name else ex.may_send,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            ex.log("attempt_failed", endpoint=reg.endpoint, reason=exc.reason)
            if isinstance(exc, NotSent):
                return Err(Refused(reason=exc.reason))
            return Err(Failed(reason=exc.reason))
        stream = opened.ok_value
        if wire.is_not_run(stream.status, stream.headers):
            ex.log("attempt_refused", endpoint=reg.endpoint, status=stream.status)
            await stream.read(ex.loop_deadline)
            return Err(Refused(reason="engine_refused"))
        live.n_runs += 1
        ex.log(
            "placed",
            endpoint=reg.endpoint,
            backup=backup.endpoint if backup else "",
            copy=copy_name,
            status=stream.status,
        )
        return Ok(stream)

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
            live.last_number = number
        if event.event_id is not None:
            live.last_event_id = event.event_id
        if live.run.is_reading:
            self._share(live, is_reading=False)
            live.ex.observe("relay_first_event")
        live.note_event()
        await live.ex.res.write(event.data)

    # Going on elsewhere.

    async def _resume(self, live: LiveRun, reason: str) -> Stream | None:
        """Take a run up again after its stream broke or was moved."""
        ex = live.ex
        former = live.reg
        moved = await self._finished_move(live)
        if isinstance(moved, Switched):
            self._note_move(live, moved.reg, moved.backup)
            return moved.stream
        copied = moved
        has_backup = live.backup is not None and live.backup != live.reg
        if copied is None and has_backup:
            assert live.backup is not None
            backup = live.backup
            name = wire.copy_name(backup.address, ex.facts.attempt_id)
            copied = Copied(reg=backup, name=name)
        if copied is not None:
            self._note_move(live, copied.reg, self._next_backup(live, copied.reg))
            opened = await self._open(live, copied.reg, live.backup, copied.name)
            if isinstance(opened, Ok):
                ex.log("resumed", reason=reason, endpoint=copied.reg.endpoint)
                return opened.ok_value
            ex.log("copy_unusable", reason=reason, endpoint=copied.reg.endpoint)
        if not ex.route.is_resumable or live.n_runs >= ex.route.max_attempts:
            return None
        now = asyncio.get_running_loop().time()
        if not self._budget.take(ex.service, now):
            return None
        reg = await self._place(live, {former.endpoint} if former else set())
        if reg is None:
            return None
        opened = await self._open(live, reg, live.backup)
        if isinstance(opened, Err):
            return None
        ex.log("run_again", reason=reason, endpoint=reg.endpoint)
        return opened.ok_value

    async def _finished_move(self, live: LiveRun) -> Copied | Switched | None:
        if live.move is None:
            return None
        move, live.move = live.move, None
        return await move

    def _next_backup(self, live: LiveRun, reg: Registration) -> Registration | None:
        """Return which engine gets a copy of a run that goes on at another one."""
        loads = self._engine_loads(live, set())
        return self._choose_backup(live, reg, loads, self._demand(live))

    def _drop_backup(self, live: LiveRun, reg: Registration) -> None:
        """Free the copy that a run leaves behind when it goes on at ``reg``."""
        backup = live.backup
        if backup is None or backup.endpoint == reg.endpoint:
            return
        deadline = asyncio.get_running_loop().time() + FREE_SECONDS
        attempt = live.ex.facts.attempt_id
        self._run(self._api.free(backup.address, attempt, deadline))

    def _note_move(
        self, live: LiveRun, reg: Registration, backup: Registration | None
    ) -> None:
        """Note that a run goes on at another engine, with a new copy elsewhere."""
        self._drop_backup(live, reg)
        live.backup = backup
        live.reg = reg
        live.begin_engine()
        self._share(live, is_reading=False)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run something beside the requests, and keep it from being collected."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _leave_engine(self, live: LiveRun) -> None:
        """Begin to carry a run off its engine."""
        if live.move is None or (live.move.done() and live.move.result() is None):
            live.move = asyncio.ensure_future(self._carry_off(live))

    async def _carry_off(self, live: LiveRun) -> Copied | Switched | None:
        """Get a run off an engine that leaves."""
        source = live.reg
        await live.started.wait()
        for _ in range(SWITCH_TRIES):
            if live.backup is None or not self._registry.is_usable(live.backup):
                break
            # A copy is made as the run grows; right after the first event there is
            # none.
            await asyncio.sleep(COPY_AGE_SECONDS - live.age_seconds)
            switched = await self._switch(live, live.backup)
            if switched is not None:
                return switched
            await asyncio.sleep(SWITCH_PAUSE_SECONDS)
        if live.reg != source or source is None or not live.engine.can_move:
            return None
        return await self._move_in_turn(live, source)

    async def _leave_silent(self, live: LiveRun) -> Copied | Switched | None:
        """Go on from a copy, where there is one, as the engine sends nothing more."""
        if live.backup is None:
            return None
        live.ex.log("silent", endpoint=live.run.endpoint)
        return await self._switch(live, live.backup)

    async def _switch(self, live: LiveRun, backup: Registration) -> Switched | None:
        """Go on from a copy that grew elsewhere, and only then leave the engine.

        The copy may be missing. Were the engine left first, the run would be lost; as
        it is, both work on it for the few milliseconds until the answer's head comes.
        """
        following = self._next_backup(live, backup)
        name = wire.copy_name(backup.address, live.ex.facts.attempt_id)
        opened = await self._open(live, backup, following, name)
        if isinstance(opened, Err):
            return None
        if live.stream is not None:
            live.stream.close()
        live.ex.log("switched", endpoint=backup.endpoint, n_events=live.n_events)
        return Switched(reg=backup, backup=following, stream=opened.ok_value)

    async def _move_in_turn(self, live: LiveRun, source: Registration) -> Copied | None:
        """Move a run when those before it have left the engine's link."""
        await self._await_turn(live, source)
        if live.reg != source:
            return None
        return await self._move(live, source)

    async def _await_turn(self, live: LiveRun, source: Registration) -> None:
        """Wait until the moves before this one are done, or should be."""
        loop = asyncio.get_running_loop()
        run_id = live.run.run_id
        runs = self._loads.on_engine(source.endpoint)
        latest = moving.latest_seconds(run_id, runs, live.engine)
        start_by = loop.time() + latest
        while not moving.is_turn(run_id, self._loads.on_engine(source.endpoint)):
            if loop.time() >= start_by:
                break
            await asyncio.sleep(TURN_SECONDS)

    async def _move(self, live: LiveRun, source: Registration) -> Copied | None:
        """Copy a run to an engine with room; one that refuses is not asked again."""
        excluded = {source.endpoint}
        deadline = asyncio.get_running_loop().time() + COPY_SECONDS
        for _ in range(MAX_REFUSED):
            target = self._move_target(live, source, excluded)
            if target is None:
                live.ex.log("move_no_room", endpoint=source.endpoint)
                return None
            if not self._is_in_time(live, source, target):
                # A copy that is cut off by its engine's end takes memory at the other
                # one for seconds, and holds up those behind it.
                live.ex.log("move_too_late", endpoint=source.endpoint)
                return None
            # The other nodes see the room taken before the run is there.
            live.backup = target
            self._share(live, is_reading=False, is_moving=True)
            copied = await self._copy_and_stop(live, source, target, deadline)
            if isinstance(copied, Ok):
                return copied.ok_value
            live.backup = None
            if copied.err_value.status != 503:
                return None
            excluded.add(target.endpoint)
        return None

    def _is_in_time(
        self, live: LiveRun, source: Registration, target: Registration
    ) -> bool:
        leaves_at = self._leaves_at.get(source.endpoint)
        if leaves_at is None:
            return True
        is_far = source.failure_domain != target.failure_domain
        seconds = moving.copy_seconds(live.run, live.engine, is_far=is_far)
        return asyncio.get_running_loop().time() + seconds < leaves_at

    async def _ask_end(self, reg: Registration) -> None:
        """Ask an engine that leaves when it will be gone."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(REPORT_LAG_SECONDS)
        asked_at = loop.time()
        answered = await self._api.report(reg, asked_at + REPORT_SECONDS)
        if isinstance(answered, Err) or answered.ok_value.leaves_in_seconds is None:
            return
        # The report is some hundred milliseconds old, so the end is no later than this.
        self._leaves_at[reg.endpoint] = asked_at + answered.ok_value.leaves_in_seconds
        log_message(
            "relay:engine:end_known",
            endpoint=reg.endpoint,
            seconds=answered.ok_value.leaves_in_seconds,
        )

    def _move_target(
        self, live: LiveRun, source: Registration, excluded: set[str]
    ) -> Registration | None:
        demand = replace(
            self._demand(live),
            failure_domain=source.failure_domain,
            n_reading_tokens=0,
            memory_share=placing.MOVE_SHARE,
            far_cost=placing.FAR_MOVE_COST,
        )
        loads = self._engine_loads(live, excluded)
        target = placing.choose_engine(loads, demand, self._rng)
        return target.reg if target is not None else None

    async def _copy_and_stop(
        self,
        live: LiveRun,
        source: Registration,
        target: Registration,
        deadline: float,
    ) -> Result[Copied, MoveFailed]:
        """Copy a run while it goes on, then stop it and copy what is new."""
        moved: wire.Moved | None = None
        loop = asyncio.get_running_loop()
        for is_last in (False, True):
            began_at = loop.time()
            copied = await self._api.copy(
                source.address,
                live.ex.facts.attempt_id,
                target.address,
                is_last=is_last,
                deadline=deadline,
            )
            if isinstance(copied, Err):
                if moved is not None:
                    # The first copy would take memory there for seconds.
                    for end in (source, target):
                        self._run(self._api.free(end.address, moved.handle, deadline))
                live.ex.log(
                    "move_failed",
                    endpoint=source.endpoint,
                    target=target.endpoint,
                    reason=copied.err_value.reason,
                    status=copied.err_value.status,
                    is_last=is_last,
                )
                return Err(copied.err_value)
            moved = copied.ok_value
            live.ex.log(
                "copied",
                endpoint=source.endpoint,
                target=target.endpoint,
                seconds=round(loop.time() - began_at, 4),
                n_tokens=live.run.n_tokens,
                is_last=is_last,
            )
        assert moved is not None
        name = wire.copy_name(source.address, moved.handle)
        return Ok(Copied(reg=target, name=name))
