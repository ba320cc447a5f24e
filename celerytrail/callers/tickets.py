"""Signed, self-describing names of streams, so that any node can resume any of them.

A ticket holds all that is needed to read the stream on, so nothing is stored. Only
nodes can make one: they share the keys by which it is signed.
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
    """What a ticket says.

    Parameters
    ----------
    organisation : str
        Whose generation it is.
    engine, incarnation : str
        The engine's name in the document, and the process of it.
    address : str
        ``IP:PORT`` of the engine, so that a change of the document cuts no stream.
    generation_id : str
        The generation at that engine.
    model : str
        The model as the caller named it.
    shape : str
        ``completion`` or ``chat``: how the tokens are wrapped.
    expires_at : float
        Wall time, in seconds, after which it is refused.
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
    """Why a ticket is not taken: ``malformed``, ``forged`` or ``expired``.

    Parameters
    ----------
    reason : str
        Which of them.
    ticket : Ticket or None
        What an expired one said.
    """

    reason: str
    ticket: Ticket | None = None


class _Payload(msgspec.Struct, array_like=True):
    """A ticket's bytes: an array, as each event carries one."""

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
    """Makes and reads tickets.

    Parameters
    ----------
    keys : Mapping of str to bytes
        Secrets by key id; all are taken for reading, so a key can be replaced by
        adding the new one everywhere, then making it current, then dropping the old.
    current : str
        The key id by which new tickets are signed.
    clock : Clock
        Its wall time ends tickets.
    """

    def __init__(
        self, *, keys: Mapping[str, bytes], current: str, clock: Clock
    ) -> None:
        self._keys = dict(keys)
        self._current = current
        self._clock = clock

    def issue(self, ticket: Ticket) -> str:
        """Return a ticket's text."""
        payload = _Payload(
            key_id=self._current,
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
        signature = _sign(self._keys[self._current], body)
        return base64.urlsafe_b64encode(signature + body).decode().rstrip("=")

    def read(self, text: str) -> Result[Ticket, TicketError]:
        """Check a ticket's text and return what it says."""
        if len(text) > MAX_TICKET_CHARACTERS:
            return Err(TicketError(reason="malformed"))
        try:
            padded = text + "=" * (-len(text) % 4)
            whole = base64.b64decode(padded, altchars=b"-_", validate=True)
            body = whole[SIGNATURE_BYTES:]
            payload = msgspec.msgpack.decode(body, type=_Payload)
            Address.parse(payload.address)
            shape = SHAPES[payload.shape]
        except (ValueError, IndexError, binascii.Error, msgspec.MsgspecError):
            return Err(TicketError(reason="malformed"))
        key = self._keys.get(payload.key_id, b"")
        expected = _sign(key, body)
        is_right = hmac.compare_digest(expected, whole[:SIGNATURE_BYTES])
        if not key or not is_right:
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
    """Split ``TICKET.OFFSET`` into the ticket's text and the offset to go on from."""
    text, separator, offset = event_id.rpartition(".")
    is_number = offset.isascii() and offset.isdigit()
    if not separator or not is_number or len(offset) > MAX_OFFSET_DIGITS:
        return Err(TicketError(reason="malformed"))
    return Ok((text, int(offset)))


def _sign(key: bytes, body: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]
