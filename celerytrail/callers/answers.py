"""Error answers of the callers' API, all of one shape, with the time to retry after."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..engines.streams import StreamLost
from ..http.routes import send_error
from ..http.server import Responder
from ..types import Finding, NotRun
from .auth import AuthError
from .starting import GenerationFailed, StartError

LIMIT_REASON_SUFFIX = "limit"
LOST_RETRY_SECONDS = 2.0


async def send_findings(
    res: Responder, findings: Sequence[Finding], headers: dict[str, str] | None = None
) -> None:
    """Answer 400 with all findings; the first one also makes the message."""
    first = findings[0]
    encoded = [{"place": f.place, "problem": f.problem} for f in findings]
    await send_error(
        res,
        400,
        "invalid_request",
        place=first.place,
        message=f"{first.place}: {first.problem}",
        headers=headers,
        findings=encoded,
    )


async def send_auth_error(res: Responder, problem: AuthError) -> None:
    """Answer 401."""
    await send_error(
        res,
        401,
        problem.reason,
        place="authorization",
        message=problem.message,
        headers={"www-authenticate": "Bearer"},
    )


async def send_unknown_generation(res: Responder, headers: dict[str, str]) -> None:
    """Answer 404 alike for a forged, a foreign and a meaningless ticket.

    If the answers differed, a caller could find out which tickets of other
    organisations exist.
    """
    await send_error(
        res,
        404,
        "unknown_generation",
        place="ticket",
        message="no generation of yours has this ticket",
        headers=headers,
    )


async def send_start_error(
    res: Responder, problem: StartError, headers: dict[str, str]
) -> None:
    """Answer that a generation returned no token, with the time to retry after."""
    if isinstance(problem, GenerationFailed):
        is_past_deadline = problem.reason == "deadline"
        await send_error(
            res,
            504 if is_past_deadline else 503,
            "deadline_passed" if is_past_deadline else "generation_failed",
            place="engine",
            message=problem.detail or problem.reason,
            headers={**headers, **retry_header(problem.retry_after)},
            reason=problem.reason,
            not_run=False,
            retry_after=problem.retry_after,
        )
        return
    await send_not_run(res, problem, headers)


async def send_not_run(
    res: Responder, not_run: NotRun, headers: dict[str, str]
) -> None:
    """Answer 429 or 503 for a request that was certainly not run."""
    is_limit = not_run.reason.endswith(LIMIT_REASON_SUFFIX)
    await send_error(
        res,
        429 if is_limit else 503,
        "not_run",
        place="admission",
        message=not_run.detail or not_run.reason,
        headers={**headers, **retry_header(not_run.retry_after)},
        reason=not_run.reason,
        not_run=True,
        retry_after=not_run.retry_after,
    )


async def send_lost(
    res: Responder, lost: StreamLost, event_id: str, headers: dict[str, str]
) -> None:
    """Answer that the stream was lost, before any headers have been sent."""
    error = lost_error(lost, event_id)
    status = _LOST_STATUS.get(lost.reason, 503)
    error_type, message = str(error.pop("type")), str(error.pop("message"))
    retry_after = LOST_RETRY_SECONDS if lost.can_resume else None
    await send_error(
        res,
        status,
        error_type,
        place="from" if lost.reason == "offset_beyond_end" else "generation",
        message=message,
        headers={**headers, **retry_header(retry_after)},
        **error,
    )


_LOST_STATUS = {
    "generation_unknown": 410,
    "engine_restarted": 410,
    "engine_broken": 502,
    "deadline": 504,
    "cancelled": 410,
    "offset_beyond_end": 400,
}
_LOST_MESSAGES = {
    "generation_unknown": "the engine no longer has this generation",
    "engine_restarted": "the engine was restarted and has lost this generation",
    "engine_unreachable": "the engine can't be reached just now",
    "engine_broken": "the engine keeps breaking its protocol",
    "deadline": "the deadline passed before the end",
    "cancelled": "the generation was cancelled",
    "offset_beyond_end": "the generation has fewer tokens than that",
    "too_large": "the answer is too large to be given whole; ask for it streamed",
}


def lost_error(lost: StreamLost, event_id: str) -> dict[str, object]:
    """Return the error object that ends an incomplete answer.

    Parameters
    ----------
    lost : StreamLost
        Why the stream was lost.
    event_id : str
        ``TICKET.OFFSET`` at which the caller can resume.
    """
    error: dict[str, object] = {
        "type": _LOST_TYPES.get(lost.reason, "generation_lost"),
        "reason": lost.reason,
        "message": _LOST_MESSAGES.get(lost.reason, lost.detail or lost.reason),
        "n_tokens": lost.n_tokens,
        "can_resume": lost.can_resume,
        "not_run": False,
    }
    if lost.can_resume:
        error["resume"] = f"/v1/generations/{event_id}"
        error["retry_after"] = LOST_RETRY_SECONDS
    return error


_LOST_TYPES = {
    "engine_unreachable": "engine_unreachable",
    "deadline": "deadline_passed",
    "cancelled": "cancelled",
    "offset_beyond_end": "invalid_request",
}


def retry_header(seconds: float | None) -> dict[str, str]:
    """Return the ``retry-after`` header in whole seconds, or no header for None."""
    if seconds is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(seconds)))}
