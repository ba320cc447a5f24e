"""A call to a plain service and its possible results."""

from __future__ import annotations

from dataclasses import dataclass

from result import Result

from ..types import NotRun, Unknown
from .claims import KeyReused, Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One call of an organisation to a plain service.

    Parameters
    ----------
    organisation, service, operation : str
        The calling organisation, and the service and operation that it calls.
    body : bytes
        The request body, in JSON.
    key : str or None
        The idempotency key; None for an idempotent operation.
    deadline, deadline_at : float
        Monotonic and wall time, in seconds, after which the call is no longer sent and
        its answer no longer awaited.
    """

    organisation: str
    service: str
    operation: str
    body: bytes
    key: str | None
    deadline: float
    deadline_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """A call that the endpoint answered.

    Parameters
    ----------
    outcome : Outcome
        The endpoint's answer.
    is_replayed : bool
        Whether it is the answer to an earlier call with the same key.
    """

    outcome: Outcome
    is_replayed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CallInProgress:
    """Another call with the same key is in progress.

    Parameters
    ----------
    status_path : str
        The path that returns the status of the call.
    retry_after : float
        Seconds after which its outcome should be known.
    """

    status_path: str
    retry_after: float


CallError = NotRun | Unknown | KeyReused | CallInProgress
CallResult = Result[Answered, CallError]
