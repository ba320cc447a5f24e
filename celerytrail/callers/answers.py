"""The error answers of the callers' API: one shape, and when to come back."""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..engines.streams import StreamLost
from ..http.routes import send_error
from ..http.server import Responder
from ..types import Finding, NotRun
from .auth import AuthError
from .starting import GenerationFailed, StartError

LIMIT_SUFFIX = "limit"
LOST_RETRY_SECONDS = 2.0


async def send_findings(
    res: Responder, findings: Sequence[Finding], headers: dict[str, str] | None = None
) -> None:
    """Answer 400 with everything that is wrong, the first in front."""
    first = findings[0]
    shown = [{"place": f.place, "problem": f.problem} for f in findings]
    await send_error(
        res,
        400,
        "invalid_request",
        place=first.place,
        message=f"{first.place}: {first.problem}",
        headers=headers,
        findings=shown,
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
    """Answer 404: forged, of another organisation, or nothing, all alike.

    Were they told apart, a caller could learn which tickets of others exist.
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
    """Answer a generation of which no token came, at once, with when to come back."""
    if isinstance(problem, GenerationFailed):
        is_late = problem.reason == "deadline"
        await send_error(
            res,
            504 if is_late else 503,
            "deadline_passed" if is_late else "generation_failed",
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
    """Answer what was certainly not run."""
    is_limit = not_run.reason.endswith(LIMIT_SUFFIX)
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
    """Answer a stream that ended before its end, where no head has gone out."""
    error = lost_error(lost, event_id)
    status = _LOST_STATUS.get(lost.reason, 503)
    kind, message = str(error.pop("type")), str(error.pop("message"))
    retry_after = LOST_RETRY_SECONDS if lost.can_resume else None
    await send_error(
        res,
        status,
        kind,
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
    """Return the error that ends an answer which is not whole.

    Parameters
    ----------
    lost : StreamLost
        What happened.
    event_id : str
        ``TICKET.OFFSET`` from which the rest could be had.
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
    """Return the standard header, whose unit is whole seconds."""
    if seconds is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(seconds)))}
