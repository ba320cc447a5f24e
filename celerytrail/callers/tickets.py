"""Signed, self-describing names of streams, with which any node can resume a stream.

A ticket contains everything that is needed to resume its stream, so nodes store nothing
for it. Only nodes can issue tickets: they share the signing keys.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..types import Address

MAX_TICKET_CHARACTERS = 1_024
SIGNATURE_BYTES = 16
MAX_OFFSET_DIGITS = 9
SHAPES = ("completion", "chat")


@dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The contents of a ticket.

    Parameters
    ----------
    organisation : str
        Organisation that the generation belongs to.
    engine, incarnation : str
        Name of the engine in the document, and id of its process.
    address : str
        ``IP:PORT`` of the engine; kept here so that a change of the document doesn't
        interrupt a stream.
    generation_id : str
        Id of the generation at that engine.
    model : str
        Name of the model as the caller wrote it.
    shape : str
        Response format: ``completion`` or ``chat``.
    expires_at : float
        Wall time from which the ticket is refused, in seconds.
    """

    organisation: str
    engine: str
    incarnation: str
    address: str
    generation_id: str
    model: str
    shape: str
    expires_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketError:
    """The reason why a ticket is refused.

    Parameters
    ----------
    reason : str
        ``malformed``, ``forged`` or ``expired``.
    ticket : Ticket or None
        Contents of an expired ticket; otherwise None.
    """

    reason: str
    ticket: Ticket | None = None


class _Payload(msgspec.Struct, array_like=True):
    """Encoded form of a ticket.

    It is an array to keep it short, as each event carries a ticket.
    """

    key_id: str
    organisation: str
    engine: str
    incarnation: str
    address: str
    generation_id: str
    model: str
    shape: int
    expires_at: int


class TicketSigner:
    """Issues and verifies tickets.

    Parameters
    ----------
    keys : Mapping of str to bytes
        Signing secrets by key id. Tickets of all of them are accepted, so a key is
        rotated by adding the new one at all nodes, then making it current, then
        removing the old one.
    current_key_id : str
        Id of the key that signs new tickets.
    clock : Clock
        Its wall time decides when tickets expire.
    """

    def __init__(
        self, *, keys: Mapping[str, bytes], current_key_id: str, clock: Clock
    ) -> None:
        self._keys = dict(keys)
        self._current_key_id = current_key_id
        self._clock = clock

    def issue(self, ticket: Ticket) -> str:
        """Sign a ticket and return its text."""
        payload = _Payload(
            key_id=self._current_key_id,
            organisation=ticket.organisation,
            engine=ticket.engine,
            incarnation=ticket.incarnation,
            address=ticket.address,
            generation_id=ticket.generation_id,
            model=ticket.model,
            shape=SHAPES.index(ticket.shape),
            expires_at=int(ticket.expires_at),
        )
        body = msgspec.msgpack.encode(payload)
        signature = _sign(self._keys[self._current_key_id], body)
        return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")

    def read(self, text: str) -> Result[Ticket, TicketError]:
        """Verify the text of a ticket and return the ticket."""
        if len(text) > MAX_TICKET_CHARACTERS:
            return Err(TicketError(reason="malformed"))
        try:
            padded = text + "=" * (-len(text) % 4)
            signed = base64.b64decode(padded, altchars=b"-_", validate=True)
            body = signed[SIGNATURE_BYTES:]
            payload = msgspec.msgpack.decode(body, type=_Payload)
            Address.parse(payload.address)
            shape = SHAPES[payload.shape]
        except (ValueError, IndexError, binascii.Error, msgspec.MsgspecError):
            return Err(TicketError(reason="malformed"))
        key = self._keys.get(payload.key_id, b"")
        expected = _sign(key, body)
        is_valid = hmac.compare_digest(expected, signed[:SIGNATURE_BYTES])
        if not key or not is_valid:
            return Err(TicketError(reason="forged"))
        ticket = Ticket(
            organisation=payload.organisation,
            engine=payload.engine,
            incarnation=payload.incarnation,
            address=payload.address,
            generation_id=payload.generation_id,
            model=payload.model,
            shape=shape,
            expires_at=float(payload.expires_at),
        )
        if payload.expires_at <= self._clock.wall():
            return Err(TicketError(reason="expired", ticket=ticket))
        return Ok(ticket)


def split_event_id(event_id: str) -> Result[tuple[str, int], TicketError]:
    """Split ``TICKET.OFFSET`` into the ticket's text and the offset to resume from."""
    text, separator, offset = event_id.rpartition(".")
    is_number = offset.isascii() and offset.isdigit()
    if not separator or not is_number or len(offset) > MAX_OFFSET_DIGITS:
        return Err(TicketError(reason="malformed"))
    return Ok((text, int(offset)))


def _sign(key: bytes, body: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]
