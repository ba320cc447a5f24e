"""Routes on which callers call plain services and query the state of a call."""

from __future__ import annotations

import math
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.current import Configuration
from ..configuration.document import OperationSpec, OrganisationSpec, ServiceSpec
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..log import TASK_HEADER, continue_task
from ..services.calls import CallStatus, ServiceCalls
from ..services.claims import MAX_KEY_CHARS, KeyReused, Outcome
from ..services.outcomes import Answered, CallError, CallInProgress, ServiceCall
from ..types import Finding, NotRun, Unknown
from .auth import AuthError

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-at"
OUTCOME_HEADER = "celerytrail-outcome"
REPLAYED_HEADER = "celerytrail-replayed"
STATUS_READ_TIMEOUT_SECONDS = 2.0


class RequestAuthenticator(Protocol):
    """Identifies the organisation that sent a request."""

    def authenticate(self, req: Request) -> Result[OrganisationSpec, AuthError]:
        """Return the organisation, or the reason why the request has none."""


class ServiceApi:
    """Answers callers' requests to plain services.

    Parameters
    ----------
    calls : ServiceCalls
        Makes the calls and reads their records.
    configuration : Configuration
        Defines the services and their operations.
    authenticator : RequestAuthenticator
        Identifies the organisation that sent a request.
    clock : Clock
        Its monotonic time must be the event loop's.
    call_seconds : float
        Timeout of a call whose caller sets no deadline, in seconds; also the
        latest deadline that a caller may set.
    """

    def __init__(
        self,
        *,
        calls: ServiceCalls,
        configuration: Configuration,
        authenticator: RequestAuthenticator,
        clock: Clock,
        call_seconds: float = 30.0,
    ) -> None:
        self._calls = calls
        self._configuration = configuration
        self._authenticator = authenticator
        self._clock = clock
        self._call_seconds = call_seconds

    def add_routes(self, router: Router) -> None:
        """Register the routes of this API."""
        router.add("POST", "/v1/services/{service}/{operation}", self._call)
        router.add("GET", "/v1/services/{service}/calls/{key}", self._status)

    async def _call(self, req: Request, res: Responder, params: Params) -> None:
        resolved = await self._find_service(req, res, params["service"])
        if resolved is None:
            return
        organisation, service = resolved
        operation = _find_operation(service, params["operation"])
        if operation is None:
            message = f"{service.name} has no operation {params['operation']!r}"
            await send_error(
                res, 404, "no_such_operation", place="path", message=message
            )
            return
        parsed = self._read_call(req, organisation, service, operation)
        if isinstance(parsed, Err):
            finding = parsed.err_value
            await send_error(
                res, 400, "bad_request", place=finding.place, message=finding.problem
            )
            return
        with continue_task(
            req.headers.get(TASK_HEADER),
            "service:call",
            organisation=organisation.name,
            service=service.name,
            operation=operation.name,
        ) as action:
            result = await self._calls.call(parsed.ok_value)
            outcome = (
                "answered"
                if isinstance(result, Ok)
                else _outcome_name(result.err_value)
            )
            action.add_success_fields(outcome=outcome)
        if isinstance(result, Ok):
            await _send_answer(res, result.ok_value)
        else:
            await _send_call_error(res, result.err_value)

    async def _status(self, req: Request, res: Responder, params: Params) -> None:
        resolved = await self._find_service(req, res, params["service"])
        if resolved is None:
            return
        organisation, service = resolved
        deadline = self._clock.monotonic() + STATUS_READ_TIMEOUT_SECONDS
        status = await self._calls.status(
            organisation.name, service.name, params["key"], deadline
        )
        if isinstance(status, Err):
            await send_error(
                res,
                503,
                "status_unavailable",
                place="platform",
                message="the record can't be read now; this says nothing of the call",
                headers=_retry_headers(status.err_value.retry_after),
                retry_after=status.err_value.retry_after,
            )
            return
        if status.ok_value is None:
            await send_error(
                res,
                404,
                "no_such_call",
                place="path",
                message="there is no record of this key; a call that was sent a moment "
                "ago may still make one, and sending it again with its key is safe",
            )
            return
        await _send_status(res, status.ok_value)

    async def _find_service(
        self, req: Request, res: Responder, name: str
    ) -> tuple[OrganisationSpec, ServiceSpec] | None:
        """Return organisation and service, or send the error and return None."""
        match self._authenticator.authenticate(req):
            case Err(error):
                await send_error(
                    res,
                    401,
                    error.reason,
                    place="authorization",
                    message=error.message,
                    headers={"www-authenticate": "Bearer"},
                )
                return None
            case Ok(organisation):
                pass
        document = self._configuration.current.document
        service = next((spec for spec in document.services if spec.name == name), None)
        if service is None:
            message = f"there is no service {name!r}"
            await send_error(res, 404, "no_such_service", place="path", message=message)
            return None
        if organisation.services and name not in organisation.services:
            message = f"{organisation.name} may not call {name}"
            await send_error(res, 403, "forbidden", place="path", message=message)
            return None
        return organisation, service

    def _read_call(
        self,
        req: Request,
        organisation: OrganisationSpec,
        service: ServiceSpec,
        operation: OperationSpec,
    ) -> Result[ServiceCall, Finding]:
        key = req.headers.get(KEY_HEADER)
        problem = _check_key(key, operation)
        if problem is not None:
            return Err(Finding(place=KEY_HEADER, problem=problem))
        try:
            msgspec.json.decode(req.body)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Err(Finding(place="body", problem=f"must be JSON: {exc}"))
        deadline_at = self._read_deadline(req.headers.get(DEADLINE_HEADER))
        if isinstance(deadline_at, Err):
            return Err(deadline_at.err_value)
        return Ok(
            ServiceCall(
                organisation=organisation.name,
                service=service.name,
                operation=operation.name,
                body=req.body,
                key=key if not operation.idempotent else None,
                deadline=self._clock.deadline_of_wall(deadline_at.ok_value),
                deadline_at=deadline_at.ok_value,
            )
        )

    def _read_deadline(self, text: str | None) -> Result[float, Finding]:
        """Return the caller's deadline as wall time, limited by ``call_seconds``."""
        latest_at = self._clock.wall() + self._call_seconds
        if text is None:
            return Ok(latest_at)
        try:
            deadline_at = float(text)
        except ValueError:
            deadline_at = math.nan
        if not math.isfinite(deadline_at):
            problem = "must be seconds since the epoch, such as 1893456000.5"
            return Err(Finding(place=DEADLINE_HEADER, problem=problem))
        return Ok(min(deadline_at, latest_at))


def _find_operation(service: ServiceSpec, name: str) -> OperationSpec | None:
    return next((op for op in service.operations if op.name == name), None)


def _check_key(key: str | None, operation: OperationSpec) -> str | None:
    if key is None:
        if operation.idempotent:
            return None
        return (
            f"{operation.name} may not be repeated: send a key of your own choice, "
            "and the same key when you send the same call again"
        )
    if not 0 < len(key) <= MAX_KEY_CHARS or not (key.isascii() and key.isprintable()):
        return f"must be 1 to {MAX_KEY_CHARS} printable ASCII characters"
    return None


def _outcome_name(error: CallError) -> str:
    match error:
        case NotRun():
            return "not_run"
        case Unknown():
            return "unknown"
        case KeyReused():
            return "idempotency_key_reused"
        case CallInProgress():
            return "in_progress"


async def _send_answer(res: Responder, answer: Answered) -> None:
    headers = {OUTCOME_HEADER: "answered"}
    if answer.is_replayed:
        headers[REPLAYED_HEADER] = "true"
    outcome = answer.outcome
    if not outcome.is_whole:
        await send_error(
            res,
            410,
            "answer_not_kept",
            place="body",
            message="the call has run and was answered, but its answer was too large "
            "to keep; do not send it under another key",
            headers=headers,
            answered_status=outcome.status,
        )
        return
    headers["content-type"] = outcome.content_type
    await res.send(outcome.status, outcome.body, headers)


async def _send_call_error(res: Responder, error: CallError) -> None:
    outcome_name = _outcome_name(error)
    headers = {OUTCOME_HEADER: outcome_name}
    match error:
        case NotRun(reason=reason, detail=detail, retry_after=retry_after):
            await send_error(
                res,
                503,
                outcome_name,
                place="call",
                message=detail or "the call was not run",
                headers=headers | _retry_headers(retry_after),
                reason=reason,
                retry_after=retry_after,
            )
        case Unknown(reason=reason, status_path=ask):
            await send_error(
                res,
                504,
                outcome_name,
                place="call",
                message="the call may or may not have run; it is not sent again",
                headers=headers,
                reason=reason,
                ask=ask,
            )
        case KeyReused(operation=operation):
            await send_error(
                res,
                422,
                outcome_name,
                place=KEY_HEADER,
                message=f"this key belongs to another call, of {operation}; "
                "this one was not run",
                headers=headers,
            )
        case CallInProgress(status_path=ask, retry_after=retry_after):
            await send_error(
                res,
                409,
                outcome_name,
                place=KEY_HEADER,
                message="a call with this key is being made",
                headers=headers | _retry_headers(retry_after),
                ask=ask,
                retry_after=retry_after,
            )


async def _send_status(res: Responder, status: CallStatus) -> None:
    body: dict[str, object] = {"state": status.state, "operation": status.operation}
    if status.reason:
        body["reason"] = status.reason
    if status.retry_after is not None:
        body["retry_after"] = status.retry_after
    if status.outcome is not None:
        body |= _outcome_fields(status.outcome)
    await res.send_json(200, body, _retry_headers(status.retry_after))


def _outcome_fields(outcome: Outcome) -> dict[str, object]:
    fields: dict[str, object] = {"status": outcome.status, "whole": outcome.is_whole}
    if not outcome.is_whole:
        return fields
    try:
        fields["body"] = msgspec.json.decode(outcome.body)
    except msgspec.DecodeError:
        fields["body"] = outcome.body.decode("utf-8", "replace")
    return fields


def _retry_headers(seconds: float | None) -> dict[str, str]:
    if seconds is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(seconds)))}
