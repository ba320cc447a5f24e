"""Failure domains that the operator evacuates: no request is sent there.

The load pattern: a third of the endpoints stops taking work at one moment, and minutes
later takes it again. Runs that are in progress there end where they are.
"""

from __future__ import annotations

from collections.abc import Iterable


class Evacuations:
    """Decides which failure domains may receive requests.

    Parameters
    ----------
    continue_seconds : float
        Time after a node learned of an evacuation in which a run whose copy is already
        in that domain may still continue there. It must be less than the evacuation's
        bound less the bound within which nodes learn of it.
    """

    def __init__(self, *, continue_seconds: float = 0.0) -> None:
        self._continue_seconds = continue_seconds
        # By domain, the time until which runs may continue there.
        self._evacuated: dict[str, float] = {}

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated failure domains."""
        return frozenset(self._evacuated)

    def set_domains(self, domains: Iterable[str], now: float) -> None:
        """Replace the evacuated failure domains."""
        continue_until = now + self._continue_seconds
        self._evacuated = {
            domain: self._evacuated.get(domain, continue_until) for domain in domains
        }

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a domain gets no new work."""
        return domain in self._evacuated

    def may_continue(self, domain: str, now: float) -> bool:
        """Return whether a run may continue in a domain that holds its copy."""
        until = self._evacuated.get(domain)
        return until is None or now < until
