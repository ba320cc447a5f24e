"""Idle connections of a client, by peer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..types import Address
from .messages import Connection

# Idle connections to one peer, unless a request states fewer.
MAX_IDLE_PER_ADDRESS = 16
# Lifetime of an idle connection if the peer announces no keep-alive timeout.
IDLE_SECONDS = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _IdleConnection:
    """Holds an idle connection that may be reused until loop time ``drop_at``."""

    conn: Connection
    drop_at: float

    def is_usable(self, now: float) -> bool:
        """Return whether a request may be sent on the connection."""
        conn = self.conn
        return now < self.drop_at and not conn.is_lost and not conn.is_retired


class ConnectionPool:
    """Keeps idle connections until their next exchange.

    A peer may send an answer twice, the second time where the next one is expected. The
    id that it echoes shows this only if no other exchange on the connection had the
    same id, so a connection carries each id once.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, list[_IdleConnection]] = {}

    def add(
        self,
        address: Address,
        conn: Connection,
        seconds: float = IDLE_SECONDS,
        *,
        max_idle: int = MAX_IDLE_PER_ADDRESS,
    ) -> None:
        """Keep a connection for ``seconds``, or close it if there are enough."""
        idle = self._idle.setdefault(address, [])
        if conn.is_retired or conn.carried.is_full or len(idle) >= max_idle:
            conn.close()
            return
        conn.is_pooled = True
        drop_at = asyncio.get_running_loop().time() + seconds
        idle.append(_IdleConnection(conn=conn, drop_at=drop_at))

    def take(self, address: Address, request_id: str) -> Connection | None:
        """Return the connection that was used last and can carry an id, if any."""
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        for position in range(len(idle) - 1, -1, -1):
            entry = idle[position]
            is_clean = entry.conn.h11.trailing_data == (b"", False)
            is_usable = is_clean and entry.is_usable(now)
            if is_usable and request_id in entry.conn.carried:
                continue
            del idle[position]
            if is_usable:
                entry.conn.is_pooled = False
                return entry.conn
            entry.conn.abort()
        return None

    def has_usable(self, address: Address) -> bool:
        """Return whether a connection to a peer is likely to be reused."""
        now = asyncio.get_running_loop().time()
        return any(entry.is_usable(now) for entry in self._idle.get(address, ()))

    def close_retired(self) -> None:
        """Close the connections that must not be used again."""
        for address, idle in list(self._idle.items()):
            for entry in idle:
                if entry.conn.is_retired:
                    entry.conn.close()
            self._idle[address] = [one for one in idle if not one.conn.is_retired]

    def close_address(self, address: Address) -> None:
        """Close the connections to a peer."""
        for entry in self._idle.pop(address, []):
            entry.conn.close()

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._idle):
            self.close_address(address)
