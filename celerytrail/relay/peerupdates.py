"""Exchanges updates of engine load and failures between nodes, by datagrams."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec
from eliot import log_message
from result import Err

from ..http.network import Network
from ..model import EngineReport, LoadHeader, Registration
from ..nodes.gossip import DATAGRAM_HEADER_BYTES
from ..policies.decodetimes import DecodeTimes
from ..policies.engineloads import REPORT_EXPIRY_SECONDS, EngineLoads, Run
from ..policies.runlistschedule import MIN_LIST_PERIOD_SECONDS, RunListSchedule
from ..policies.statedlimits import LimitStatement
from ..policies.waiting import Returning, Waiting
from ..types import Address
from .crashes.news import CrashNews
from .updatemessages import (
    LimitEntry,
    LoadEntry,
    NodeUpdate,
    OriginEntry,
    ReportEntry,
    decode_update,
    header_from,
    limit_from,
    report_from,
    returning_entry,
    returning_from,
    run_entry,
    run_from,
    waiting_entry,
    waiting_from,
)

# Largest relative deviation of the time to the next run list from its period, so
# that nodes that started together don't send at the same moments.
PERIOD_JITTER = 0.2
# Keeps a datagram below 1,200 bytes.
MAX_RUNS_PER_DATAGRAM = 12
MAX_LIMITS_PER_DATAGRAM = 20
MAX_WAITING_PER_DATAGRAM = 8
# Peers from which on the end of a short run's prefill isn't announced, and the output
# still expected of such a run, six events, in tokens. It ends a quarter of a second
# later. Two thirds of the runs of the large fleets are short.
MANY_PEERS = 48
SHORT_RUN_TOKENS = 24


class PeerUpdates(asyncio.DatagramProtocol):
    """Sends this node's updates to the other nodes, and applies theirs.

    Parameters
    ----------
    node : str
        This node's name, new at each start.
    loads : EngineLoads
        Holds the runs and load reports of all nodes.
    decode_times : DecodeTimes
        Learns token rates from the progress of runs.
    on_run : callable
        Called with each run that this or another node announces.
    on_ended : callable
        Called with the id of each run that ended.
    peers : callable
        Returns the addresses at which the other nodes receive updates.
    on_leaving : callable
        Called with an endpoint that another node announced as leaving, and its start
        if the node stated it.
    on_retried : callable
        Called with a service at which another node made a retry.
    on_aborted : callable
        Called with an endpoint that aborted another node's request, and that node.
    on_limit : callable
        Called with the statement of a limit that another node announced.
    on_brittle : callable
        The same for the refusals that an endpoint bears.
    on_cut_off : callable
        Called with another node and all services that it is cut off from.
    on_origin : callable
        Called with each origin of a stream that another node told this one.
    on_crash_news : callable
        Called with other nodes' news of prompts that crash engines.
    on_load : callable
        Called with an endpoint, the load that it stated to another node, and whether
        that is a sample.
    on_waiting : callable
        Called with another node and each request of it that waits for an engine.
    on_returning : callable
        Called with each caller that another node refused and expects to return.
    rng : random.Random
        Source of the jitter between run lists.
    """

    def __init__(
        self,
        *,
        node: str,
        loads: EngineLoads,
        decode_times: DecodeTimes,
        on_run: Callable[[Run], None],
        on_ended: Callable[[str], None],
        peers: Callable[[], Iterable[Address]],
        on_leaving: Callable[[str, int | None], None],
        on_retried: Callable[[str], None],
        on_aborted: Callable[[str, str], None],
        on_limit: Callable[[LimitStatement], object],
        on_brittle: Callable[[LimitStatement], object],
        on_cut_off: Callable[[str, list[str]], None],
        on_origin: Callable[[OriginEntry], None],
        on_crash_news: Callable[[CrashNews], None],
        on_load: Callable[[str, LoadHeader, bool], None],
        on_waiting: Callable[[str, Waiting], None],
        on_returning: Callable[[Returning], None],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._loads = loads
        self._decode_times = decode_times
        self._on_run = on_run
        self._on_ended = on_ended
        self._peers = peers
        self._on_leaving = on_leaving
        self._on_retried = on_retried
        self._on_aborted = on_aborted
        self._on_limit = on_limit
        self._on_brittle = on_brittle
        self._on_cut_off = on_cut_off
        self._on_origin = on_origin
        self._on_crash_news = on_crash_news
        self._on_load = on_load
        self._on_waiting = on_waiting
        self._on_returning = on_returning
        self._rng = rng
        self._list_schedule = RunListSchedule()
        # Sent with each update, so that no run expires at a receiver before the next.
        self._period_seconds = MIN_LIST_PERIOD_SECONDS
        # By engine, when a report with unexplained load was last announced.
        self._announced_reports: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self.n_sent = 0
        self.n_sent_bytes = 0

    async def start(self, network: Network, address: Address) -> None:
        """Listen for updates."""
        self._transport = await network.open_datagrams(lambda: self, address)

    async def run(self) -> None:
        """Send all runs periodically while there are any, until cancelled."""
        while True:
            jitter = self._rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER)
            await asyncio.sleep(jitter * self._period_seconds)
            self._period_seconds = self._list_schedule.period_seconds(
                self._loads.n_active_nodes
            )
            self._send_all_runs()

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    @property
    def period_seconds(self) -> float:
        """Return the time between two run lists of this node, in seconds."""
        return self._period_seconds

    def announce_run(self, run: Run) -> None:
        """Announce a run that this node placed, or a change of it."""
        self._list_schedule.on_run_announced()
        self._on_run(run)
        self._loads.put_run(self._node, run, self._now())
        self._send(self._make_update([run]))

    def announce_first_event(self, run: Run) -> None:
        """Announce that a run's prefill has ended.

        Many peers aren't told of a run that ends within some events: its end is
        announced soon, or the next list of runs shows that its prefill has ended.
        """
        is_short = run.n_remaining_tokens <= SHORT_RUN_TOKENS and not run.backup
        if not is_short or len(list(self._peers())) < MANY_PEERS:
            self.announce_run(run)
            return
        self._on_run(run)
        self._loads.put_run(self._node, run, self._now())

    def record_progress(self, run: Run) -> None:
        """Record the progress of a run, which the next run list carries."""
        self._decode_times.record_progress(run, self._now())
        self._loads.put_run(self._node, run, self._now())

    def announce_end(self, run_id: str) -> None:
        """Announce that a run ended."""
        self._on_ended(run_id)
        self._loads.remove_run(self._node, run_id, self._now())
        self._decode_times.forget(run_id)
        self._send(NodeUpdate(node=self._node, ended=[run_id]))

    def announce_waiting(self, requests: Sequence[Waiting], ended: list[str]) -> None:
        """Announce requests that wait for an engine, and the ids of some that don't."""
        now = self._now()
        entries = [waiting_entry(waiting, now) for waiting in requests]
        for start in range(0, max(1, len(entries)), MAX_WAITING_PER_DATAGRAM):
            part = entries[start : start + MAX_WAITING_PER_DATAGRAM]
            self._send(NodeUpdate(node=self._node, waiting=part, ended=ended))
            ended = []

    def announce_returning(self, returning: Returning) -> None:
        """Announce a caller that this node refused and expects to return."""
        now = self._now()
        entry = returning_entry(returning, now)
        self._send(NodeUpdate(node=self._node, returning=[entry]))

    def announce_leaving(self, reg: Registration) -> None:
        """Announce that an endpoint is leaving."""
        self._send(
            NodeUpdate(
                node=self._node,
                leaving=[reg.endpoint],
                leaving_starts=[reg.started_at],
            )
        )

    def announce_retry(self, service: str) -> None:
        """Announce that this node made a retry at a service."""
        self._send(NodeUpdate(node=self._node, retried=[service]))

    def announce_abort(self, endpoint: str) -> None:
        """Announce that an endpoint aborted a request."""
        self._send(NodeUpdate(node=self._node, aborted=[endpoint]))

    def announce_cut_off(self, services: Iterable[str]) -> None:
        """Announce all services that this node is cut off from."""
        self._send(NodeUpdate(node=self._node, cut_off=sorted(services)))

    def tell_origin(self, entry: OriginEntry, addresses: Sequence[Address]) -> None:
        """Tell the nodes at some addresses what began a stream."""
        self._send_to(NodeUpdate(node=self._node, origins=[entry]), addresses)

    def announce_crash_news(self, news: CrashNews) -> None:
        """Announce news of prompts that crash engines."""
        self._send(NodeUpdate(node=self._node, prompts=news))

    def tell_crash_news(self, news: CrashNews, addresses: Sequence[Address]) -> None:
        """Tell the nodes at some addresses of prompts that crash engines."""
        self._send_to(NodeUpdate(node=self._node, prompts=news), addresses)

    def announce_limits(self, statements: Sequence[LimitStatement]) -> None:
        """Announce limits that endpoints state for all nodes together."""
        for entries in self._limit_entries(statements):
            self._send(NodeUpdate(node=self._node, limits=entries))

    def announce_brittle(self, statements: Sequence[LimitStatement]) -> None:
        """Announce endpoints that fall over, with the refusals that they bear."""
        for entries in self._limit_entries(statements):
            self._send(NodeUpdate(node=self._node, brittle=entries))

    def announce_load(
        self, endpoint: str, header: LoadHeader, *, is_sample: bool
    ) -> None:
        """Announce the load and speed that an endpoint has just stated."""
        entry = LoadEntry(
            endpoint=endpoint,
            n_running=header.n_running,
            n_waiting=header.n_waiting,
            n_slots=header.n_slots,
            slowness=header.slowness or 1.0,
            is_sample=is_sample,
        )
        self._send(NodeUpdate(node=self._node, stated_loads=[entry]))

    def _limit_entries(
        self, statements: Sequence[LimitStatement]
    ) -> Iterator[list[LimitEntry]]:
        """Yield the statements in portions that fit into a datagram."""
        now = self._now()
        for start in range(0, len(statements), MAX_LIMITS_PER_DATAGRAM):
            yield [
                LimitEntry(
                    endpoint=statement.endpoint,
                    requests_per_second=statement.requests_per_second,
                    sent_seconds_ago=round(now - statement.sent_at, 4),
                    heard_seconds_ago=round(now - statement.heard_at, 4),
                )
                for statement in statements[start : start + MAX_LIMITS_PER_DATAGRAM]
            ]

    def announce_report(self, endpoint: str, report: EngineReport) -> None:
        """Record the load that an engine reported, and announce it if it is news.

        Most reports only confirm what the announced runs explain. Announcing them all
        would make a fifth of the datagrams that a node of a large fleet receives.
        """
        now = self._now()
        is_news = self._loads.is_unexplained(endpoint, report, now)
        self._loads.record_report(endpoint, report, now)
        former = self._announced_reports.pop(endpoint, -math.inf)
        if is_news:
            self._announced_reports[endpoint] = now
        elif now - former > REPORT_EXPIRY_SECONDS:
            # The other nodes no longer act on the last one that was news.
            return
        entry = ReportEntry(
            endpoint=endpoint,
            n_queued=report.n_queued,
            n_running=report.n_running,
            n_used_tokens=report.n_used_tokens,
            n_memory_tokens=report.n_memory_tokens,
        )
        self._send(NodeUpdate(node=self._node, reports=[entry]))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply another node's update."""
        decoded = decode_update(data)
        if isinstance(decoded, Err):
            problem = decoded.err_value
            log_message("relay:sharing:unreadable", peer=addr[0], problem=problem)
            return
        update = decoded.ok_value
        if update.node == self._node:
            return
        now = self._now()
        runs = [run_from(entry) for entry in update.runs]
        for run in runs:
            self._decode_times.record_progress(run, now)
            self._on_run(run)
        if update.is_complete:
            self._loads.replace_runs(
                update.node, runs, now, period_seconds=update.period_seconds
            )
        else:
            for run in runs:
                self._loads.put_run(
                    update.node, run, now, period_seconds=update.period_seconds
                )
        for run_id in update.ended:
            self._on_ended(run_id)
            self._loads.remove_run(update.node, run_id, now)
            self._decode_times.forget(run_id)
        for waiting in update.waiting:
            self._on_waiting(update.node, waiting_from(waiting, now))
        for returning in update.returning:
            self._on_returning(returning_from(returning, now))
        starts = itertools.chain(update.leaving_starts, itertools.repeat(None))
        for endpoint, started_at in zip(update.leaving, starts, strict=False):
            self._on_leaving(endpoint, started_at)
        for report in update.reports:
            self._loads.record_report(report.endpoint, report_from(report), now)
        for service in update.retried:
            self._on_retried(service)
        for endpoint in update.aborted:
            self._on_aborted(endpoint, update.node)
        for entry in update.limits:
            self._on_limit(limit_from(entry, now))
        for entry in update.brittle:
            self._on_brittle(limit_from(entry, now))
        for origin in update.origins:
            self._on_origin(origin)
        if update.prompts is not None:
            self._on_crash_news(update.prompts)
        for stated in update.stated_loads:
            header = header_from(stated)
            if header is not None:
                self._on_load(stated.endpoint, header, stated.is_sample)
        if update.cut_off is not None:
            self._on_cut_off(update.node, update.cut_off)

    def _make_update(self, runs: list[Run], *, is_complete: bool = False) -> NodeUpdate:
        return NodeUpdate(
            node=self._node,
            is_complete=is_complete,
            runs=[run_entry(run) for run in runs],
            period_seconds=round(self._period_seconds, 2),
        )

    def _send_all_runs(self) -> None:
        runs = self._loads.runs_of_node(self._node)
        if not self._list_schedule.count_if_due(len(runs)):
            return
        if len(runs) <= MAX_RUNS_PER_DATAGRAM:
            self._send(self._make_update(runs, is_complete=True))
            return
        for start in range(0, len(runs), MAX_RUNS_PER_DATAGRAM):
            self._send(self._make_update(runs[start : start + MAX_RUNS_PER_DATAGRAM]))

    def _send(self, update: NodeUpdate) -> None:
        self._send_to(update, list(self._peers()))

    def _send_to(self, update: NodeUpdate, addresses: Sequence[Address]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = msgspec.msgpack.encode(update)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))
        self.n_sent += len(addresses)
        self.n_sent_bytes += len(addresses) * (len(data) + DATAGRAM_HEADER_BYTES)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
