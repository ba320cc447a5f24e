"""Tells the other nodes what this one sends to engines, by datagrams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
from eliot import log_message

from ..http.network import Network
from ..model import EngineReport
from ..nodes.gossip import DATAGRAM_HEAD_BYTES
from ..policies.engineloads import EngineLoads, Run
from ..policies.paces import Paces
from ..policies.repeats import SHORTEST_SECONDS, Repeats
from ..types import Address

# How far the time to the next list is drawn from its period, so that the lists of nodes
# that started together don't come together.
PERIOD_JITTER = 0.2
# Runs in one datagram, so that it stays below 1,200 bytes.
MAX_RUNS = 12


class RunNews(msgspec.Struct, array_like=True, frozen=True):
    """One run on the wire."""

    run_id: str
    endpoint: str
    n_prompt_tokens: int
    n_expected_tokens: int
    backup: str
    is_reading: bool
    n_made_tokens: int = 0
    is_moving: bool = False


class ReportNews(msgspec.Struct, array_like=True, frozen=True):
    """What an engine said of its load, on the wire."""

    endpoint: str
    n_queued: int
    n_running: int
    n_used_tokens: int
    n_memory_tokens: int


class News(msgspec.Struct, array_like=True, frozen=True):
    """What one node says of its runs.

    ``is_whole`` says that there are no others than these; ``ended`` are run ids, and
    ``leaving`` engines that the sender learned will go, ``retried`` services at which
    it made a retry, ``broken`` endpoints that broke its requests off.
    ``period_seconds`` is the time to the sender's next list of runs.
    """

    node: str
    is_whole: bool = False
    runs: list[RunNews] = []
    ended: list[str] = []
    leaving: list[str] = []
    retried: list[str] = []
    reports: list[ReportNews] = []
    broken: list[str] = []
    period_seconds: float = SHORTEST_SECONDS


class Sharing(asyncio.DatagramProtocol):
    """Sends and receives news of runs.

    Parameters
    ----------
    node : str
        This node's name, new at each start.
    loads : EngineLoads
        Takes in what the others say.
    paces : Paces
        Learns from how far runs are.
    peers : callable
        Returns where the other nodes take news.
    on_leaving : callable
        Called with an engine that another node learned will go.
    on_retried : callable
        Called with a service at which another node made a retry.
    on_broken : callable
        Called with an endpoint that broke another node's request off.
    rng : random.Random
        Spreads the lists.
    """

    def __init__(
        self,
        *,
        node: str,
        loads: EngineLoads,
        paces: Paces,
        peers: Callable[[], Iterable[Address]],
        on_leaving: Callable[[str], None],
        on_retried: Callable[[str], None],
        on_broken: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._node = node
        self._loads = loads
        self._paces = paces
        self._peers = peers
        self._on_leaving = on_leaving
        self._on_retried = on_retried
        self._on_broken = on_broken
        self._rng = rng
        self._repeats = Repeats()
        # What the others are told, so that none forgets a run before its next list.
        self._period_seconds = SHORTEST_SECONDS
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(News)
        self.n_sent = 0
        self.n_sent_bytes = 0

    async def start(self, network: Network, address: Address) -> None:
        """Listen for news."""
        self._transport = await network.open_datagrams(lambda: self, address)

    async def run(self) -> None:
        """Repeat all runs while there are any, until cancelled."""
        while True:
            spread = self._rng.uniform(1.0 - PERIOD_JITTER, 1.0 + PERIOD_JITTER)
            await asyncio.sleep(spread * self._period_seconds)
            self._period_seconds = self._repeats.period_seconds(self._loads.n_speaking)
            self._refresh()

    def close(self) -> None:
        """Stop."""
        if self._transport is not None:
            self._transport.close()

    @property
    def period_seconds(self) -> float:
        """Return the time between two lists of this node's runs, in seconds."""
        return self._period_seconds

    def placed(self, run: Run) -> None:
        """Tell that this node placed a run, or what changed of it."""
        self._repeats.note_run()
        self._loads.put(self._node, run, self._now())
        self._send(self._list([run]))

    def progressed(self, run: Run) -> None:
        """Note how far a run is; the others hear of it with the next list."""
        self._paces.note(run, self._now())
        self._loads.put(self._node, run, self._now())

    def ended(self, run_id: str) -> None:
        """Tell that a run ended."""
        self._loads.end(self._node, run_id, self._now())
        self._paces.forget(run_id)
        self._send(News(node=self._node, ended=[run_id]))

    def leaving(self, endpoint: str) -> None:
        """Tell that an engine will go."""
        self._send(News(node=self._node, leaving=[endpoint]))

    def retried(self, service: str) -> None:
        """Tell that this node made a retry at a service."""
        self._send(News(node=self._node, retried=[service]))

    def broken(self, endpoint: str) -> None:
        """Tell that an endpoint broke a request off."""
        self._send(News(node=self._node, broken=[endpoint]))

    def reported(self, endpoint: str, report: EngineReport) -> None:
        """Tell what an engine said of its load."""
        self._loads.note_report(endpoint, report)
        news = ReportNews(
            endpoint=endpoint,
            n_queued=report.n_queued,
            n_running=report.n_running,
            n_used_tokens=report.n_used_tokens,
            n_memory_tokens=report.n_memory_tokens,
        )
        self._send(News(node=self._node, reports=[news]))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in another node's news."""
        try:
            news = self._decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            log_message("relay:sharing:unreadable", peer=addr[0], problem=str(exc))
            return
        if news.node == self._node:
            return
        now = self._now()
        runs = [_run(one) for one in news.runs]
        for run in runs:
            self._paces.note(run, now)
        if news.is_whole:
            self._loads.replace(
                news.node, runs, now, period_seconds=news.period_seconds
            )
        else:
            for run in runs:
                self._loads.put(news.node, run, now, period_seconds=news.period_seconds)
        for run_id in news.ended:
            self._loads.end(news.node, run_id, now)
            self._paces.forget(run_id)
        for endpoint in news.leaving:
            self._on_leaving(endpoint)
        for report in news.reports:
            self._loads.note_report(report.endpoint, _report(report))
        for service in news.retried:
            self._on_retried(service)
        for endpoint in news.broken:
            self._on_broken(endpoint)

    def _list(self, runs: list[Run], *, is_whole: bool = False) -> News:
        return News(
            node=self._node,
            is_whole=is_whole,
            runs=[_news(run) for run in runs],
            period_seconds=round(self._period_seconds, 2),
        )

    def _refresh(self) -> None:
        runs = self._loads.of_node(self._node)
        if not self._repeats.take(len(runs)):
            return
        if len(runs) <= MAX_RUNS:
            self._send(self._list(runs, is_whole=True))
            return
        for start in range(0, len(runs), MAX_RUNS):
            self._send(self._list(runs[start : start + MAX_RUNS]))

    def _send(self, news: News) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = msgspec.msgpack.encode(news)
        addresses = list(self._peers())
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))
        self.n_sent += len(addresses)
        self.n_sent_bytes += len(addresses) * (len(data) + DATAGRAM_HEAD_BYTES)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _news(run: Run) -> RunNews:
    return RunNews(
        run_id=run.run_id,
        endpoint=run.endpoint,
        n_prompt_tokens=run.n_prompt_tokens,
        n_expected_tokens=run.n_expected_tokens,
        backup=run.backup,
        is_reading=run.is_reading,
        n_made_tokens=run.n_made_tokens,
        is_moving=run.is_moving,
    )


def _report(news: ReportNews) -> EngineReport:
    return EngineReport(
        n_queued=news.n_queued,
        n_running=news.n_running,
        n_used_tokens=news.n_used_tokens,
        n_memory_tokens=news.n_memory_tokens,
    )


def _run(news: RunNews) -> Run:
    return Run(
        run_id=news.run_id,
        endpoint=news.endpoint,
        n_prompt_tokens=news.n_prompt_tokens,
        n_expected_tokens=news.n_expected_tokens,
        backup=news.backup,
        is_reading=news.is_reading,
        n_made_tokens=news.n_made_tokens,
        is_moving=news.is_moving,
    )
