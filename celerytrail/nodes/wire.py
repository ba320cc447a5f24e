"""The contents of datagrams between nodes, and their msgpack encoding."""

from __future__ import annotations

import enum
import math
from typing import Annotated

import msgspec
from result import Ok, Result

from ..decoding import contained
from ..types import Address
from .member import Member, State

MAX_DATAGRAM_BYTES = 1_200
MAX_ITEM_BYTES = 400
# Wall clocks that differ by less are treated as equal.
CLOCK_TOLERANCE_SECONDS = 5.0

Name = Annotated[str, msgspec.Meta(max_length=64)]
AddressText = Annotated[str, msgspec.Meta(max_length=56)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Kind(enum.IntEnum):
    """The type of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    UPDATE = 3


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, tag="m"):
    """A full member record, as the member announces itself."""

    node: Name
    incarnation: Count
    state: State
    caller: AddressText
    peer: AddressText
    vm: Name
    failure_domain: Name
    region: Name
    # Nodes of former releases send none.
    link_mbps: Count = 0


class StateUpdate(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """Another node's view of a member that its receivers already know."""

    node: Name
    incarnation: Count
    state: State


class VersionUpdate(msgspec.Struct, array_like=True, frozen=True, tag="v"):
    """An accepted configuration version; ``origin`` is a node that has it."""

    version: Count
    root: Annotated[str, msgspec.Meta(max_length=128)]
    origin: Name


class EndpointUpdate(msgspec.Struct, array_like=True, frozen=True, tag="e"):
    """A leaving endpoint; it leaves at ``at``, in wall seconds."""

    endpoint: Annotated[str, msgspec.Meta(max_length=128)]
    at: float


Update = MemberRecord | StateUpdate | VersionUpdate | EndpointUpdate


class Datagram(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One datagram between two nodes.

    Parameters
    ----------
    kind : Kind
        The type.
    sender : str
        The sending node.
    incarnation : int
        The sender's incarnation.
    sequence : int
        Matches an acknowledgement to its ping.
    digest : int
        The sender's hash of all live members and leaving endpoints.
    in_force, newest : int
        The configuration version that the sender has in force, and the newest that it
        knows of.
    sent_at : float
        The sender's wall time; the receiver corrects the times in the updates by it.
    receiver_incarnation : int
        The receiver's incarnation in the sender's table; 0 if the receiver is unknown.
    receiver_state : State
        The receiver's state in the sender's table.
    target : str
        In a ping request the node to ping, in a relayed acknowledgement the node that
        answered; empty otherwise.
    items : list of msgspec.Raw
        Updates. Each is encoded by itself, so that one that can't be decoded doesn't
        invalidate the others.
    """

    kind: Kind
    sender: Name
    incarnation: Count
    sequence: Count = 0
    digest: Annotated[int, msgspec.Meta(ge=0)] = 0
    in_force: Count = 0
    newest: Count = 0
    sent_at: float = 0.0
    receiver_incarnation: Count = 0
    receiver_state: State = State.ALIVE
    target: Name = ""
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)


class StateExchange(msgspec.Struct, frozen=True, kw_only=True):
    """A node's full state, as exchanged over HTTP in JSON."""

    sender: Name
    sent_at: float
    items: list[msgspec.Raw]


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_update_decoder = msgspec.msgpack.Decoder(Update)
_json_update_decoder = msgspec.json.Decoder(Update)
_exchange_decoder = msgspec.json.Decoder(StateExchange)


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram in msgpack."""
    return _encoder.encode(datagram)


@contained
def decode_datagram(data: bytes) -> Result[Datagram, str]:
    """Decode a datagram from msgpack; the error names the place."""
    return Ok(_datagram_decoder.decode(data))


def encode_update(update: Update) -> msgspec.Raw:
    """Encode one update in msgpack, for use in a datagram without another encoding."""
    return msgspec.Raw(_encoder.encode(update))


@contained
def decode_update(raw: msgspec.Raw) -> Result[Update, str]:
    """Decode one update of a datagram."""
    _check_size(raw)
    return Ok(_require_finite_time(_update_decoder.decode(raw)))


@contained
def decode_json_update(raw: msgspec.Raw) -> Result[Update, str]:
    """Decode one update of a state exchange."""
    _check_size(raw)
    return Ok(_require_finite_time(_json_update_decoder.decode(raw)))


@contained
def decode_exchange(data: bytes) -> Result[StateExchange, str]:
    """Decode a state exchange."""
    return Ok(_exchange_decoder.decode(data))


def to_local_time(update: Update, offset_seconds: float) -> Update:
    """Convert an update's times from the sender's wall clock to the local one.

    Parameters
    ----------
    update : Update
        The received update.
    offset_seconds : float
        Local wall time less the sender's. An offset within the tolerance is ignored,
        so that nodes with accurate clocks pass on a time unchanged.

    Notes
    -----
    Without the conversion, a node whose clock is off by an hour would treat every
    leaving endpoint as long expired and send it work, and all other nodes would drop
    its own updates about leaving endpoints.
    """
    is_offset = not -CLOCK_TOLERANCE_SECONDS < offset_seconds < CLOCK_TOLERANCE_SECONDS
    if (
        isinstance(update, EndpointUpdate)
        and is_offset
        and math.isfinite(offset_seconds)
    ):
        return EndpointUpdate(update.endpoint, update.at + offset_seconds)
    return update


def record_of(member: Member) -> MemberRecord:
    """Convert a member to its wire record."""
    return MemberRecord(
        node=member.node,
        incarnation=member.incarnation,
        state=member.state,
        caller=str(member.caller),
        peer=str(member.peer),
        vm=member.vm,
        failure_domain=member.failure_domain,
        region=member.region,
        link_mbps=member.link_mbps,
    )


def member_of(record: MemberRecord) -> Member:
    """Convert a wire record to a member; raises ``ValueError`` for a bad address."""
    return Member(
        node=record.node,
        incarnation=record.incarnation,
        state=record.state,
        caller=Address.parse(record.caller),
        peer=Address.parse(record.peer),
        vm=record.vm,
        failure_domain=record.failure_domain,
        region=record.region,
        link_mbps=record.link_mbps,
    )


def _check_size(raw: msgspec.Raw) -> None:
    # A larger update might not fit into a datagram beside others, so it could not be
    # passed on.
    if len(memoryview(raw)) > MAX_ITEM_BYTES:
        raise msgspec.ValidationError(f"an item is over {MAX_ITEM_BYTES} bytes")


def _require_finite_time(update: Update) -> Update:
    # NaN compares false with everything. A leaving endpoint with that time could never
    # be updated to an earlier one.
    if isinstance(update, EndpointUpdate) and not math.isfinite(update.at):
        raise msgspec.ValidationError("expected a finite time - at `$[2]`")
    return update
