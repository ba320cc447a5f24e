"""Answers that come a second time, where the next answer is expected."""

from __future__ import annotations

import enum
import random
import weakref
from dataclasses import dataclass, field

from celerytrail.http.messages import Connection


class LateKind(enum.Enum):
    """What a late answer says."""

    REFUSAL = "refusal"
    MISDIRECTED = "misdirected"
    WHOLE = "whole"
    FAILURE = "failure"
    STREAM = "stream"


class LateId(enum.Enum):
    """Which request a late answer names."""

    FORMER = "former"
    EARLIER = "earlier"
    OTHER = "other"
    NONE = "none"


_HEADS = {
    LateKind.REFUSAL: "503 Unavailable\r\nx-not-executed: 1",
    LateKind.MISDIRECTED: "421 Misdirected\r\nx-not-executed: 1",
    LateKind.WHOLE: "200 OK\r\nx-response-seal: late",
    LateKind.FAILURE: "500 Failed\r\nx-response-seal: late",
    LateKind.STREAM: "200 OK\r\nx-response-seal: late\r\n"
    "content-type: text/event-stream",
}
LATE_EVENT = b"id: 0\ndata: late\n\n"


def late_answer(kind: LateKind, attempt_id: str | None) -> bytes:
    """Return a whole answer as bytes; ``attempt_id`` is the id that it echoes."""
    body = LATE_EVENT if kind is LateKind.STREAM else b"late"
    lines = [f"HTTP/1.1 {_HEADS[kind]}", f"content-length: {len(body)}"]
    if attempt_id is not None:
        lines.append(f"x-attempt-id: {attempt_id}")
    return "\r\n".join([*lines, "\r\n"]).encode() + body


@dataclass(kw_only=True)
class LateAnswers:
    """Draws which requests find a late answer on their connection.

    Parameters
    ----------
    rng : random.Random
        Draws them.
    share : float
        Share of the requests on a connection that had others.
    kinds, ids : tuple
        What the late answers say, and which requests they name.
    """

    rng: random.Random
    share: float = 0.3
    kinds: tuple[LateKind, ...] = tuple(LateKind)
    ids: tuple[LateId, ...] = tuple(LateId)
    n_sent: int = 0
    _answered: weakref.WeakKeyDictionary[Connection, list[str]] = field(
        default_factory=weakref.WeakKeyDictionary
    )

    def draw(self, conn: Connection, attempt_id: str) -> bytes | None:
        """Return the late answer ahead of the one to a request, None for none."""
        former = self._answered.setdefault(conn, [])
        is_late = bool(former) and self.rng.random() < self.share
        named = self._draw_id(former) if is_late else None
        former.append(attempt_id)
        if not is_late:
            return None
        self.n_sent += 1
        return late_answer(self.rng.choice(self.kinds), named)

    def _draw_id(self, former: list[str]) -> str | None:
        match self.rng.choice(self.ids):
            case LateId.FORMER:
                return former[-1]
            case LateId.EARLIER:
                return self.rng.choice(former)
            case LateId.OTHER:
                return "other"
            case LateId.NONE:
                return None
