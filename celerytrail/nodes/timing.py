"""The periods and bounds of membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Holds the periods and bounds of membership, in seconds.

    Parameters
    ----------
    tick_seconds : float
        Time between two steps of the state machine; also the minimum time between
        two sends of updates.
    probe_seconds : float
        Time between two probes of the same member.
    resend_seconds : float
        Time between two pings of one probe.
    probe_timeout_seconds : float
        Time from a probe's first ping to suspicion.
    suspicion_seconds : float
        Time from suspicion to death, in which the member can refute it.
    contact_seconds : float
        Time between two pings to a dead or unknown node.
    dead_retention_seconds : float
        How long a dead member is kept in the table and pinged.
    resend_recent_after_seconds : float
        How long digests may differ before recent updates are resent.
    recent_seconds : float
        How long an update counts as recent.
    exchange_after_seconds : float
        How long digests may differ before full states are exchanged.
    exchange_interval_seconds : float
        Minimum time between two exchanges that this node starts for differing digests.
    """

    tick_seconds: float = 0.05
    probe_seconds: float = 0.75
    resend_seconds: float = 0.15
    probe_timeout_seconds: float = 0.75
    suspicion_seconds: float = 4.0
    contact_seconds: float = 1.0
    dead_retention_seconds: float = 3600.0
    resend_recent_after_seconds: float = 0.75
    recent_seconds: float = 20.0
    exchange_after_seconds: float = 3.0
    exchange_interval_seconds: float = 10.0
