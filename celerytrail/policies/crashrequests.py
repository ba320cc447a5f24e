"""Which single requests crash endpoints, by the evidence of crashes and whole answers.

The load pattern: a request crashes whichever endpoint runs it, at any moment of its
run, and its caller repeats it at any node. Up to a hundred sound requests run at the
same endpoint and are lost with it; they are sent again, at times beside the cause.
Endpoints also crash for other reasons.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field, replace

from ..model import Incarnation
from .crashsuspects import RETENTION_SECONDS, SLACK_SECONDS, Crash, LostRun

# Crashes of which each one's run was sent after the one before and had hardly begun,
# after which a request is the cause if no other one fits as well.
N_IN_ROW = 2
# Crashes after which a request is kept from endpoints in any case.
N_CRASHES = 3
# Crashes held at most, and lost runs of each.
MAX_CRASHES = 256
MAX_RUNS = 128
# Whole answers remembered at most.
MAX_RECENT = 1_024

# A request: its service and its digest.
RequestKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashingRequest:
    """A request that crashes endpoints, and the starts of those that show it."""

    key: RequestKey
    crashes: tuple[Incarnation, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Loss:
    """A request's run that was lost; ``has_begun`` is true of runs far advanced."""

    sent_at: float
    has_begun: bool


@dataclass(kw_only=True, slots=True)
class _Crash:
    """A crash as all nodes together reported it, and the request that caused it."""

    crashed_at: float
    losses: dict[RequestKey, _Loss] = field(default_factory=dict)
    cause: RequestKey | None = None


class RequestSuspects:
    """Collects crashes and whole answers, and finds the requests that crash endpoints.

    A whole answer clears a request of all crashes before it; one that has only begun
    clears nothing.

    Parameters
    ----------
    has_other_cause : callable
        Returns whether a crash is known to have another cause than a single request.
    """

    def __init__(
        self, *, has_other_cause: Callable[[Incarnation], bool] = lambda _: False
    ) -> None:
        self._has_other_cause = has_other_cause
        self._crashes: dict[Incarnation, _Crash] = {}
        # By request, the crashes by which runs of it were lost.
        self._lost_by: dict[RequestKey, set[Incarnation]] = {}
        # When suspected requests were last answered whole.
        self._answered_at: dict[RequestKey, float] = {}
        # The latest whole answers, to any request; the oldest first.
        self._recent: dict[RequestKey, float] = {}

    @property
    def n_suspects(self) -> int:
        """Return the number of requests that may have crashed an endpoint."""
        return len(self._lost_by)

    def is_suspect(self, key: RequestKey) -> bool:
        """Return whether a request may have crashed an endpoint."""
        return key in self._lost_by and bool(self._counted(key))

    def counts(self) -> dict[str, dict[str, int]]:
        """Return by service and digest under how many crashes a request ran.

        Only those with several are named; a crash suspects all that ran there.
        """
        found: dict[str, dict[str, int]] = {}
        for key in self._lost_by:
            n_crashes = len(self._counted(key))
            if n_crashes > 1:
                service, digest = key
                found.setdefault(service, {})[digest] = n_crashes
        return found

    def in_order(self, crash: Crash) -> Crash:
        """Return a crash with the most suspect of its runs first."""
        runs = sorted(
            crash.runs, key=lambda run: -len(self._lost_by.get(_key(run), ()))
        )
        return replace(crash, runs=tuple(runs))

    def lost_by(self, incarnation: Incarnation) -> list[RequestKey]:
        """Return the requests that were lost by a crash."""
        crash = self._crashes.get(incarnation)
        return list(crash.losses) if crash is not None else []

    def record_answer(self, key: RequestKey, at: float) -> bool:
        """Record a whole answer; return whether it clears the request of a crash."""
        self._recent.pop(key, None)
        self._recent[key] = at
        while len(self._recent) > MAX_RECENT:
            del self._recent[next(iter(self._recent))]
        if key not in self._lost_by:
            return False
        is_clearing = any(
            self._crashes[incarnation].crashed_at <= at
            for incarnation in self._counted(key)
        )
        self._answered_at[key] = max(at, self._answered_at.get(key, at))
        return is_clearing

    def record_crash(self, crash: Crash, now: float) -> dict[RequestKey, float]:
        """Record a crash, or more of its lost runs, as one node reports it.

        Returns
        -------
        dict
            The lost requests that are known to be answered since, and when: what became
            of an endpoint may take longer to find out than another try takes.
        """
        self._expire(now)
        known = self._crashes.get(crash.incarnation)
        if known is None:
            while len(self._crashes) >= MAX_CRASHES:
                self._discard(next(iter(self._crashes)))
            known = _Crash(crashed_at=crash.crashed_at)
            self._crashes[crash.incarnation] = known
        known.crashed_at = min(known.crashed_at, crash.crashed_at)
        for run in self.in_order(crash).runs:
            self._add_loss(crash.incarnation, known, run)
        return self._answered_since(crash)

    def overdue(self, incarnation: Incarnation) -> list[CrashingRequest]:
        """Return the requests with too many crashes, whatever else there is."""
        counted = [(key, self._counted(key)) for key in self.lost_by(incarnation)]
        return [
            _crashing(key, crashes)
            for key, crashes in counted
            if incarnation in crashes and len(crashes) >= N_CRASHES
        ]

    def find(
        self, incarnation: Incarnation, formerly_found: Container[RequestKey] = ()
    ) -> list[CrashingRequest]:
        """Return the requests that a crash shows to crash endpoints.

        Those found become the known cause of their crashes, unless others fit as well.

        Parameters
        ----------
        incarnation : Incarnation
            The crash, as all nodes have reported it.
        formerly_found : container of RequestKey
            Requests that crashed endpoints earlier; one more crash is enough.
        """
        found = {one.key: one for one in self.overdue(incarnation)}
        sole = []
        for key in self.lost_by(incarnation):
            crashes = self._unexplained(key)
            if incarnation not in crashes:
                continue
            is_known = key in formerly_found or key in found
            if not is_known and not self._is_in_row(key, crashes):
                continue
            if not self._has_rivals(key, crashes):
                found.setdefault(key, _crashing(key, crashes))
                sole.append((key, crashes))
        for key, crashes in sole:
            self._explain(key, crashes)
        return list(found.values())

    def record_cause(self, key: RequestKey) -> None:
        """Record that a request is known to crash endpoints."""
        crashes = self._unexplained(key)
        if not self._has_rivals(key, crashes):
            self._explain(key, crashes)

    def forget_cause(self, key: RequestKey) -> None:
        """Forget a request's crashes, as it is allowed again."""
        for incarnation in list(self._lost_by.get(key, ())):
            if self._crashes[incarnation].cause == key:
                self._discard(incarnation)

    def is_explained(self, key: RequestKey) -> bool:
        """Return whether all crashes under a request have other causes."""
        return key in self._lost_by and not self._counted(key)

    # Internals.

    def _answered_since(self, crash: Crash) -> dict[RequestKey, float]:
        """Record the answers known already that came after a crash, and return them."""
        answered = {}
        for run in crash.runs:
            key = _key(run)
            at = self._recent.get(key)
            if at is not None and self.record_answer(key, at):
                answered[key] = at
        return answered

    def _add_loss(self, incarnation: Incarnation, crash: _Crash, run: LostRun) -> None:
        key = _key(run)
        former = crash.losses.get(key)
        if not run.prompt.digest or (former is None and len(crash.losses) >= MAX_RUNS):
            return
        if former is None or run.sent_at > former.sent_at:
            crash.losses[key] = _Loss(sent_at=run.sent_at, has_begun=run.has_begun)
        self._lost_by.setdefault(key, set()).add(incarnation)

    def _counted(self, key: RequestKey) -> set[Incarnation]:
        """Return the crashes under a request since its last answer.

        Those that another request explains count: several may crash endpoints.
        """
        answered_at = self._answered_at.get(key, float("-inf"))
        return {
            incarnation
            for incarnation in self._lost_by.get(key, ())
            if self._crashes[incarnation].crashed_at > answered_at
            and not self._has_other_cause(incarnation)
        }

    def _unexplained(self, key: RequestKey) -> set[Incarnation]:
        """Return the crashes under a request of which no other is the known cause."""
        return {
            incarnation
            for incarnation in self._counted(key)
            if self._crashes[incarnation].cause in (None, key)
        }

    def _is_in_row(self, key: RequestKey, crashes: set[Incarnation]) -> bool:
        """Return whether a request met crashes in a row, with runs hardly begun.

        Each run was sent after the crash before it. Endpoints that are lost together
        are no row, and an advanced run had much time to meet a crash by chance.
        """
        if key in self._answered_at:
            return False
        n_in_row = 0
        last_at = float("-inf")
        for crash in sorted(
            (self._crashes[one] for one in crashes), key=lambda one: one.crashed_at
        ):
            loss = crash.losses[key]
            if not loss.has_begun and loss.sent_at >= last_at - SLACK_SECONDS:
                n_in_row += 1
                last_at = crash.crashed_at
        return n_in_row >= N_IN_ROW

    def _has_rivals(self, key: RequestKey, crashes: set[Incarnation]) -> bool:
        """Return whether another request was lost by all these crashes as well."""
        shared = [set(self._crashes[one].losses) for one in crashes]
        rivals = set.intersection(*shared) if shared else set()
        return any(
            other != key and crashes <= self._unexplained(other) for other in rivals
        )

    def _explain(self, key: RequestKey, crashes: Iterable[Incarnation]) -> None:
        for incarnation in crashes:
            self._crashes[incarnation].cause = key

    def _expire(self, now: float) -> None:
        for incarnation, crash in list(self._crashes.items()):
            if now - crash.crashed_at > RETENTION_SECONDS:
                self._discard(incarnation)

    def _discard(self, incarnation: Incarnation) -> None:
        for key in self._crashes.pop(incarnation).losses:
            lost_by = self._lost_by[key]
            lost_by.discard(incarnation)
            if not lost_by:
                del self._lost_by[key]
                self._answered_at.pop(key, None)


def _crashing(key: RequestKey, crashes: Iterable[Incarnation]) -> CrashingRequest:
    return CrashingRequest(key=key, crashes=tuple(sorted(crashes)))


def _key(run: LostRun) -> RequestKey:
    return (run.prompt.service, run.prompt.digest)
