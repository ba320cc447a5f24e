"""The periods of membership, all in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Periods and bounds of membership, in seconds.

    Parameters
    ----------
    tick_seconds : float
        How often the state machine is stepped; news goes out at most that often.
    probe_seconds : float
        Between two probes of a watched member.
    resend_seconds : float
        Between two pings of one probe.
    give_up_seconds : float
        From a probe's first ping to suspicion.
    suspicion_seconds : float
        From suspicion to death, in which the member can refute it.
    contact_seconds : float
        Between two tries to reach a dead or not yet known node.
    dead_seconds : float
        How long a dead member is remembered and tried.
    repeat_seconds : float
        How long digests may differ before recent news is said again.
    recent_seconds : float
        How long news counts as recent.
    mismatch_seconds : float
        How long digests may differ before states are exchanged whole.
    exchange_seconds : float
        Between two such exchanges at least.
    """

    tick_seconds: float = 0.05
    probe_seconds: float = 0.75
    resend_seconds: float = 0.15
    give_up_seconds: float = 0.75
    suspicion_seconds: float = 4.0
    contact_seconds: float = 1.0
    dead_seconds: float = 3600.0
    repeat_seconds: float = 0.75
    recent_seconds: float = 20.0
    mismatch_seconds: float = 3.0
    exchange_seconds: float = 10.0
