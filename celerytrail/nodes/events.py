"""Events and datagrams that the membership state machine hands to its owner."""

from __future__ import annotations

from dataclasses import dataclass

from ..types import Address
from .member import Member
from .wire import Datagram


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A datagram to send."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, kw_only=True, slots=True)
class MemberChanged:
    """A member was added or its state or incarnation changed.

    ``is_refuted`` is true when the change refutes a suspicion or a reported death.
    """

    member: Member
    is_refuted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class NewerVersion:
    """A newer configuration version exists; ``member``, if known, has it."""

    version: int
    root: str
    member: Member | None


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLeaving:
    """An endpoint leaves at ``at``, wall seconds."""

    endpoint: str
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeNeeded:
    """The digests of this node and a peer have differed for too long."""

    peer: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class UpdateRejected:
    """An update from a peer was dropped."""

    sender: str
    problem: str
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Paused:
    """The node's own process was paused for ``seconds``."""

    seconds: float


Event = (
    MemberChanged
    | NewerVersion
    | EndpointLeaving
    | ExchangeNeeded
    | UpdateRejected
    | Paused
)
