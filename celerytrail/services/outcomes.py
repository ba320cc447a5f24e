"""A call to a plain service and what can become of it."""

from __future__ import annotations

from dataclasses import dataclass

from result import Result

from ..types import NotRun, Unknown
from .claims import KeyReused, Outcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One call of an organisation.

    Parameters
    ----------
    organisation, service, operation : str
        Whose call it is and of what.
    body : bytes
        JSON.
    key : str or None
        The idempotency key; None for an operation that may be repeated.
    deadline, deadline_at : float
        Monotonic and wall time, in seconds, after which it is not sent any more and
        its answer is not waited for.
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
    """The endpoint's answer.

    Parameters
    ----------
    outcome : Outcome
        What it said.
    is_replayed : bool
        Whether it was said to an earlier call with the same key.
    """

    outcome: Outcome
    is_replayed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CallInProgress:
    """A call with this key is being made.

    Parameters
    ----------
    ask : str
        The path at which to ask for its outcome.
    retry_after : float
        Seconds from now after which its outcome should be known.
    """

    ask: str
    retry_after: float


CallError = NotRun | Unknown | KeyReused | CallInProgress
CallResult = Result[Answered, CallError]
