"""Load estimate of each engine, from the runs that all nodes have announced."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from ..model import EngineReport, Registration
from .runlistschedule import MIN_LIST_PERIOD_SECONDS, expiry_seconds

# The runs of a node expire after this many seconds without an update from it, or later
# if its lists are less frequent.
NODE_EXPIRY_SECONDS = 4.0
# A report expires after this many seconds: three periods of the reports, of which up to
# two may be lost.
REPORT_EXPIRY_SECONDS = 3.0
# Share of an engine's memory by which a report may exceed what the announced runs
# explain. Reports are half a second old, in which a run makes some fifty tokens.
UNEXPLAINED_SHARE = 0.05
# Output tokens of runs are projected in steps of two events, some 80 ms, so that the
# decisions of waiting requests, 20 to 50 ms apart, mostly find the projections made.
PROJECTED_STEP = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A generation that a node has placed on an engine.

    Parameters
    ----------
    run_id : str
        Its id, unique among the runs of all nodes.
    endpoint : str
        The engine that runs it.
    n_prompt_tokens, n_expected_tokens : int
        Size of its prompt and of its expected output.
    backup : str
        The engine that holds a copy of it; may be empty.
    is_prefilling : bool
        Whether its prefill is in progress.
    n_generated_tokens : int
        Output made so far, as of the last update.
    is_moving : bool
        Whether ``backup`` is the target of a migration in progress.
    organisation : str
        Tag of its caller's organisation; empty if it has none or is not known.
    priority : int
        Its priority; 0 is the most urgent.
    """

    run_id: str
    endpoint: str
    n_prompt_tokens: int
    n_expected_tokens: int
    backup: str = ""
    is_prefilling: bool = True
    n_generated_tokens: int = 0
    is_moving: bool = False
    organisation: str = ""
    priority: int = 0

    @property
    def n_remaining_tokens(self) -> int:
        """Return the expected further output, in tokens."""
        return max(0, self.n_expected_tokens - self.n_generated_tokens)

    @property
    def has_copy(self) -> bool:
        """Return whether another engine maintains a copy of it."""
        return bool(self.backup) and not self.is_moving

    @property
    def n_tokens(self) -> int:
        """Return the memory that it occupies now, in tokens."""
        return self.n_prompt_tokens + self.n_generated_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """State of an engine on which a placement decision is based.

    Parameters
    ----------
    reg : Registration
        The engine.
    n_slots, n_memory_tokens : int
        Its capacity.
    runs : tuple of Run
        Runs that were placed there and are not known to have ended.
    copies : tuple of Run
        Runs on other engines of which it holds copies.
    token_seconds : float
        Decode time per token of one run, in seconds.
    report : EngineReport or None
        Its last report.
    cold_seconds : float
        How long it stays cold.
    prefill_rate : float or None
        Prompt tokens that it reads per second, None if unknown.
    """

    reg: Registration
    n_slots: int
    n_memory_tokens: int
    runs: tuple[Run, ...] = ()
    copies: tuple[Run, ...] = ()
    token_seconds: float = 0.0
    report: EngineReport | None = None
    cold_seconds: float = 0.0
    prefill_rate: float | None = None

    @property
    def n_prefill_tokens(self) -> int:
        """Return the prompt tokens whose prefill isn't complete."""
        return sum(run.n_prompt_tokens for run in self.runs if run.is_prefilling)

    @property
    def n_tokens(self) -> int:
        """Return the memory in use now, in tokens."""
        return sum(run.n_tokens for run in (*self.runs, *self.copies))


@dataclass(kw_only=True, slots=True)
class _ListedRun:
    run: Run
    updated_at: float
    # The run as last projected, and by how many tokens.
    projected: Run | None = None
    n_projected: int = 0


@dataclass(kw_only=True, slots=True)
class _NodeRuns:
    updated_at: float
    expiry_seconds: float
    listed: dict[str, _ListedRun]

    @property
    def runs(self) -> list[Run]:
        return [listed.run for listed in self.listed.values()]

    @property
    def expires_at(self) -> float:
        """Return when the node's runs expire without a further update from it."""
        return self.updated_at + max(NODE_EXPIRY_SECONDS, self.expiry_seconds)

    def on_update(self, now: float, period_seconds: float) -> None:
        """Record the time of an update, and the period at which the list repeats."""
        self.updated_at = now
        self.expiry_seconds = expiry_seconds(period_seconds)

    def expire_unlisted(self) -> None:
        """Remove the runs that the node no longer lists.

        A list of many runs is sent in parts, none of which says that it is complete.
        The datagram with a run's end may be lost. The run's memory would then count as
        used until the node expires, and callers would be refused while engines are
        free.
        """
        oldest = self.updated_at - self.expiry_seconds
        ended = [
            run_id
            for run_id, listed in self.listed.items()
            if listed.updated_at < oldest
        ]
        for run_id in ended:
            del self.listed[run_id]


class EngineLoads:
    """Table of the runs of all nodes, from which engine loads are estimated.

    Each node announces placements and ends at once and repeats its list while it has
    runs; the next list makes up for lost datagrams. The engines' own reports are half a
    second old, too old to keep nodes that decide at the same time from choosing the
    same engine.

    Parameters
    ----------
    token_seconds : callable or None
        Returns the decode time per token of one run on an engine, in seconds. The
        progress of other nodes' runs is extrapolated with it between two lists; without
        it, it stays as last announced.
    """

    def __init__(self, *, token_seconds: Callable[[str], float] | None = None) -> None:
        self._token_seconds = token_seconds
        self._nodes: dict[str, _NodeRuns] = {}
        # By endpoint, the last report and the time at which it expires.
        self._reports: dict[str, tuple[EngineReport, float]] = {}

    @property
    def n_active_nodes(self) -> int:
        """Return the number of nodes that are known to have runs."""
        return sum(bool(node_runs.listed) for node_runs in self._nodes.values())

    def put_run(
        self,
        node: str,
        run: Run,
        now: float,
        *,
        period_seconds: float = MIN_LIST_PERIOD_SECONDS,
    ) -> None:
        """Add or update a run of a node.

        ``period_seconds`` is the period at which the node repeats its list.
        """
        node_runs = self._update_node(node, now, period_seconds)
        node_runs.listed[run.run_id] = _ListedRun(run=run, updated_at=now)

    def remove_run(self, node: str, run_id: str, now: float) -> None:
        """Remove a run that ended."""
        node_runs = self._nodes.get(node)
        if node_runs is not None:
            node_runs.updated_at = now
            node_runs.listed.pop(run_id, None)

    def replace_runs(
        self,
        node: str,
        runs: list[Run],
        now: float,
        *,
        period_seconds: float = MIN_LIST_PERIOD_SECONDS,
    ) -> None:
        """Replace all runs of a node by a complete list."""
        node_runs = self._update_node(node, now, period_seconds)
        node_runs.listed = {
            run.run_id: _ListedRun(run=run, updated_at=now) for run in runs
        }

    def runs_of_node(self, node: str) -> list[Run]:
        """Return all runs of a node."""
        node_runs = self._nodes.get(node)
        return node_runs.runs if node_runs else []

    def runs_on_engine(self, endpoint: str) -> list[Run]:
        """Return all nodes' runs on an engine, as of their last update."""
        return [
            listed.run
            for node_runs in self._nodes.values()
            for listed in node_runs.listed.values()
            if listed.run.endpoint == endpoint
        ]

    def n_runs_by_organisation(self, endpoints: Collection[str]) -> dict[str, int]:
        """Return the runs at some engines, by the tag of the organisation."""
        return Counter(
            listed.run.organisation
            for node_runs in self._nodes.values()
            for listed in node_runs.listed.values()
            if listed.run.endpoint in endpoints
        )

    def n_prefill_tokens(self, endpoint: str, *, excluded: str) -> int:
        """Return the prompt tokens queued at an engine, without one run's own."""
        return sum(
            run.n_prompt_tokens
            for run in self.runs_on_engine(endpoint)
            if run.is_prefilling and run.run_id != excluded
        )

    def expire(self, now: float, own: str) -> None:
        """Remove the runs of silent nodes, and runs that are no longer listed.

        The runs of ``own``, this node, never expire. Reports do, also this node's own.
        """
        self._reports = {
            endpoint: kept for endpoint, kept in self._reports.items() if now < kept[1]
        }
        for node, node_runs in list(self._nodes.items()):
            if node == own:
                continue
            node_runs.expire_unlisted()
            if not node_runs.listed or now > node_runs.expires_at:
                del self._nodes[node]

    def is_unexplained(self, endpoint: str, report: EngineReport, now: float) -> bool:
        """Return whether a report shows load that the announced runs don't explain.

        Requests wait at the engine, or memory is in use by runs that no node lists.
        """
        n_known = 0
        for node_runs in self._nodes.values():
            for listed in node_runs.listed.values():
                if endpoint in (listed.run.endpoint, listed.run.backup):
                    n_known += self._projected(listed, now).n_tokens
        n_allowed = n_known + UNEXPLAINED_SHARE * report.n_memory_tokens
        return report.n_queued > 0 or report.n_used_tokens > n_allowed

    def record_report(self, endpoint: str, report: EngineReport, now: float) -> None:
        """Record the last report of an engine."""
        self._reports[endpoint] = report, now + REPORT_EXPIRY_SECONDS

    def discard_report(self, endpoint: str) -> None:
        """Discard the last report of an engine that was removed."""
        self._reports.pop(endpoint, None)

    def estimate(self, empty: list[EngineLoad], now: float) -> list[EngineLoad]:
        """Return the loads of engines with the runs of all nodes, as expected now."""
        runs: dict[str, list[Run]] = {}
        copies: dict[str, list[Run]] = {}
        for node_runs in self._nodes.values():
            for listed in node_runs.listed.values():
                run = self._projected(listed, now)
                runs.setdefault(run.endpoint, []).append(run)
                if run.backup:
                    copies.setdefault(run.backup, []).append(run)
        return [
            replace(
                load,
                runs=tuple(runs.get(load.reg.endpoint, ())),
                copies=tuple(copies.get(load.reg.endpoint, ())),
                report=self._reports.get(load.reg.endpoint, (None,))[0],
            )
            for load in empty
        ]

    def _projected(self, listed: _ListedRun, now: float) -> Run:
        run = listed.run
        if self._token_seconds is None or run.is_prefilling:
            return run
        token_seconds = self._token_seconds(run.endpoint)
        seconds = now - listed.updated_at
        if seconds <= 0 or token_seconds <= 0:
            return run
        n_tokens = int(seconds / token_seconds)
        n_tokens -= n_tokens % PROJECTED_STEP
        if listed.projected is None or listed.n_projected != n_tokens:
            n_generated = run.n_generated_tokens + n_tokens
            listed.projected = replace(run, n_generated_tokens=n_generated)
            listed.n_projected = n_tokens
        return listed.projected

    def _update_node(self, node: str, now: float, period_seconds: float) -> _NodeRuns:
        node_runs = self._nodes.get(node)
        if node_runs is None:
            node_runs = _NodeRuns(updated_at=now, expiry_seconds=0.0, listed={})
            self._nodes[node] = node_runs
        node_runs.on_update(now, period_seconds)
        return node_runs
