"""Which exchanges a connection has carried, by their ids."""

from __future__ import annotations

DIGEST_BYTES = 8
# Ids that are remembered at most: 4 KB for each connection.
MAX_IDS = 512


class CarriedIds:
    """Remembers the ids of the exchanges of one connection.

    Digests of a few bytes are kept. If two ids have one digest, or one begins amid
    others, an id counts as carried that isn't.
    """

    def __init__(self) -> None:
        self._digests = bytearray()

    def __contains__(self, request_id: str) -> bool:
        """Return whether an exchange may have had this id."""
        return _digest(request_id) in self._digests

    @property
    def is_full(self) -> bool:
        """Return whether no further id can be remembered."""
        return len(self._digests) >= MAX_IDS * DIGEST_BYTES

    def add(self, request_id: str) -> None:
        """Remember an id."""
        self._digests += _digest(request_id)


def _digest(request_id: str) -> bytes:
    return hash(request_id).to_bytes(DIGEST_BYTES, "little", signed=True)
