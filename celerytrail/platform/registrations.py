"""Decode the registrations that endpoints write in the platform's table."""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from ..decoding import Count, Milliseconds, contained
from ..model import EndpointState, Registration
from ..types import Address
from .wire import MAX_LOAD_COUNT

MS = 0.001
# An endpoint is named in the head of each request to it.
_ID = re.compile(r"[!-~](?:[ -~]*[!-~])?")

Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Row(msgspec.Struct, rename="kebab"):
    service: Text
    address: Text
    zone: Text
    # Of its software, not of the weights that it serves.
    version: Text
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_LOAD_COUNT)]
    state: Literal["ready", "draining"]
    # Remaining time for which the endpoint is slow after its start.
    cold_remaining_ms: Milliseconds = 0.0
    # Unix time of the start in milliseconds; a new value means a new process.
    born: Count = 0
    # Grows with each heartbeat of this start.
    sequence: Count = 0


@contained
def decode_registration(endpoint: str, value: bytes) -> Result[Registration, str]:
    """Decode one row; an invalid row registers no endpoint."""
    if not _ID.fullmatch(endpoint):
        return Err("the id can't be sent in the head of a request")
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
