"""What runs on each engine, put together from what all nodes say they sent there."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from ..model import EngineReport, Registration
from .repeats import SHORTEST_SECONDS, forget_seconds

# Runs of a node that was not heard of for so long are forgotten, in seconds, or later
# where its lists come less often.
SILENT_SECONDS = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A generation that some node has placed.

    Parameters
    ----------
    run_id : str
        Its name, unique among all nodes' runs.
    endpoint : str
        The engine that works on it.
    n_prompt_tokens, n_expected_tokens : int
        Size of its prompt, and of the output to reckon with.
    backup : str
        The engine that holds a copy of it; may be empty.
    is_reading : bool
        Whether its prompt is still being read.
    n_made_tokens : int
        Output made so far, as of the last list of runs.
    is_moving : bool
        Whether ``backup`` is where it is being moved to.
    """

    run_id: str
    endpoint: str
    n_prompt_tokens: int
    n_expected_tokens: int
    backup: str = ""
    is_reading: bool = True
    n_made_tokens: int = 0
    is_moving: bool = False

    @property
    def n_remaining_tokens(self) -> int:
        """Return the output that is still to be expected, in tokens."""
        return max(0, self.n_expected_tokens - self.n_made_tokens)

    @property
    def has_copy(self) -> bool:
        """Return whether a copy of it grows elsewhere."""
        return bool(self.backup) and not self.is_moving

    def after(self, seconds: float, token_seconds: float) -> Run:
        """Return the run as it is to be expected some seconds after it was named."""
        if self.is_reading or seconds <= 0 or token_seconds <= 0:
            return self
        return replace(
            self, n_made_tokens=self.n_made_tokens + int(seconds / token_seconds)
        )

    @property
    def n_tokens(self) -> int:
        """Return the memory that it takes now, in tokens."""
        return self.n_prompt_tokens + self.n_made_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """An engine as a placing decision sees it.

    Parameters
    ----------
    reg : Registration
        The engine.
    n_slots, n_memory_tokens : int
        What it has.
    runs : tuple of Run
        What was placed there and has not ended, as far as is known.
    copies : tuple of Run
        Runs elsewhere that it holds copies of.
    token_seconds : float
        The seconds that it takes for a token of one run.
    report : EngineReport or None
        What it said of itself last.
    """

    reg: Registration
    n_slots: int
    n_memory_tokens: int
    runs: tuple[Run, ...] = ()
    copies: tuple[Run, ...] = ()
    token_seconds: float = 0.0
    report: EngineReport | None = None

    @property
    def n_reading_tokens(self) -> int:
        """Return the prompt tokens that it has yet to read."""
        return sum(run.n_prompt_tokens for run in self.runs if run.is_reading)

    @property
    def n_tokens(self) -> int:
        """Return the memory that is taken now, in tokens."""
        return sum(run.n_tokens for run in (*self.runs, *self.copies))


@dataclass(frozen=True, kw_only=True, slots=True)
class _Named:
    run: Run
    at: float


@dataclass(kw_only=True, slots=True)
class _NodeRuns:
    heard_at: float
    forget_seconds: float
    named: dict[str, _Named]

    @property
    def runs(self) -> list[Run]:
        return [named.run for named in self.named.values()]

    @property
    def silent_until(self) -> float:
        """Return until when the node's runs stand though it says nothing."""
        return self.heard_at + max(SILENT_SECONDS, self.forget_seconds)

    def hear(self, now: float, period_seconds: float) -> None:
        """Note that the node spoke, and how often it repeats its list."""
        self.heard_at = now
        self.forget_seconds = forget_seconds(period_seconds)

    def forget_unnamed(self) -> None:
        """Forget runs whose end was not heard.

        A list of many runs goes out in parts, none of which says that there are no
        others. The datagram with a run's end may be lost; the run's memory would count
        as taken until the node falls silent, and callers be refused with engines free.
        """
        oldest = self.heard_at - self.forget_seconds
        ended = [run_id for run_id, named in self.named.items() if named.at < oldest]
        for run_id in ended:
            del self.named[run_id]


class EngineLoads:
    """The runs of all nodes, by engine.

    Each node tells the others at once what it places and what ends, and repeats its
    list while it has runs; what is lost on the way is mended by the next such list.
    Engines' own reports are half a second old, too old to keep nodes that decide at
    the same time from choosing the same engine.

    Parameters
    ----------
    token_seconds : callable or None
        Returns the seconds that an engine takes for a token of one run, by which other
        nodes' runs are reckoned on between two lists; without it they stand still.
    """

    def __init__(self, *, token_seconds: Callable[[str], float] | None = None) -> None:
        self._token_seconds = token_seconds
        self._nodes: dict[str, _NodeRuns] = {}
        self._reports: dict[str, EngineReport] = {}

    @property
    def n_speaking(self) -> int:
        """Return how many nodes have runs, as far as is known."""
        return sum(bool(known.named) for known in self._nodes.values())

    def put(
        self,
        node: str,
        run: Run,
        now: float,
        *,
        period_seconds: float = SHORTEST_SECONDS,
    ) -> None:
        """Note a run, or what changed of it.

        ``period_seconds`` is how often its node repeats its list.
        """
        known = self._hear(node, now, period_seconds)
        known.named[run.run_id] = _Named(run=run, at=now)

    def end(self, node: str, run_id: str, now: float) -> None:
        """Note that a run ended."""
        known = self._nodes.get(node)
        if known is not None:
            known.heard_at = now
            known.named.pop(run_id, None)

    def replace(
        self,
        node: str,
        runs: list[Run],
        now: float,
        *,
        period_seconds: float = SHORTEST_SECONDS,
    ) -> None:
        """Note all runs of a node."""
        known = self._hear(node, now, period_seconds)
        known.named = {run.run_id: _Named(run=run, at=now) for run in runs}

    def of_node(self, node: str) -> list[Run]:
        """Return all runs of a node."""
        known = self._nodes.get(node)
        return known.runs if known else []

    def on_engine(self, endpoint: str) -> list[Run]:
        """Return all nodes' runs on an engine, as they were named last."""
        return [
            run
            for known in self._nodes.values()
            for run in known.runs
            if run.endpoint == endpoint
        ]

    def expire(self, now: float, own: str) -> None:
        """Forget the runs of nodes that fell silent, and those that ended unheard.

        Never those of ``own``.
        """
        for node, known in list(self._nodes.items()):
            if node == own:
                continue
            known.forget_unnamed()
            if not known.named or now > known.silent_until:
                del self._nodes[node]

    def note_report(self, endpoint: str, report: EngineReport) -> None:
        """Note what an engine said of itself."""
        self._reports[endpoint] = report

    def forget_report(self, endpoint: str) -> None:
        """Let go of what an engine said that is gone."""
        self._reports.pop(endpoint, None)

    def loads(self, empty: list[EngineLoad], now: float) -> list[EngineLoad]:
        """Return engines with what all nodes placed there, as it is to be expected."""
        runs: dict[str, list[Run]] = {}
        copies: dict[str, list[Run]] = {}
        for known in self._nodes.values():
            for named in known.named.values():
                run = self._reckoned(named, now)
                runs.setdefault(run.endpoint, []).append(run)
                if run.backup:
                    copies.setdefault(run.backup, []).append(run)
        return [
            replace(
                load,
                runs=tuple(runs.get(load.reg.endpoint, ())),
                copies=tuple(copies.get(load.reg.endpoint, ())),
                report=self._reports.get(load.reg.endpoint),
            )
            for load in empty
        ]

    def _reckoned(self, named: _Named, now: float) -> Run:
        if self._token_seconds is None:
            return named.run
        run = named.run
        return run.after(now - named.at, self._token_seconds(run.endpoint))

    def _hear(self, node: str, now: float, period_seconds: float) -> _NodeRuns:
        known = self._nodes.get(node)
        if known is None:
            known = _NodeRuns(heard_at=now, forget_seconds=0.0, named={})
            self._nodes[node] = known
        known.hear(now, period_seconds)
        return known
