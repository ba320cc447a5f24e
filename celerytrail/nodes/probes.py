"""Probes: a ping, its resends, indirect pings through other nodes, then a failure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from .timing import Timing


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """A ping to send directly to the target."""

    target: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class IndirectPing:
    """A request to other nodes to ping the target."""

    target: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeFailed:
    """The target answered neither direct nor indirect pings in time."""

    target: str


Action = Ping | IndirectPing | ProbeFailed


@dataclass(kw_only=True, slots=True)
class _Probe:
    sequence: int
    started_at: float
    n_sent: int
    next_at: float


class Probes:
    """Schedules the probes of the members that this node monitors.

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
        self._next_probe_at: dict[str, float] = {}
        self._pending: dict[str, _Probe] = {}
        self._sequence = 0

    @property
    def targets(self) -> tuple[str, ...]:
        """Return the names of the monitored members."""
        return tuple(self._next_probe_at)

    def set_targets(self, targets: Iterable[str], now: float) -> None:
        """Monitor exactly these members."""
        new_targets = set(targets)
        for target in self._next_probe_at.keys() - new_targets:
            del self._next_probe_at[target]
            self._pending.pop(target, None)
        # Sorted, so that each draw from the generator belongs to the same target in
        # every process and a run can be reproduced from its seed.
        for target in sorted(new_targets - self._next_probe_at.keys()):
            self._next_probe_at[target] = now + self._rng.uniform(
                0, self._timing.probe_seconds
            )

    def record_contact(self, target: str) -> None:
        """End the target's probe, as a signed datagram shows that it is alive."""
        self._pending.pop(target, None)

    def postpone(self, seconds: float) -> None:
        """Postpone all pending probes by a pause of this process."""
        for probe in self._pending.values():
            probe.started_at += seconds
            probe.next_at += seconds

    def new_sequence(self) -> int:
        """Return a new sequence number for a ping."""
        self._sequence += 1
        return self._sequence

    def step(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        actions: list[Action] = []
        for target, due_at in self._next_probe_at.items():
            if now >= due_at and target not in self._pending:
                self._start_probe(target, now)
        for target, probe in list(self._pending.items()):
            if now >= probe.started_at + self._timing.probe_timeout_seconds:
                del self._pending[target]
                actions.append(ProbeFailed(target=target))
            elif now >= probe.next_at:
                actions += self._send_pings(target, probe)
        return actions

    def _start_probe(self, target: str, now: float) -> None:
        self._next_probe_at[target] = (
            now + self._timing.probe_seconds * self._rng.uniform(0.9, 1.1)
        )
        self._pending[target] = _Probe(
            sequence=self.new_sequence(), started_at=now, n_sent=0, next_at=now
        )

    def _send_pings(self, target: str, probe: _Probe) -> list[Action]:
        probe.n_sent += 1
        probe.next_at += self._timing.resend_seconds
        actions: list[Action] = [Ping(target=target, sequence=probe.sequence)]
        # The first resend covers a lost datagram. Indirect pings cover a path that is
        # broken for this node alone.
        if probe.n_sent in (3, 4):
            actions.append(IndirectPing(target=target, sequence=probe.sequence))
        return actions
