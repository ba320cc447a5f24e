"""Probes: pings that are repeated, then asked of others, then given up."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .timing import Timing


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """A ping to send to the target itself."""

    target: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AskOthers:
    """A request to others to ping the target."""

    target: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """Nothing was heard of the target in spite of all."""

    target: str


Action = Ping | AskOthers | Failed


@dataclass(kw_only=True, slots=True)
class _Probe:
    sequence: int
    started_at: float
    n_sent: int
    next_at: float


class Probes:
    """The probes of the members that this node watches.

    Parameters
    ----------
    timing : Timing
        Periods and bounds.
    rng : random.Random
        Spreads the probes over the period.
    """

    def __init__(self, *, timing: Timing, rng: random.Random) -> None:
        self._timing = timing
        self._rng = rng
        self._due: dict[str, float] = {}
        self._pending: dict[str, _Probe] = {}
        self._sequence = 0

    @property
    def watched(self) -> tuple[str, ...]:
        """Return the names of the watched members."""
        return tuple(self._due)

    def watch(self, targets: Iterable[str], now: float) -> None:
        """Watch exactly these members."""
        wanted = set(targets)
        for target in self._due.keys() - wanted:
            del self._due[target]
            self._pending.pop(target, None)
        # In order of names: each draw from the generator then falls to the same target
        # in every process, and a run can be repeated by its seed.
        for target in sorted(wanted - self._due.keys()):
            self._due[target] = now + self._rng.uniform(0, self._timing.probe_seconds)

    def hear(self, target: str) -> None:
        """Note that something signed by the target arrived: it lives."""
        self._pending.pop(target, None)

    def forgive(self, seconds: float) -> None:
        """Move all probes later by the time in which this node itself stood still."""
        for probe in self._pending.values():
            probe.started_at += seconds
            probe.next_at += seconds

    def new_sequence(self) -> int:
        """Return a number for one ping."""
        self._sequence += 1
        return self._sequence

    def step(self, now: float) -> list[Action]:
        """Return what is due."""
        actions: list[Action] = []
        for target, due_at in self._due.items():
            if now >= due_at and target not in self._pending:
                self._begin(target, now)
        for target, probe in list(self._pending.items()):
            if now >= probe.started_at + self._timing.give_up_seconds:
                del self._pending[target]
                actions.append(Failed(target=target))
            elif now >= probe.next_at:
                actions += self._again(target, probe)
        return actions

    def _begin(self, target: str, now: float) -> None:
        self._due[target] = now + self._timing.probe_seconds * self._rng.uniform(
            0.9, 1.1
        )
        self._pending[target] = _Probe(
            sequence=self.new_sequence(), started_at=now, n_sent=0, next_at=now
        )

    def _again(self, target: str, probe: _Probe) -> list[Action]:
        probe.n_sent += 1
        probe.next_at += self._timing.resend_seconds
        actions: list[Action] = [Ping(target=target, sequence=probe.sequence)]
        # The first resend covers a dropped datagram; a path that is cut for us alone
        # needs others to try theirs.
        if probe.n_sent in (3, 4):
            actions.append(AskOthers(target=target, sequence=probe.sequence))
        return actions
