"""What the membership state machine tells its owner."""

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
    """A member came, went, or changed its state.

    ``is_refuted`` says that a suspicion turned out to be false.
    """

    member: Member
    is_refuted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionHeard:
    """A newer configuration version exists; ``member`` has it, where one is known."""

    version: int
    root: str
    member: Member | None


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLeaving:
    """An endpoint leaves at ``at``, wall seconds."""

    endpoint: str
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeWanted:
    """The states of this node and a peer have differed from a peer's for too long."""

    peer: Address


@dataclass(frozen=True, kw_only=True, slots=True)
class BadItem:
    """An item from a peer was dropped."""

    sender: str
    problem: str
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Paused:
    """The process itself stood still for ``seconds``."""

    seconds: float


Event = (
    MemberChanged | VersionHeard | EndpointLeaving | ExchangeWanted | BadItem | Paused
)
