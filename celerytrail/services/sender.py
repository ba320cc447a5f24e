"""Sends a call to an endpoint: it is answered, not run, or its outcome is unknown."""

from __future__ import annotations

from collections.abc import Mapping
from urllib.parse import quote

import msgspec
from eliot import current_action
from result import Err, Ok, Result

from ..clock import Clock
from ..decoding import decode_json
from ..http.client import HttpClient, NotSent
from ..http.messages import JSON_TYPE, Response
from ..log import task_headers
from ..platform.backoff import RetryBudget, clamp_retry_after
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
    """The body by which an endpoint states that it has not run a call."""

    not_run: bool
    reason: str = "refused"
    retry_after: float = DEFAULT_RETRY_AFTER


class CallSender:
    """Sends calls to endpoints and retries them where that is safe.

    Parameters
    ----------
    directory : EndpointDirectory
        Chooses the endpoints.
    http : HttpClient
        Sends the requests.
    clock : Clock
        Its monotonic time must be the event loop's.
    """

    def __init__(
        self, *, directory: EndpointDirectory, http: HttpClient, clock: Clock
    ) -> None:
        self._directory = directory
        self._http = http
        self._clock = clock
        self._retry_budget = RetryBudget()

    def refusal(self, call: ServiceCall) -> NotRun | None:
        """Return why a call can't be sent now, or None where it can."""
        if self._is_past_deadline(call):
            return NotRun(reason="deadline", detail="its deadline passed unsent")
        if self._directory.choose(call.service, ()) is None:
            return NotRun(reason="no_endpoint", retry_after=DEFAULT_RETRY_AFTER)
        return None

    async def send(
        self, call: ServiceCall, attempt: str, *, is_idempotent: bool
    ) -> SendResult:
        """Send a call until it is answered, in doubt, or no endpoint is left.

        Another endpoint is tried only if the previous one certainly did not run the
        call or the call is idempotent, and only within the retry budget. A call that
        one endpoint may have run is in doubt, whatever the others state.
        """
        self._retry_budget.record_first_try()
        tried: set[str] = set()
        error: NotRun | Unknown = NotRun(
            reason="no_endpoint", retry_after=DEFAULT_RETRY_AFTER
        )
        while not self._is_past_deadline(call):
            view = self._directory.choose(call.service, tried)
            if view is None or (tried and not self._retry_budget.take()):
                return Err(error)
            tried.add(view.spec.name)
            sent = await self._send_to(view, call, attempt)
            if isinstance(sent, Ok):
                return sent
            if not isinstance(error, Unknown):
                error = sent.err_value
            if isinstance(error, Unknown) and not is_idempotent:
                return Err(error)
        if isinstance(error, NotRun):
            error = NotRun(reason="deadline", detail="its deadline passed unsent")
        return Err(error)

    def _is_past_deadline(self, call: ServiceCall) -> bool:
        """Return whether the deadline has passed on the monotonic or the wall clock.

        After a suspension of the VM only one of them may show it.
        """
        is_past = self._clock.monotonic() >= call.deadline
        return is_past or self._clock.wall() >= call.deadline_at

    async def _send_to(
        self, view: EndpointView, call: ServiceCall, attempt: str
    ) -> SendResult:
        view.n_outstanding += 1
        try:
            # The endpoint may close a pooled connection during the write, which would
            # leave in doubt a call that it never read.
            result = await self._http.request(
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
        if isinstance(result, Ok):
            return _parse_response(result.ok_value)
        error = result.err_value
        self._directory.record_failure(view)
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


def _parse_response(res: Response) -> SendResult:
    """Return the outcome of a response; only an explicit refusal is "not run"."""
    if res.status == 503:
        refusal = decode_json(res.body, _NotRunBody).unwrap_or(
            _NotRunBody(not_run=False)
        )
        if refusal.not_run:
            return Err(
                NotRun(
                    reason=refusal.reason,
                    retry_after=clamp_retry_after(refusal.retry_after),
                )
            )
    content_type = res.headers.get("content-type", JSON_TYPE)
    return Ok(Outcome(status=res.status, body=res.body, content_type=content_type))
