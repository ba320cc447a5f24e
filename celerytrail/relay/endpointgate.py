"""Checks right before each request whether its endpoint may still receive it."""

from __future__ import annotations

import asyncio

from ..model import Registration
from ..policies.evacuations import Evacuations

# Reason for which a request wasn't sent: its endpoint may not receive it now.
ENDPOINT_CLOSED = "endpoint_closed"


class EndpointGate:
    """Decides whether an endpoint may receive a request at this moment.

    Endpoints are chosen before a connection is opened; by the time the first byte is
    sent, the operator may have evacuated their failure domain.

    Parameters
    ----------
    evacuations : Evacuations
        The failure domains that get no new work.
    """

    def __init__(self, *, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    def may_begin(self, reg: Registration) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return not self._evacuations.is_evacuated(reg.failure_domain)

    def may_continue(self, reg: Registration) -> bool:
        """Return whether a run may continue from its copy at an engine now."""
        now = asyncio.get_running_loop().time()
        return self._evacuations.may_continue(reg.failure_domain, now)
