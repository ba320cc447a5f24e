"""Late answers to earlier exchanges, which come where the due one is expected."""

from __future__ import annotations

from collections.abc import Sequence

import h11

from .messages import Connection

# Late answers that are read past before a due one, and the bytes of each.
MAX_LATE_ANSWERS = 8
MAX_LATE_BYTES = 64 * 1024


async def read_past(
    conn: Connection, sent: Sequence[h11.Event], deadline: float | None
) -> bool:
    """Read the body of a late answer whose head has been read.

    Parameters
    ----------
    conn : Connection
        The connection.
    sent : sequence of h11.Event
        The request whose answer is due.
    deadline : float or None
        Loop time by which the late answer must have ended.

    Returns
    -------
    bool
        Whether the due answer can follow on the connection.

    Raises
    ------
    PeerError
        When the connection ended, or the peer broke the protocol.
    TimeoutError
        When the deadline passed.
    """
    n_bytes = 0
    event = await conn.next_event(deadline)
    while isinstance(event, h11.Data):
        n_bytes += len(event.data)
        if n_bytes > MAX_LATE_BYTES:
            return False
        event = await conn.next_event(deadline)
    if conn.h11.our_state is not h11.DONE or conn.h11.their_state is not h11.DONE:
        return False
    conn.h11.start_next_cycle()
    for former in sent:
        # h11 reads an answer only to a request that it knows. The bytes were sent
        # before.
        conn.h11.send(former)
    return True
