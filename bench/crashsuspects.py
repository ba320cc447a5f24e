"""Measures the decision on prompt parts that crash engines, apart from nodes.

Run it with ``python -m bench.crashsuspects``. Only the decision and ways to share its
evidence are played: requests arrive at random nodes, engines run several at a time, and
crash by a part, by themselves or by domains. Many draws show both errors: ends until a
part is found, and sound parts that are blocked.
"""

from __future__ import annotations

import abc
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from celerytrail.model import REQUEST_MARK, Incarnation, Prompt
from celerytrail.policies import crashsuspects
from celerytrail.policies.blockedprompts import Block, BlockedPrompts
from celerytrail.policies.crashsuspects import Crash, CrashSuspects, LostRun

N_ENGINES = 6
DOWN_SECONDS = 3.0
# Time from a request's arrival at its engine to its first token, and of its answer.
BEGIN_SECONDS = (0.2, 0.8)
ANSWER_SECONDS = 2.0
SECONDS = 30.0
BAD_SINCE = 6.0
# Time until all nodes have news, and the share of datagrams that are lost.
NEWS_SECONDS = 0.002
LOST_SHARE = 0.02
# Bytes of a crash, an answer or a block as sent, with IP and UDP headers.
CRASH_BYTES = 120
ANSWER_BYTES = 75
BLOCK_BYTES = 70
N_TRIES = 2


class Way(abc.ABC):
    """Spreads evidence and blocks over the nodes; one decision for each of them."""

    # Whether nodes tell which parts of a crash they know answers on.
    tells_answers = False

    def __init__(self, n_nodes: int, rng: random.Random) -> None:
        self.n_nodes = n_nodes
        self.rng = rng
        self.n_bytes = 0
        self.suspects = [CrashSuspects() for _ in range(n_nodes)]
        self.blocked = [BlockedPrompts() for _ in range(n_nodes)]

    @abc.abstractmethod
    def crash_receivers(self, node: int, crash: Crash) -> set[int]:
        """Return the nodes that a node's news of a crash reaches."""

    @abc.abstractmethod
    def block_receivers(self, node: int) -> set[int]:
        """Return the nodes that a block reaches which a node has found."""

    def on_crash(self, node: int, crash: Crash, now: float) -> list[Block]:
        """Record a crash at all nodes that learn of it; return the blocks found."""
        found = []
        for receiver in {node, *self.crash_receivers(node, crash)}:
            for finding in self.suspects[receiver].record_crash(crash, now):
                block = Block(
                    service=finding.service,
                    parts=finding.parts,
                    revision=1,
                    ends_at=SECONDS * 10,
                )
                found.append(block)
                for told in {receiver, *self.block_receivers(receiver)}:
                    if self.blocked[told].put(block):
                        self.suspects[told].explain(block.service, block.parts)
        if self.tells_answers:
            self._tell_answers(crash)
        return found

    def _tell_answers(self, crash: Crash) -> None:
        """Tell all nodes when a part of the crash was last answered on."""
        parts = {part for run in crash.runs for part in run.prompt.shared_parts}
        for part in parts:
            key = ("models", part)
            times = [suspects.answered_at(key) for suspects in self.suspects]
            latest = max((at for at in times if at is not None), default=None)
            if latest is None:
                continue
            teller = times.index(latest)
            prompt = Prompt(service="models", shared_parts=(part,))
            for receiver in self._all_but(teller, ANSWER_BYTES):
                self.suspects[receiver].record_answer(prompt, latest, is_whole=False)

    def on_answer(self, node: int, prompt: Prompt, now: float) -> None:
        """Record an answer; tell the others if it clears a part."""
        if self.suspects[node].record_answer(prompt, now):
            for receiver in self.answer_receivers(node):
                self.suspects[receiver].record_answer(prompt, now)

    def answer_receivers(self, node: int) -> set[int]:
        """Return the nodes that an answer's news reaches."""
        return self._all_but(node, ANSWER_BYTES)

    def _all_but(self, node: int, n_bytes: int) -> set[int]:
        self.n_bytes += (self.n_nodes - 1) * n_bytes
        return {
            other
            for other in range(self.n_nodes)
            if other != node and self.rng.random() >= LOST_SHARE
        }


class Alone(Way):
    """Each node decides by the crashes that it saw itself."""

    def crash_receivers(self, node: int, crash: Crash) -> set[int]:
        """Return no node."""
        return set()

    def block_receivers(self, node: int) -> set[int]:
        """Return no node."""
        return set()

    def answer_receivers(self, node: int) -> set[int]:
        """Return no node."""
        return set()


class BlocksAnnounced(Alone):
    """Each node decides alone, and announces what it found."""

    def block_receivers(self, node: int) -> set[int]:
        """Return the other nodes."""
        return self._all_but(node, BLOCK_BYTES)


class Announced(Way):
    """Crashes and answers on suspected parts go to all nodes; each one decides."""

    tells_answers = True

    def crash_receivers(self, node: int, crash: Crash) -> set[int]:
        """Return the other nodes."""
        return self._all_but(node, CRASH_BYTES)

    def block_receivers(self, node: int) -> set[int]:
        """Return no node: what a node missed is passed on within a second or two."""
        return set()


class AnnouncedWithoutHistory(Announced):
    """The same, without what was answered before the crashes."""

    tells_answers = False


class Owner(BlocksAnnounced):
    """Crashes and all answers go to one node for each service, which decides."""

    def crash_receivers(self, node: int, crash: Crash) -> set[int]:
        """Return the owner."""
        self.n_bytes += CRASH_BYTES
        return {0} if self.rng.random() >= LOST_SHARE else set()

    def on_answer(self, node: int, prompt: Prompt, now: float) -> None:
        """Tell the owner, which alone knows what is suspected."""
        self.n_bytes += ANSWER_BYTES
        if self.rng.random() >= LOST_SHARE:
            self.suspects[0].record_answer(prompt, now)


WAYS: dict[str, Callable[[int, random.Random], Way]] = {
    "alone": Alone,
    "blocks announced": BlocksAnnounced,
    "all announced": Announced,
    "all, no history": AnnouncedWithoutHistory,
    "one owner": Owner,
}


@dataclass(frozen=True, kw_only=True)
class Case:
    """What arrives, and which crashes engines have by themselves.

    ``n_bad`` parts crash engines, each ``bad_per_second`` times. ``rare_share`` of the
    sound requests hold one of ``n_rare`` parts that few of them share.
    """

    n_bad: int = 1
    bad_per_second: float = 1.0
    sound_per_second: float = 4.0
    crash_every: float = 0.0
    domain_every: float = 0.0
    rare_share: float = 0.3
    n_rare: int = 12


CASES: dict[str, Case] = {
    "one part": Case(),
    "two parts": Case(n_bad=2, bad_per_second=0.7),
    "few sound requests": Case(sound_per_second=0.5),
    "other crashes beside": Case(crash_every=4.0),
    "only other crashes": Case(n_bad=0, crash_every=1.5),
    "only other crashes, many": Case(n_bad=0, crash_every=0.5),
    "domains lost": Case(n_bad=0, domain_every=4.0),
}


@dataclass(kw_only=True)
class _Run:
    prompt: Prompt
    bad: str
    node: int
    engine: int
    sent_at: float
    tries: int = 1
    is_begun: bool = False


@dataclass(kw_only=True)
class Measured:
    """What one draw gave: ends by bad parts, and what was blocked wrongly.

    ``n_refused`` are sound requests that were refused, of ``n_sound``.
    """

    n_ends: int = 0
    n_late: int = 0
    n_sound: int = 0
    n_served: int = 0
    n_refused: int = 0
    n_sound_blocks: int = 0
    n_bytes: int = 0


class Draw:
    """Plays one draw of a case."""

    def __init__(self, case: Case, way: Way, seed: int) -> None:
        self._case = case
        self._way = way
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._up = [True] * N_ENGINES
        self._starts = [1] * N_ENGINES
        self._runs: list[_Run] = []
        self._ends_by_part: dict[str, list[float]] = {}
        self._n_own = 0
        self.measured = Measured()

    def run(self) -> Measured:
        """Play it."""
        case = self._case
        self._arrivals(case.sound_per_second, 0.0, "")
        for n in range(case.n_bad):
            self._arrivals(case.bad_per_second, BAD_SINCE, f"bad{n}")
        self._repeat(case.crash_every, lambda now: self._crash_any(now, 1))
        self._repeat(case.domain_every, lambda now: self._crash_any(now, 2))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        self.measured.n_bytes = self._way.n_bytes
        return self.measured

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        if at < SECONDS:
            heapq.heappush(self._events, (at, next(self._order), action))

    def _arrivals(self, per_second: float, since: float, bad: str) -> None:
        at = since
        while at < SECONDS:
            at += self._rng.expovariate(per_second)
            self._at(at, lambda now: self._arrive(now, bad))

    def _repeat(self, seconds: float, action: Callable[[float], None]) -> None:
        for n in range(1, int(SECONDS / seconds) if seconds else 0):
            self._at(BAD_SINCE / 2 + n * seconds, action)

    def _arrive(self, now: float, bad: str) -> None:
        case = self._case
        self._n_own += 1
        parts = ["first"]
        if self._rng.random() < 0.5:
            parts.append("second")
        if bad:
            parts.append(bad)
        elif self._rng.random() < case.rare_share:
            parts.append(f"rare{self._rng.randrange(case.n_rare)}")
        prompt = Prompt(
            service="models", shared_parts=tuple(parts), digest=f"{self._n_own:x}"
        )
        self.measured.n_sound += not bad
        node = self._rng.randrange(self._way.n_nodes)
        self._place(
            now, _Run(prompt=prompt, bad=bad, node=node, engine=-1, sent_at=now)
        )

    def _place(self, now: float, run: _Run) -> None:
        if self._way.blocked[run.node].find(run.prompt, now):
            self.measured.n_refused += not run.bad
            return
        engines = [n for n in range(N_ENGINES) if self._up[n]]
        if not engines:
            self._at(now + 0.2, lambda later: self._place(later, run))
            return
        run.engine = min(
            engines,
            key=lambda n: (
                sum(one.engine == n for one in self._runs),
                self._rng.random(),
            ),
        )
        run.sent_at, run.is_begun = now, False
        if run.bad:
            ends = self._ends_by_part.get(run.bad, [])
            self.measured.n_late += len(ends) >= 5 and now > ends[4] + 3.0
        self._runs.append(run)
        begins_at = now + self._rng.uniform(*BEGIN_SECONDS)
        self._at(begins_at, lambda later: self._begin(later, run, now))

    def _begin(self, now: float, run: _Run, sent_at: float) -> None:
        if run not in self._runs or run.sent_at != sent_at:
            return
        if run.bad:
            self._ends_by_part.setdefault(run.bad, []).append(now)
            self.measured.n_ends += 1
            self._crash(now, run.engine)
            return
        run.is_begun = True
        self._way.on_answer(run.node, run.prompt, now)
        self._at(now + ANSWER_SECONDS, lambda later: self._end(later, run, sent_at))

    def _end(self, now: float, run: _Run, sent_at: float) -> None:
        if run in self._runs and run.sent_at == sent_at:
            self._runs.remove(run)
            self.measured.n_served += 1

    def _crash_any(self, now: float, n_engines: int) -> None:
        up = [n for n in range(N_ENGINES) if self._up[n]]
        for engine in self._rng.sample(up, min(n_engines, len(up))):
            self._crash(now, engine)

    def _crash(self, now: float, engine: int) -> None:
        self._up[engine] = False
        incarnation: Incarnation = (f"e{engine}", self._starts[engine])
        self._starts[engine] += 1
        self._at(now + DOWN_SECONDS, lambda later: self._restart(engine))
        lost = [run for run in self._runs if run.engine == engine]
        self._runs = [run for run in self._runs if run.engine != engine]
        by_node: dict[int, list[LostRun]] = {}
        for run in lost:
            if not run.is_begun:
                lost_run = LostRun(prompt=run.prompt, sent_at=run.sent_at)
                by_node.setdefault(run.node, []).append(lost_run)
        for node, runs in by_node.items():
            crash = Crash(incarnation=incarnation, runs=tuple(runs), crashed_at=now)
            for block in self._way.on_crash(node, crash, now):
                self._count_block(block)
        for run in lost:
            self._try_again(now + NEWS_SECONDS, run)

    def _try_again(self, at: float, run: _Run) -> None:
        if run.tries < N_TRIES:
            run.tries += 1
            self._at(at, lambda now: self._place(now, run))

    def _count_block(self, block: Block) -> None:
        if not any(part.startswith(("bad", REQUEST_MARK)) for part in block.parts):
            self.measured.n_sound_blocks += 1

    def _restart(self, engine: int) -> None:
        self._up[engine] = True


@dataclass(kw_only=True)
class _Sums:
    draws: list[Measured] = field(default_factory=list)

    def row(self, n_nodes: int) -> str:
        """Return the cell of a table."""
        draws = self.draws
        n = len(draws)
        ends = sorted(one.n_ends for one in draws)
        n_sound = sum(one.n_sound for one in draws)
        served = sum(one.n_served for one in draws) / n_sound
        refused = sum(one.n_refused for one in draws) / n_sound
        n_kept = sum(one.n_late <= 3 for one in draws)
        n_blocks = sum(one.n_sound_blocks > 0 for one in draws)
        rate = sum(one.n_bytes for one in draws) / n / SECONDS / n_nodes
        return (
            f"{ends[n // 2]}, {ends[int(n * 0.95)]}, {n_kept / n:.2f}, "
            f"{n_blocks / n:.3f}, {served:.3f}, {refused:.4f}, {rate:.0f}"
        )


def measure(case: Case, way: str, n_nodes: int, n_draws: int) -> str:
    """Return a cell: ends (median, 95%), kept, sound blocked, served, refused, B/s."""
    sums = _Sums()
    for seed in range(n_draws):
        made = WAYS[way](n_nodes, random.Random(f"way {seed}"))
        sums.draws.append(Draw(case, made, seed).run())
    return sums.row(n_nodes)


def main() -> None:
    """Print the tables: the number of crashes, and ways to share evidence."""
    print("Crashes in a row, all announced, 12 nodes, 200 draws")
    print("| case | " + " | ".join(str(n) for n in (2, 3, 4, 5)) + " |")
    usual = crashsuspects.N_CRASHES
    for name, case in CASES.items():
        cells = []
        for n_crashes in (2, 3, 4, 5):
            crashsuspects.N_CRASHES = n_crashes
            cells.append(measure(case, "all announced", 12, 200))
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    crashsuspects.N_CRASHES = usual
    print("Ways to share the evidence, 20 draws")
    print("| case | nodes | " + " | ".join(WAYS) + " |")
    for name in ("one part", "two parts"):
        for n_nodes in (12, 119, 330):
            cells = [measure(CASES[name], way, n_nodes, 20) for way in WAYS]
            print(f"| {name} | {n_nodes} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
