"""Relays generations: one event stream for each caller, over one or more engines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import replace

from result import Err, Ok, Result

from ..exceptions import PeerError
from ..http.client import RequestLost, Stream
from ..model import EngineProfile, Prompt, Registration
from ..platform import wire
from ..policies.engineloads import Run
from ..policies.retrybudget import SharedRetryBudget
from ..policies.streamorigins import StreamOrigin, stream_key
from ..policies.waiting import organisation_tag
from .crashes.watch import N_BEGUN_EVENTS
from .endpointgate import (
    ENDPOINT_CLOSED,
    ENDPOINT_LIMITED,
    PROMPT_BLOCKED,
    reason_of,
)
from .engineopener import EngineOpener
from .engineplacer import EnginePlacer
from .events import EventSplitter, StreamEvent
from .exchange import (
    CallerDisconnectedError,
    Exchange,
    NodeStoppedError,
    break_off,
    failure_status,
    refuse,
    seconds_until,
)
from .liverun import LiveRun, Move, Switched
from .originbroker import OriginBroker
from .outcomes import (
    BROKEN_OFF,
    CONNECT_REFUSED,
    TIMEOUT,
    UNREACHABLE_REASONS,
    Failed,
    NotExecuted,
)
from .peerupdates import PeerUpdates
from .resumption import VERSION_GONE
from .runmover import RunMover
from .shutdown import STOPPED as NODE_STOPPED
from .shutdown import STOPPING, Shutdown
from .stoporders import UNKNOWN_START
from .streamends import find_break

# Engines that may refuse a generation before it is refused to the caller.
MAX_REFUSALS = 3
# Retry-After when engines are full, in seconds: about as long as a short answer takes
# to free its slot.
FULL_RETRY_SECONDS = 0.7
# Reason and Retry-After, in seconds, when all engines are in evacuated domains.
EVACUATED = "evacuated"
EVACUATED_RETRY_SECONDS = 2.0


class Generations:
    """Places generations, relays their events and resumes broken ones.

    Parameters
    ----------
    placer : EnginePlacer
        Chooses engines.
    opener : EngineOpener
        Opens streams.
    run_mover : RunMover
        Moves runs off engines that leave.
    peer_updates : PeerUpdates
        Announces runs to the other nodes.
    budget : SharedRetryBudget
        Bounds repeated requests.
    origins : OriginBroker
        Told what begins streams that callers may take up.
    shutdown : Shutdown
        Which generations can end before this process is killed.
    on_begun, on_whole : callable
        Called with a prompt once an engine has evidently begun its answer, and once it
        was answered to its end.
    rng : random.Random
        Generates run ids.
    """

    def __init__(
        self,
        *,
        placer: EnginePlacer,
        opener: EngineOpener,
        run_mover: RunMover,
        peer_updates: PeerUpdates,
        budget: SharedRetryBudget,
        origins: OriginBroker,
        shutdown: Shutdown,
        on_begun: Callable[[Prompt], None],
        on_whole: Callable[[Prompt], None],
        rng: random.Random,
    ) -> None:
        self._origins = origins
        self._shutdown = shutdown
        self._on_begun = on_begun
        self._on_whole = on_whole
        self._placer = placer
        self._opener = opener
        self._run_mover = run_mover
        self._sharing = peer_updates
        self._budget = budget
        self._rng = rng
        self._live: set[LiveRun] = set()

    @property
    def n_live(self) -> int:
        """Return the number of generations in progress."""
        return len(self._live)

    async def relay(self, ex: Exchange, engine: EngineProfile) -> None:
        """Answer a request with a generation."""
        now = asyncio.get_running_loop().time()
        self._budget.record_request(ex.service, now)
        facts = ex.facts
        n_prompt = max(1, facts.n_prompt_tokens)
        run = Run(
            run_id=f"{facts.attempt_id}/{self._rng.getrandbits(24):x}",
            endpoint="",
            n_prompt_tokens=n_prompt,
            n_expected_tokens=max(1, facts.n_expected_tokens),
            organisation=organisation_tag(ex.organisation),
            priority=ex.priority,
        )
        live = LiveRun(ex=ex, engine=engine, run=run)
        self._live.add(live)
        try:
            with self._shutdown.watch() as stopped:
                await ex.run_while_connected(self._run_generation(live), stopped)
        except CallerDisconnectedError:
            ex.log("caller_gone", n_events=live.n_events)
        except NodeStoppedError:
            was_sent = live.n_attempts > 0
            outcome = Failed(reason=NODE_STOPPED)
            await self._refuse_unstarted(
                live, outcome if was_sent else NotExecuted(reason=STOPPING)
            )
        except PeerError as exc:
            ex.log("caller_lost", problem=str(exc), n_events=live.n_events)
            await break_off(ex.res, BROKEN_OFF, attempt_id=facts.attempt_id)
        finally:
            self._live.discard(live)
            if not live.pauses.is_empty:
                ex.metrics.observe_many(
                    "relay_between_events", live.pauses, route=ex.route.name
                )
            if live.stream is not None:
                live.stream.close()
            self._opener.end(live)
            self._run_mover.end(live)
            if not live.is_complete and live.reg is not None:
                self._run_mover.free_backup(live, live.reg)
            if live.run.endpoint:
                self._sharing.announce_end(live.run.run_id)

    def on_leaving(self, reg: Registration) -> None:
        """Move the runs of a leaving engine to others."""
        self._placer.record_leaving(reg)
        self._run_mover.on_leaving(reg, self._live)

    def on_path_silent(self, reg: Registration) -> None:
        """Take the runs of an engine off connections on which nothing arrives now."""
        self._run_mover.on_path_silent(reg, self._live)

    def on_evacuated(self, domains: Collection[str]) -> None:
        """Give up the backups in failure domains that get no new work."""
        self._run_mover.on_evacuated(domains, self._live)

    def report_progress(self) -> None:
        """Report the progress of the runs and move those that need it."""
        for live in self._live:
            self._learn_version(live)
            self._run_mover.move_if_needed(live)
            if live.run.endpoint:
                n_made = live.n_events * live.engine.n_event_tokens
                live.run = replace(live.run, n_generated_tokens=n_made)
                self._sharing.record_progress(live.run)

    # Running.

    async def _run_generation(self, live: LiveRun) -> None:
        started = await self._open_first_stream(live)
        if isinstance(started, Err):
            await self._refuse_unstarted(live, started.err_value)
            return
        live.stream = started.ok_value
        if not wire.is_sealed_answer(live.stream.headers):
            live.ex.log("failed", reason="unsealed")
            await refuse(
                live.ex.res, 502, "unsealed", attempt_id=live.ex.facts.attempt_id
            )
            return
        if live.stream.status != 200:
            await self._send_whole_answer(live, live.stream)
            return
        await self._relay_events(live)

    async def _refuse_unstarted(
        self, live: LiveRun, outcome: NotExecuted | Failed
    ) -> None:
        ex = live.ex
        attempt = ex.facts.attempt_id
        if isinstance(outcome, NotExecuted):
            if outcome.reason != VERSION_GONE and not ex.can_end():
                outcome = NotExecuted(reason=STOPPING)
            ex.log("refused", reason=outcome.reason, bound_to=live.binding.version)
            if outcome.reason == VERSION_GONE:
                await refuse(ex.res, 421, VERSION_GONE, attempt_id=attempt)
                return
            if outcome.reason == STOPPING:
                retry_after = self._shutdown.retry_seconds
            elif outcome.reason == EVACUATED:
                retry_after = EVACUATED_RETRY_SECONDS
            else:
                retry_after = seconds_until(outcome.retry_at, FULL_RETRY_SECONDS)
            self._placer.record_refused(live, retry_after)
            await refuse(
                ex.res,
                503,
                outcome.reason,
                attempt_id=attempt,
                retry_after=retry_after,
            )
            return
        status = failure_status(outcome.reason)
        ex.log("failed", reason=outcome.reason, status=status)
        await refuse(ex.res, status, outcome.reason, attempt_id=attempt)

    async def _open_first_stream(
        self, live: LiveRun
    ) -> Result[Stream, NotExecuted | Failed]:
        """Open the first stream of a generation."""
        opened = await self._begin_run(live, set())
        if isinstance(opened, Err) and isinstance(opened.err_value, Failed):
            return await self._resume_unanswered(live, opened.err_value)
        return opened

    async def _begin_run(
        self, live: LiveRun, excluded: set[str]
    ) -> Result[Stream, NotExecuted | Failed]:
        """Begin a run at an engine that accepts it, none of those excluded.

        The registration of a crashed engine remains for seconds, and to every node it
        looks like the least loaded one. If refused connections counted as tries, three
        such engines would make a generation fail while others are free.
        """
        ex = live.ex
        n_sent = n_tries = 0
        while n_tries < MAX_REFUSALS:
            admission = await self._placer.place_admitted(live, excluded)
            if admission is None:
                return Err(self._unplaced(live))
            reg = admission.reg
            now = asyncio.get_running_loop().time()
            if n_sent and not self._budget.take(ex.service, now):
                self._opener.discard(admission)
                return Err(NotExecuted(reason="retry_denied"))
            opened = await self._opener.open(live, admission, live.backup)
            if isinstance(opened, Ok) or isinstance(opened.err_value, Failed):
                return opened
            refused = opened.err_value
            excluded.add(reg.endpoint)
            if refused.was_sent:
                n_sent += 1
            elif refused.reason in UNREACHABLE_REASONS:
                self._placer.record_unreachable(reg)
            elif refused.reason == PROMPT_BLOCKED:
                return Err(self._unplaced(live))
            elif refused.reason != ENDPOINT_CLOSED:
                # The key was revoked, or the caller's deadline has passed.
                return Err(refused)
            if refused.reason != CONNECT_REFUSED:
                n_tries += 1
        retry_at = self._placer.return_at(live)
        return Err(NotExecuted(reason="engines_refused", retry_at=retry_at))

    def _unplaced(self, live: LiveRun) -> NotExecuted:
        """Return the refusal of a generation for which there was no engine."""
        block = self._opener.find_block(live)
        if block is not None:
            return NotExecuted(reason=reason_of(block), retry_at=block.ends_at)
        if live.binding.version is not None and not self._placer.has_version(live):
            return NotExecuted(reason=VERSION_GONE)
        if self._placer.is_evacuated(live):
            return NotExecuted(reason=EVACUATED)
        retry_at = self._placer.return_at(live)
        if retry_at is None:
            return NotExecuted(reason="no_room")
        return NotExecuted(reason=ENDPOINT_LIMITED, retry_at=retry_at)

    async def _resume_unanswered(
        self, live: LiveRun, failed: Failed
    ) -> Result[Stream, NotExecuted | Failed]:
        """Resume a run whose engine failed before its answer began."""
        resumed = await self._resume(live, failed.reason)
        if resumed is None:
            return Err(failed)
        return Ok(resumed)

    async def _send_whole_answer(self, live: LiveRun, stream: Stream) -> None:
        """Send the caller an answer that isn't a stream of events."""
        ex = live.ex
        body = await stream.read(ex.loop_deadline)
        if isinstance(body, Ok) and not ex.has_ended_in_time(stream):
            body = Err(RequestLost(reason=TIMEOUT))
        attempt = ex.facts.attempt_id
        if isinstance(body, Err):
            reason = body.err_value.reason
            status = failure_status(reason)
            self._record_lost(live, reason)
            ex.log("failed", reason=reason, status=status)
            await refuse(ex.res, status, reason, attempt_id=attempt)
            return
        if stream.status < 500:
            self._on_whole(ex.prompt)
        ex.log("answered", endpoint=live.run.endpoint, status=stream.status)
        headers = wire.answer_headers(stream.headers)
        await ex.res.send(stream.status, body.ok_value, headers)

    async def _relay_events(self, live: LiveRun) -> None:
        """Relay events as they arrive, over as many engines as needed."""
        ex = live.ex
        assert live.stream is not None
        ex.res.start(live.stream.status, wire.answer_headers(live.stream.headers))
        splitter = EventSplitter()
        while True:
            chunk = await live.stream.next_chunk(ex.loop_deadline)
            if isinstance(chunk, Ok) and chunk.ok_value is not None:
                for event in splitter.feed(chunk.ok_value):
                    await self._relay_event(live, event)
                if not splitter.is_overlong:
                    continue
            reason = await find_break(live, chunk, splitter)
            if reason is None:
                break
            assert live.reg is not None
            by_orders = live.stop_orders.judge_end(live.reg)
            live.stream.close()
            splitter.clear()
            self._record_lost(live, reason)
            resumed = await self._resume(live, reason)
            if resumed is None or resumed.status != 200:
                ex.log(
                    "cut",
                    reason=reason,
                    n_events=live.n_events,
                    by_orders=by_orders.value,
                )
                await break_off(ex.res, reason, attempt_id=ex.facts.attempt_id)
                return
            live.stream = resumed
        live.is_complete = True
        assert live.reg is not None
        if live.n_events < N_BEGUN_EVENTS:
            self._on_begun(ex.prompt)
        self._on_whole(ex.prompt)
        await ex.res.finish()
        ex.observe("relay_answer")
        ex.observe_seconds("relay_longest_pause", live.longest_pause)
        ex.log(
            "answered",
            endpoint=live.run.endpoint,
            status=200,
            n_events=live.n_events,
            n_runs=live.n_runs,
            longest_pause=round(live.longest_pause, 3),
            is_framed=live.stream.is_framed,
            by_orders=live.stop_orders.judge_end(live.reg).value,
        )

    def _record_lost(self, live: LiveRun, reason: str) -> None:
        if live.reg is not None:
            self._opener.record_lost(live, live.reg, reason)

    async def _relay_event(self, live: LiveRun, event: StreamEvent) -> None:
        if event.is_comment:
            await live.ex.res.write(event.data)
            return
        number = event.number
        if number is not None:
            if live.last_number is not None and number <= live.last_number:
                # A run that resumes from a copy may repeat events that the caller
                # already has.
                return
            if live.n_runs > 1 and live.is_gap(number):
                raise PeerError("events are missing after a run was resumed")
            live.last_number = number
        if event.event_id is not None:
            live.last_event_id = event.event_id
        if live.n_events == 0:
            self._bind(live)
        self._opener.record_first_event(live)
        if live.run.is_prefilling:
            self._placer.on_first_event(live)
            live.ex.observe("relay_first_event")
        live.record_event()
        if live.n_events == N_BEGUN_EVENTS:
            self._on_begun(live.ex.prompt)
        await live.ex.res.write(event.data)

    def _bind(self, live: LiveRun) -> None:
        """Bind a run to its version, known elsewhere before its caller has an event."""
        live.bind()
        ex = live.ex
        if not ex.route.is_resumable:
            return
        version = live.binding.version
        assert version is not None
        facts = ex.facts
        self._origins.record(
            stream_key(ex.organisation, facts.resumed_attempt or facts.attempt_id),
            StreamOrigin(service=ex.service, version=version),
            ex.gives_up_at,
        )

    def _learn_version(self, live: LiveRun) -> None:
        """Bind a run whose version wasn't known at its first event, once it is."""
        if live.reg is None or live.binding.version:
            return
        if not live.reg.version:
            live.reg = self._placer.find(live.reg) or live.reg
        if live.reg.version and live.n_events:
            self._bind(live)

    def _assume_version(self, live: LiveRun) -> None:
        """Take the only version of its service for a run whose engine named no start.

        The engine has failed, so that it can't be asked any more.
        """
        if live.reg is None or live.reg.started_at != UNKNOWN_START:
            return
        version = self._origins.only_version(live.ex.service, live.ex.age_seconds)
        if not version:
            return
        live.ex.log("version_assumed", endpoint=live.reg.endpoint, version=version)
        live.reg = replace(live.reg, version=version)
        if live.n_events:
            self._bind(live)

    # Resuming at another engine.

    async def _resume(self, live: LiveRun, reason: str) -> Stream | None:
        """Resume a run after its stream broke or was moved."""
        live.resuming.set()
        try:
            return await self._open_next_stream(live, reason)
        finally:
            live.resuming.clear()

    async def _open_next_stream(self, live: LiveRun, reason: str) -> Stream | None:
        """Open a stream at the next engine, from a copy where one exists.

        Without a usable copy, a resumable request runs again at another engine.
        """
        ex = live.ex
        self._assume_version(live)
        previous_reg = live.reg
        moved = await self._await_move(live)
        if isinstance(moved, Switched):
            self._on_moved(live, moved.reg)
            return moved.stream
        copied = moved
        if copied is None and previous_reg is not None:
            copied = await self._run_mover.find_copy(live, previous_reg)
        left = [previous_reg] if previous_reg is not None else []
        while copied is not None:
            self._on_moved(live, copied.reg)
            opened = await self._opener.open_copy(live, copied)
            if isinstance(opened, Ok):
                self._run_mover.free_kept(live)
                ex.log(
                    "resumed",
                    reason=reason,
                    endpoint=copied.reg.endpoint,
                    version=copied.reg.version,
                )
                return opened.ok_value
            ex.log("copy_unusable", reason=reason, endpoint=copied.reg.endpoint)
            left.append(copied.reg)
            copied = await self._run_mover.find_later_copy(live, copied.source)
        n_attempts = max(live.n_runs, live.n_attempts)
        if not ex.route.is_resumable or n_attempts >= ex.route.max_attempts:
            return None
        now = asyncio.get_running_loop().time()
        if not self._budget.take(ex.service, now):
            return None
        for reg in left:
            self._run_mover.stop_before_repeat(live, reg)
        excluded = self._run_mover.unsettled(live) | {reg.endpoint for reg in left}
        opened = await self._begin_run(live, excluded)
        if isinstance(opened, Err):
            return None
        assert live.reg is not None
        ex.log(
            "run_again",
            reason=reason,
            endpoint=live.reg.endpoint,
            version=live.reg.version,
            n_events=live.n_events,
        )
        return opened.ok_value

    async def _await_move(self, live: LiveRun) -> Move:
        """Wait for the run's move, if there is one, and return its outcome.

        A move that ends by an error has no outcome; the run may still go on in another
        way.
        """
        if live.move is None:
            return None
        move, live.move = live.move, None
        try:
            await asyncio.wait({move})
        except asyncio.CancelledError:
            # What it has brought about is discarded with the run.
            live.move = move
            raise
        if move.cancelled() or move.exception() is not None:
            return None
        return move.result()

    def _on_moved(self, live: LiveRun, reg: Registration) -> None:
        """Record that a run continues at another engine.

        It gets no new backup. When an engine leaves, several runs resume at the same
        moment; copying all of them again in full would keep the links busy until the
        engine has stopped, and the runs that still have to be moved would be lost.
        """
        self._run_mover.leave(live, reg)
        live.backup = None
        live.reg = reg
        live.on_engine_changed()
        self._placer.announce(live, is_prefilling=False)
