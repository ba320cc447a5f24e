"""Sends a call to an endpoint of its service, with one of three outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from urllib.parse import quote

import msgspec
from eliot import current_action
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient, NotSent
from ..http.messages import JSON_TYPE, Response
from ..log import task_headers
from ..platform.backoff import RetryBudget, sane_retry_after
from ..types import Address, NotRun, Unknown
from .claims import Outcome
from .endpoints import EndpointDirectory, EndpointView
from .outcomes import ServiceCall

ATTEMPT_HEADER = "x-attempt-id"
DEADLINE_HEADER = "x-deadline-at"
ORGANISATION_HEADER = "x-organisation"
DEFAULT_RETRY_AFTER = 1.0

SendResult = Result[Outcome, NotRun | Unknown]


class _NotRunBody(msgspec.Struct):
    """An endpoint's word that it has run nothing of a call."""

    not_run: bool
    reason: str = "refused"
    retry_after: float = DEFAULT_RETRY_AFTER


class CallSender:
    """Sends calls.

    Parameters
    ----------
    directory : EndpointDirectory
        Chooses endpoints.
    http : HttpClient
        Makes the exchanges.
    clock : Clock
        Its monotonic time must be the loop's.
    """

    def __init__(
        self, *, directory: EndpointDirectory, http: HttpClient, clock: Clock
    ) -> None:
        self._directory = directory
        self._http = http
        self._clock = clock
        self._budget = RetryBudget()

    def refusal(self, call: ServiceCall) -> NotRun | None:
        """Return why a call can't be sent anywhere now, or None where it can."""
        if self._is_late(call):
            return NotRun(reason="deadline", detail="its deadline passed unsent")
        if self._directory.choose(call.service, ()) is None:
            return NotRun(reason="no_endpoint", retry_after=DEFAULT_RETRY_AFTER)
        return None

    async def send(
        self, call: ServiceCall, attempt: str, *, is_idempotent: bool
    ) -> SendResult:
        """Send a call until it is answered, in doubt, or nobody can take it.

        Another endpoint is tried only after one that certainly ran nothing, or where
        running twice does no harm; and only as far as the retry budget goes.
        """
        self._budget.note_first_try()
        tried: set[str] = set()
        last: SendResult = Err(
            NotRun(reason="no_endpoint", retry_after=DEFAULT_RETRY_AFTER)
        )
        while not self._is_late(call):
            view = self._directory.choose(call.service, tried)
            if view is None or (tried and not self._budget.take()):
                return last
            tried.add(view.spec.name)
            last = await self._send_to(view, call, attempt)
            if isinstance(last, Ok):
                return last
            if isinstance(last.err_value, Unknown) and not is_idempotent:
                return last
        if isinstance(last, Err) and isinstance(last.err_value, Unknown):
            return last
        return Err(NotRun(reason="deadline", detail="its deadline passed unsent"))

    def _is_late(self, call: ServiceCall) -> bool:
        """Tell by either clock; a VM that was suspended may show it on one only."""
        is_late = self._clock.monotonic() >= call.deadline
        return is_late or self._clock.wall() >= call.deadline_at

    async def _send_to(
        self, view: EndpointView, call: ServiceCall, attempt: str
    ) -> SendResult:
        view.n_outstanding += 1
        try:
            # A pooled connection may be closed by the endpoint just as we write to
            # it, which would leave in doubt a call that was never read.
            made = await self._http.request(
                Address.parse(view.spec.address),
                "POST",
                f"/call/{quote(call.operation, safe='')}",
                body=call.body,
                headers=_headers(call, attempt),
                deadline=call.deadline,
                fresh=True,
            )
        finally:
            view.n_outstanding -= 1
        if isinstance(made, Ok):
            return _read(made.ok_value)
        error = made.err_value
        self._directory.note_failure(view)
        if isinstance(error, NotSent):
            return Err(
                NotRun(
                    reason=error.reason,
                    detail=error.detail,
                    retry_after=DEFAULT_RETRY_AFTER,
                )
            )
        return Err(Unknown(reason=error.reason, detail=error.detail))


def _headers(call: ServiceCall, attempt: str) -> Mapping[str, str]:
    headers = {
        "content-type": JSON_TYPE,
        ORGANISATION_HEADER: call.organisation,
        ATTEMPT_HEADER: attempt,
        DEADLINE_HEADER: f"{call.deadline_at:.3f}",
    }
    action = current_action()
    if action is not None:
        headers |= task_headers(action)
    return headers


def _read(res: Response) -> SendResult:
    """Tell an answer from a refusal; whatever isn't clearly a refusal has run."""
    if res.status == 503:
        try:
            refusal = msgspec.json.decode(res.body, type=_NotRunBody)
        except msgspec.MsgspecError:
            refusal = _NotRunBody(not_run=False)
        if refusal.not_run:
            return Err(
                NotRun(
                    reason=refusal.reason,
                    retry_after=sane_retry_after(refusal.retry_after),
                )
            )
    content_type = res.headers.get("content-type", JSON_TYPE)
    return Ok(Outcome(status=res.status, body=res.body, content_type=content_type))
