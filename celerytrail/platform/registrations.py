"""Decode the registrations that endpoints write in the platform's table."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from result import Ok, Result

from ..decoding import contained
from ..model import EndpointState, Registration
from ..types import Address

MS = 0.001

Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Row(msgspec.Struct, rename="kebab"):
    service: Text
    address: Text
    zone: Text
    # Of its software, not of the weights that it serves.
    version: Text
    slots: Annotated[int, msgspec.Meta(ge=0)]
    state: Literal["ready", "draining"]
    # Remaining time for which the endpoint is slow after its start.
    cold_remaining_ms: float = 0.0
    # Unix time of the start in milliseconds; a new value means a new process.
    born: int = 0
    # Grows with each heartbeat of this start.
    sequence: int = 0


@contained
def decode_registration(endpoint: str, value: bytes) -> Result[Registration, str]:
    """Decode one row; an invalid row registers no endpoint."""
    raw = msgspec.json.decode(value, type=_Row)
    address = Address.parse(raw.address)
    is_ready = raw.state == "ready"
    return Ok(
        Registration(
            endpoint=endpoint,
            service=raw.service,
            address=address,
            failure_domain=raw.zone,
            n_slots=raw.slots,
            state=EndpointState.READY if is_ready else EndpointState.LEAVING,
            cold_seconds=raw.cold_remaining_ms * MS,
            started_at=raw.born,
            version=raw.version,
            sequence=raw.sequence,
        )
    )
