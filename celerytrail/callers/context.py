"""What every generation route does first: who asks, until when, under which id."""

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
MAX_REQUEST_ID = 128


@dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """One caller's request.

    Parameters
    ----------
    req : Request
        As it came.
    organisation : OrganisationSpec
        Who asks.
    request_id : str
        The caller's, or a new one.
    deadline : float
        Monotonic time at which the caller gives up.
    """

    req: Request
    organisation: OrganisationSpec
    request_id: str
    deadline: float

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        return {REQUEST_ID_HEADER: self.request_id}


def read_request_id(req: Request) -> Result[str, Finding]:
    """Return the caller's request id, or make one."""
    text = req.headers.get(REQUEST_ID_HEADER)
    if text is None:
        return Ok(f"r-{secrets.token_hex(8)}")
    if not 0 < len(text) <= MAX_REQUEST_ID or not text.isascii():
        problem = f"should have 1 to {MAX_REQUEST_ID} ASCII characters"
        return Err(Finding(place=REQUEST_ID_HEADER, problem=problem))
    return Ok(text)


def read_deadline(
    req: Request, clock: Clock, max_seconds: float
) -> Result[float, Finding]:
    """Return the monotonic deadline of a request.

    Parameters
    ----------
    req : Request
        May carry ``x-deadline-at``: wall time, in seconds.
    clock : Clock
        Turns it into monotonic time.
    max_seconds : float
        The most that is given.
    """
    latest = clock.monotonic() + max_seconds
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return Ok(latest)
    try:
        at = float(text)
    except ValueError:
        at = math.nan
    if not math.isfinite(at):
        problem = "should be seconds since the epoch"
        return Err(Finding(place=DEADLINE_HEADER, problem=problem))
    return Ok(min(latest, clock.deadline_of_wall(at)))
