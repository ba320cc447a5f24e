"""Context of a generation request: organisation, deadline and request id."""

from __future__ import annotations

import math
import secrets
from dataclasses import dataclass

from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.document import OrganisationSpec
from ..http.messages import REQUEST_ID_HEADER, Request
from ..types import Finding

DEADLINE_HEADER = "x-deadline-at"
MAX_REQUEST_ID_CHARACTERS = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """An authenticated request of a caller.

    Parameters
    ----------
    req : Request
        The request as received.
    organisation : OrganisationSpec
        Organisation that sent the request.
    request_id : str
        The caller's request id, or a generated one.
    deadline : float
        Monotonic time when the caller stops waiting, in seconds.
    """

    req: Request
    organisation: OrganisationSpec
    request_id: str
    deadline: float

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers common to all answers."""
        return {REQUEST_ID_HEADER: self.request_id}


def read_request_id(req: Request) -> Result[str, Finding]:
    """Return the caller's request id, or generate one."""
    text = req.headers.get(REQUEST_ID_HEADER)
    if text is None:
        return Ok(f"r-{secrets.token_hex(8)}")
    if not 0 < len(text) <= MAX_REQUEST_ID_CHARACTERS or not text.isascii():
        problem = f"should have 1 to {MAX_REQUEST_ID_CHARACTERS} ASCII characters"
        return Err(Finding(place=REQUEST_ID_HEADER, problem=problem))
    return Ok(text)


def read_deadline(
    req: Request, clock: Clock, max_seconds: float
) -> Result[float, Finding]:
    """Return the monotonic deadline of a request.

    Parameters
    ----------
    req : Request
        May have the header ``x-deadline-at``: wall time, in seconds.
    clock : Clock
        Converts wall time to monotonic time.
    max_seconds : float
        Longest time from now to the deadline.
    """
    latest_deadline = clock.monotonic() + max_seconds
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(latest_deadline)
    try:
        deadline_at = float(text)
    except ValueError:
        deadline_at = math.nan
    if not math.isfinite(deadline_at):
        problem = "should be seconds since the epoch"
        return Err(Finding(place=DEADLINE_HEADER, problem=problem))
    return Ok(min(latest_deadline, clock.deadline_of_wall(deadline_at)))
