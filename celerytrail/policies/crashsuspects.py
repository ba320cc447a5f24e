"""Which prompt parts crash engines, by the evidence of crashes and answers.

The load pattern: engines crash one after the other, each with several runs, of which
one may hold the part that causes it. Its other parts are shared with sound requests,
most of which are answered all the time; engines also crash for other reasons, at times
several of them together.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..model import Incarnation, Prompt

# Crashes in a row, without an answer on a part, after which the part is the cause.
N_CRASHES = 3
# The same for a part on which answers were written before. Requests without it must
# have been answered meanwhile: while none are, all of them may have one other cause.
N_CRASHES_ANSWERED = 5
N_OTHER_ANSWERS = 3
# Crashes after which even parts of different requests that fit equally are blocked.
N_CRASHES_TIED = 5
# Requests, told apart by their digests, that must have been lost: what only one
# request was lost by may be something else in it.
N_REQUESTS = 2
# A run sent up to this long before a crash may have been sent because of it, in
# seconds: nodes learn of a crash at slightly different times.
SLACK_SECONDS = 0.05
# Crashes and answered parts held at most, and how long crashes count, in seconds.
MAX_CRASHES = 64
MAX_ANSWERED = 4_096
MAX_RUNS = 32
MAX_FOUND = 256
RETENTION_SECONDS = 600.0

# A part of a service's prompts: the service and the part's id.
Part = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class LostRun:
    """A run that an endpoint broke off.

    Parameters
    ----------
    prompt : Prompt
        What was sent.
    sent_at : float
        Loop time at which the endpoint was sent the request.
    has_begun : bool
        Whether the endpoint had evidently begun to answer: then no shared part of the
        prompt is suspect, only the request itself.
    """

    prompt: Prompt
    sent_at: float
    has_begun: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """An endpoint's crash, and runs lost by it before the ends of their answers.

    ``crashed_at`` is the loop time at which the first answer was broken off.
    """

    incarnation: Incarnation
    runs: tuple[LostRun, ...]
    crashed_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """Prompts of a service with all of these parts crash engines.

    ``crashes`` are the starts of the engines that show it.
    """

    service: str
    parts: frozenset[str]
    crashes: tuple[Incarnation, ...]


@dataclass(kw_only=True, slots=True)
class _Crash:
    """A crash as all nodes together reported it."""

    crashed_at: float
    # By the parts of a prompt, when the latest of its lost runs was sent.
    runs: dict[frozenset[Part], float] = field(default_factory=dict)
    # By part, when the latest lost run with it was sent, and the digests of requests
    # that had it.
    sent_at: dict[Part, float] = field(default_factory=dict)
    requests: dict[Part, set[str]] = field(default_factory=dict)
    # The parts that were found to cause it, if they were.
    cause: frozenset[Part] | None = None

    def add_run(self, parts: frozenset[Part], sent_at: float, digest: str) -> bool:
        """Add a lost run; return whether it adds to what is known."""
        if sent_at <= self.runs.get(parts, float("-inf")):
            return False
        if len(self.runs) >= MAX_RUNS and parts not in self.runs:
            return False
        self.runs[parts] = sent_at
        for part in parts:
            self.sent_at[part] = max(self.sent_at.get(part, 0.0), sent_at)
            self.requests.setdefault(part, set()).add(digest)
        return True

    def explain_by(self, cause: frozenset[Part]) -> None:
        """Record a known cause, if a lost run had it."""
        if any(cause <= held for held in self.runs):
            self.cause = cause

    def suspects(self) -> set[Part]:
        """Return the parts that may have caused it."""
        return {part for part in self.sent_at if self.is_suspect(part)}

    def is_suspect(self, part: Part) -> bool:
        """Return whether a part of a lost run may have caused it."""
        return self.cause is None or part in self.cause


@dataclass(frozen=True, kw_only=True, slots=True)
class _Suspicion:
    """The crashes that a part may have caused.

    ``n_in_row`` counts those of which each one's run was sent after the one before.
    """

    part: Part
    crashes: frozenset[Incarnation]
    n_in_row: int
    n_requests: int
    is_answered: bool

    @property
    def rank(self) -> tuple[bool, int]:
        """Return how strong the suspicion is, the strongest first."""
        return (self.is_answered, -len(self.crashes))


class CrashSuspects:
    """Collects crashes and answers, and finds the parts that crash engines.

    An answer clears its parts of all crashes before it. Crashes that a found part
    explains accuse no other one.
    """

    def __init__(self) -> None:
        self._crashes: dict[Incarnation, _Crash] = {}
        # By part, the crashes by which runs with it were lost.
        self._lost_with: dict[Part, set[Incarnation]] = {}
        self._answered: dict[Part, float] = {}
        # The known causes; the oldest first.
        self._found: dict[frozenset[Part], None] = {}
        # The times and parts of the latest answers, for comparison.
        self._answers: list[tuple[float, frozenset[Part]]] = []

    @property
    def n_crashes(self) -> int:
        """Return the number of crashes without a known cause."""
        return sum(crash.cause is None for crash in self._crashes.values())

    def is_explained(self, incarnation: Incarnation) -> bool:
        """Return whether a part is known that caused a crash."""
        crash = self._crashes.get(incarnation)
        return crash is not None and crash.cause is not None

    def counts(self) -> dict[str, dict[str, int]]:
        """Return by service and part under how many crashes without an answer it was.

        Crashes whose cause is known aren't counted.
        """
        found: dict[str, dict[str, int]] = {}
        for crash in self._crashes.values():
            for service, part in crash.suspects() if crash.cause is None else ():
                answered_at = self._answered.get((service, part))
                if answered_at is None or answered_at < crash.crashed_at:
                    counts = found.setdefault(service, {})
                    counts[part] = counts.get(part, 0) + 1
        return found

    def answered_at(self, part: Part) -> float | None:
        """Return the loop time of the latest known answer on a part."""
        return self._answered.get(part)

    def record_answer(
        self, prompt: Prompt, at: float, *, is_whole: bool = True
    ) -> bool:
        """Record that an answer was begun on a prompt.

        ``is_whole`` is whether these are all shared parts of the prompt.

        Returns
        -------
        bool
            Whether it clears a part of a crash.
        """
        # When engines last crashed under each part that may be the cause.
        suspected: dict[Part, float] = {}
        for part in parts_of(prompt):
            last_at = self._last_crash_at(part)
            if last_at is not None:
                suspected[part] = last_at
        parts = parts_of(prompt)
        clears = any(
            self._answered.get(part, 0.0) < last_at <= at
            for part, last_at in suspected.items()
        )
        for part in parts:
            known = self._answered.pop(part, at)
            self._answered[part] = max(at, known)
        while len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        if self._crashes and is_whole:
            self._answers.append((at, parts))
            del self._answers[:-MAX_CRASHES]
        return clears

    def record_crash(
        self, crash: Crash, now: float, formerly_found: Iterable[Part] = ()
    ) -> list[Finding]:
        """Record a crash, or more of its runs; return what it shows.

        Parameters
        ----------
        crash : Crash
            The crash, as one node reports it.
        now : float
            The loop time.
        formerly_found : iterable of Part
            Parts that crashed engines earlier; one more crash is enough.
        """
        self._expire(now)
        runs = [run for run in crash.runs if run.prompt.shared_parts]
        runs = [run for run in runs if not run.has_begun]
        if not runs:
            return []
        known = self._crashes.get(crash.incarnation)
        if known is None:
            while len(self._crashes) >= MAX_CRASHES:
                self._discard(next(iter(self._crashes)))
            known = self._crashes[crash.incarnation] = _Crash(
                crashed_at=crash.crashed_at
            )
        known.crashed_at = min(known.crashed_at, crash.crashed_at)
        for run in runs:
            parts = parts_of(run.prompt)
            if known.add_run(parts, run.sent_at, run.prompt.digest):
                for part in parts:
                    self._lost_with.setdefault(part, set()).add(crash.incarnation)
        for cause in self._found:
            known.explain_by(cause)
        return self._find(crash.incarnation, set(formerly_found))

    def explain(self, service: str, parts: frozenset[str]) -> None:
        """Record that prompts with all of these parts crash engines."""
        cause = frozenset((service, part) for part in parts)
        self._found[cause] = None
        while len(self._found) > MAX_FOUND:
            del self._found[next(iter(self._found))]
        for crash in self._crashes.values():
            crash.explain_by(cause)

    def forget(self, service: str, parts: frozenset[str]) -> None:
        """Forget that prompts with all of these parts crash engines, and why."""
        cause = frozenset((service, part) for part in parts)
        self._found.pop(cause, None)
        for incarnation, crash in list(self._crashes.items()):
            if crash.cause == cause:
                self._discard(incarnation)

    # Internals.

    def _expire(self, now: float) -> None:
        for incarnation, crash in list(self._crashes.items()):
            if now - crash.crashed_at > RETENTION_SECONDS:
                self._discard(incarnation)

    def _discard(self, incarnation: Incarnation) -> None:
        for part in self._crashes.pop(incarnation).sent_at:
            lost_with = self._lost_with[part]
            lost_with.discard(incarnation)
            if not lost_with:
                del self._lost_with[part]

    def _last_crash_at(self, part: Part) -> float | None:
        """Return when an engine last crashed under a part that may be the cause."""
        crashes = map(self._crashes.__getitem__, self._lost_with.get(part, ()))
        return max(
            (crash.crashed_at for crash in crashes if crash.is_suspect(part)),
            default=None,
        )

    def _find(
        self, incarnation: Incarnation, formerly_found: set[Part]
    ) -> list[Finding]:
        """Return the causes that a crash shows and that weren't known."""
        findings: list[Finding] = []
        known = set(self._found)
        while self._may_show(incarnation, formerly_found):
            found = self._strongest(incarnation, formerly_found, known)
            if not found:
                break
            for cause, crashes in found:
                finding = _finding(cause, crashes)
                findings.append(finding)
                known.add(cause)
                self.explain(finding.service, finding.parts)
        return findings

    def _may_show(self, incarnation: Incarnation, formerly_found: set[Part]) -> bool:
        """Return whether a crash could show a cause, as its parts stand by themselves.

        Most crashes show none. Ranking all parts for each of them would take seconds
        when many engines are lost together.
        """
        parts = self._crashes[incarnation].suspects()
        if parts & formerly_found:
            return True
        return any(
            self._is_frequent(self._suspicion(part))
            for part in parts
            if len(self._lost_with[part]) > 1
        )

    def _strongest(
        self,
        incarnation: Incarnation,
        formerly_found: set[Part],
        known: set[frozenset[Part]],
    ) -> list[tuple[frozenset[Part], frozenset[Incarnation]]]:
        """Return the strongest sufficient suspicion with parts that fit equally."""
        # A part of one crash is neither a cause nor a reason to clear others.
        parts = [
            part
            for part, crashes in self._lost_with.items()
            if len(crashes) > 1 or part in formerly_found
        ]
        suspicions = sorted(
            map(self._suspicion, parts), key=lambda one: (one.rank, one.part)
        )
        for index, one in enumerate(suspicions):
            if incarnation not in one.crashes:
                continue
            tied = frozenset(
                other.part
                for other in suspicions
                if other.crashes == one.crashes and other.rank == one.rank
            )
            if one.part in formerly_found and not one.is_answered:
                tied = frozenset({one.part})
            elif not self._is_sufficient(one, suspicions[:index]):
                continue
            causes = self._resolve_tie(one, tied)
            found = [(cause, one.crashes) for cause in causes if cause not in known]
            if found:
                return found
        return []

    def _suspicion(self, part: Part) -> _Suspicion:
        since = self._answered.get(part)
        found: list[tuple[float, Incarnation, float]] = []
        requests: set[str] = set()
        for incarnation in self._lost_with[part]:
            crash = self._crashes[incarnation]
            if since is not None and crash.crashed_at <= since:
                continue
            if not crash.is_suspect(part):
                continue
            requests |= crash.requests[part]
            found.append((crash.crashed_at, incarnation, crash.sent_at[part]))
        found.sort()
        n_in_row = 0
        last_at = float("-inf")
        for crashed_at, _, sent_at in found:
            if sent_at >= last_at - SLACK_SECONDS:
                n_in_row += 1
                last_at = crashed_at
        return _Suspicion(
            part=part,
            crashes=frozenset(incarnation for _, incarnation, _ in found),
            n_in_row=n_in_row,
            n_requests=len(requests),
            is_answered=since is not None,
        )

    @staticmethod
    def _is_frequent(one: _Suspicion) -> bool:
        """Return whether engines crashed under a part often enough for a cause."""
        n_required = N_CRASHES_ANSWERED if one.is_answered else N_CRASHES
        return one.n_requests >= N_REQUESTS and one.n_in_row >= n_required

    def _is_sufficient(self, one: _Suspicion, stronger: Sequence[_Suspicion]) -> bool:
        """Return whether a part is the cause if no other part fits equally well."""
        if not self._is_frequent(one):
            return False
        if _is_explained(one, stronger):
            return False
        if not one.is_answered:
            return True
        first_at = min(self._crashes[key].crashed_at for key in one.crashes)
        n_others = sum(
            at > first_at and one.part not in parts and _has_service(parts, one.part[0])
            for at, parts in self._answers
        )
        return n_others >= N_OTHER_ANSWERS

    def _resolve_tie(
        self, one: _Suspicion, tied: frozenset[Part]
    ) -> list[frozenset[Part]]:
        """Return the parts that fit equally well as one cause, if one request had all.

        Parts of different requests wait for a crash that tells them apart.
        """
        if all(
            any(tied <= parts for parts in self._crashes[key].runs)
            for key in one.crashes
        ):
            return [tied]
        if one.n_in_row < N_CRASHES_TIED:
            return []
        return [frozenset({part}) for part in tied]


def parts_of(prompt: Prompt) -> frozenset[Part]:
    """Return the shared parts of a prompt."""
    return frozenset((prompt.service, part) for part in prompt.shared_parts)


def _is_explained(one: _Suspicion, stronger: Sequence[_Suspicion]) -> bool:
    """Return whether stronger suspects leave a part too few crashes of its own.

    A stronger one counts if it was there at several crashes.
    """
    shared = [
        other.crashes
        for other in stronger
        if len(other.crashes) > 1 and other.rank < one.rank
    ]
    n_own = len(one.crashes - frozenset().union(*shared))
    return n_own < (N_CRASHES_ANSWERED if one.is_answered else N_CRASHES)


def _has_service(parts: frozenset[Part], service: str) -> bool:
    return any(known == service for known, _ in parts)


def _finding(cause: frozenset[Part], crashes: Iterable[Incarnation]) -> Finding:
    service = next(iter(cause))[0]
    return Finding(
        service=service,
        parts=frozenset(part for _, part in cause),
        crashes=tuple(sorted(crashes)),
    )
