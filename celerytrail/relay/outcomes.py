"""Outcomes of sending a request to an endpoint that gave no usable answer."""

from __future__ import annotations

from dataclasses import dataclass

# The client's reason when an endpoint closed the connection before its answer's end.
BROKEN_OFF = "cut"
# The client's reason when a request's deadline has passed.
TIMEOUT = "timeout"
# The client's reasons when it couldn't connect to an endpoint on any path.
CONNECT_REFUSED = "connect_refused"
CONNECT_TIMEOUT = "connect_timeout"
UNREACHABLE_REASONS = (CONNECT_REFUSED, CONNECT_TIMEOUT)


@dataclass(frozen=True, kw_only=True, slots=True)
class NotExecuted:
    """The endpoint hasn't executed the request.

    ``was_sent`` is True if the endpoint received it. ``retry_at`` is the loop time at
    which there is room again, if that is known.
    """

    reason: str
    was_sent: bool = False
    retry_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The endpoint may have executed the request, but gave no usable answer."""

    reason: str
