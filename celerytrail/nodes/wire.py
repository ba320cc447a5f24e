"""What the nodes' datagrams hold, and their msgpack form."""

from __future__ import annotations

import enum
import math
from typing import Annotated

import msgspec

from ..types import Address
from .member import Member, State

MAX_DATAGRAM_BYTES = 1_200
MAX_ITEM_BYTES = 400
# Clocks that differ by less are taken to agree, in seconds.
CLOCK_TOLERANCE_SECONDS = 5.0

Name = Annotated[str, msgspec.Meta(max_length=64)]
AddressText = Annotated[str, msgspec.Meta(max_length=56)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Kind(enum.IntEnum):
    """What a datagram asks for."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NEWS = 3


class MemberRecord(msgspec.Struct, array_like=True, frozen=True, tag="m"):
    """A whole member, as it states itself."""

    node: Name
    incarnation: Count
    state: State
    caller: AddressText
    peer: AddressText
    vm: Name
    failure_domain: Name
    region: Name


class Claim(msgspec.Struct, array_like=True, frozen=True, tag="c"):
    """What some node holds of a member that others know already."""

    node: Name
    incarnation: Count
    state: State


class VersionNews(msgspec.Struct, array_like=True, frozen=True, tag="v"):
    """A configuration version was accepted; ``origin`` is a node that has it."""

    version: Count
    root: Annotated[str, msgspec.Meta(max_length=128)]
    origin: Name


class EndpointNews(msgspec.Struct, array_like=True, frozen=True, tag="e"):
    """An endpoint leaves at ``at``, in wall seconds."""

    endpoint: Annotated[str, msgspec.Meta(max_length=128)]
    at: float


Item = MemberRecord | Claim | VersionNews | EndpointNews


class Datagram(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """One datagram between two nodes.

    Parameters
    ----------
    kind : Kind
        What it asks for.
    sender : str
        The sending node.
    incarnation : int
        The sender's incarnation.
    sequence : int
        Joins an acknowledgement to its ping.
    digest : int
        A hash of the members and leaving endpoints that the sender knows.
    in_force, newest : int
        The configuration version the sender has in force, and the newest it heard of.
    sent_at : float
        The sender's wall time, by which its times are read.
    your_incarnation : int
        The incarnation in which the sender knows the receiver; 0 for not at all.
    your_state : State
        The state in which the sender holds the receiver.
    target : str
        Whom a ping request is about, or who stands behind a relayed acknowledgement.
    items : list of msgspec.Raw
        News, each encoded by itself, so that one bad item does not take the rest.
    """

    kind: Kind
    sender: Name
    incarnation: Count
    sequence: Count = 0
    digest: Annotated[int, msgspec.Meta(ge=0)] = 0
    in_force: Count = 0
    newest: Count = 0
    sent_at: float = 0.0
    your_incarnation: Count = 0
    your_state: State = State.ALIVE
    target: Name = ""
    items: list[msgspec.Raw] = msgspec.field(default_factory=list)


class StateExchange(msgspec.Struct, frozen=True, kw_only=True):
    """All that a node knows, as exchanged over HTTP in JSON."""

    sender: Name
    sent_at: float
    items: list[msgspec.Raw]


_encoder = msgspec.msgpack.Encoder()
_datagram_decoder = msgspec.msgpack.Decoder(Datagram)
_item_decoder = msgspec.msgpack.Decoder(Item)
_json_item_decoder = msgspec.json.Decoder(Item)
_exchange_decoder = msgspec.json.Decoder(StateExchange)


def encode_datagram(datagram: Datagram) -> bytes:
    """Return a datagram's msgpack."""
    return _encoder.encode(datagram)


def decode_datagram(data: bytes) -> Datagram:
    """Read a datagram's msgpack.

    Raises
    ------
    msgspec.DecodeError
        When it is not a datagram; the message names the place.
    """
    return _datagram_decoder.decode(data)


def encode_item(item: Item) -> msgspec.Raw:
    """Return one item's msgpack, to be put into a datagram as it is."""
    return msgspec.Raw(_encoder.encode(item))


def decode_item(raw: msgspec.Raw) -> Item:
    """Read one item of a datagram; raises ``msgspec.DecodeError``."""
    _check_size(raw)
    return _checked(_item_decoder.decode(raw))


def decode_json_item(raw: msgspec.Raw) -> Item:
    """Read one item of a state exchange; raises ``msgspec.DecodeError``."""
    _check_size(raw)
    return _checked(_json_item_decoder.decode(raw))


def decode_exchange(data: bytes) -> StateExchange:
    """Read a state exchange; raises ``msgspec.DecodeError``."""
    return _exchange_decoder.decode(data)


def in_own_time(item: Item, offset: float) -> Item:
    """Turn an item's times on the sender's wall clock into those on our own.

    Parameters
    ----------
    item : Item
        What was received.
    offset : float
        Our wall time less the sender's, in seconds. Small ones are let be, so that
        good clocks hand a time on unchanged.

    Notes
    -----
    Were times taken as they stand, a node whose clock is an hour wrong would hold
    every leaving endpoint for long gone and send it work, and its own word on who
    leaves would be dropped everywhere.
    """
    is_apart = not -CLOCK_TOLERANCE_SECONDS < offset < CLOCK_TOLERANCE_SECONDS
    if isinstance(item, EndpointNews) and is_apart and math.isfinite(offset):
        return EndpointNews(item.endpoint, item.at + offset)
    return item


def record_of(member: Member) -> MemberRecord:
    """Return a member's form on the wire."""
    return MemberRecord(
        node=member.node,
        incarnation=member.incarnation,
        state=member.state,
        caller=str(member.caller),
        peer=str(member.peer),
        vm=member.vm,
        failure_domain=member.failure_domain,
        region=member.region,
    )


def member_of(record: MemberRecord) -> Member:
    """Read a member's form on the wire; raises ``ValueError`` for a bad address."""
    return Member(
        node=record.node,
        incarnation=record.incarnation,
        state=record.state,
        caller=Address.parse(record.caller),
        peer=Address.parse(record.peer),
        vm=record.vm,
        failure_domain=record.failure_domain,
        region=record.region,
    )


def _check_size(raw: msgspec.Raw) -> None:
    # A larger item would fit no datagram beside others and so could not be passed on.
    if len(memoryview(raw)) > MAX_ITEM_BYTES:
        raise msgspec.ValidationError(f"an item is over {MAX_ITEM_BYTES} bytes")


def _checked(item: Item) -> Item:
    # NaN compares false with everything, so one NaN time would never be replaced
    # by an earlier one and the endpoint's leaving could not be told any more.
    if isinstance(item, EndpointNews) and not math.isfinite(item.at):
        raise msgspec.ValidationError("expected a finite time - at `$[2]`")
    return item
