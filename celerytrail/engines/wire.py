"""What engines send, checked and typed: lines of a token stream, and replies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

MAX_LINE_BYTES = 64 * 1024
EngineEnd = Literal["stop", "length", "cancelled"]


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerateOrder:
    """What an engine is asked to generate.

    Parameters
    ----------
    generation_id : str
        Names the generation; asking again with it starts no second one.
    model, adapter, prompt : str
        What answers, and to what.
    n_max_tokens : int
        The most tokens wanted.
    priority : int
        0 (lowest) to 9.
    organisation : str
        Whose it is.
    sampling : dict
        Sampling options of the caller, handed on as they are.
    """

    generation_id: str
    model: str
    prompt: str
    n_max_tokens: int
    adapter: str = ""
    priority: int = 5
    organisation: str = ""
    sampling: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRefused:
    """The engine took nothing; asking elsewhere does no harm."""

    reason: str
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLost:
    """The engine can't be reached, or its answer broke off; it may have begun."""

    reason: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownGeneration:
    """The engine answers, but has no such generation: restarted, or expired."""

    reason: str = "unknown_generation"


@dataclass(frozen=True, kw_only=True, slots=True)
class NewerReader:
    """The generation was not cancelled, as someone else has begun to read it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BadReply:
    """The engine broke its protocol; the connection was closed."""

    reason: str
    detail: str = ""


class Line(msgspec.Struct, kw_only=True):
    """One line of a token stream; a Struct, as it is decoded for each token.

    ``token`` stays JSON, so that a relay can write it on without decoding it.
    """

    offset: int = -1
    token: msgspec.Raw = msgspec.Raw()
    end: str | None = None
    n_tokens: int = -1
    n_prompt_tokens: int = -1


class Tokens(msgspec.Struct, kw_only=True, frozen=True):
    """Tokens that are ready together; a Struct, as making one is ten times cheaper.

    Parameters
    ----------
    offset : int
        The offset of the first one.
    tokens : list of bytes
        Each one's text as a JSON string, quotes included.
    """

    offset: int
    tokens: list[bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """The engine's own end of a generation.

    Parameters
    ----------
    end : {"stop", "length", "cancelled"}
        Why it ended.
    n_tokens : int
        Tokens it has in all.
    n_prompt_tokens : int or None
        Tokens of the prompt, where the engine says.
    """

    end: EngineEnd
    n_tokens: int
    n_prompt_tokens: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A prompt prefix came into an engine's cache or left it."""

    sequence: int
    at: float
    kind: Literal["stored", "evicted"]
    prefix: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvents:
    """Some cache events, and where to go on; numbers missing between are gaps."""

    events: tuple[CacheEvent, ...] = ()
    next: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """An order to an engine; its names are those of the engine's protocol.

    Parameters
    ----------
    order_id : str
        Unique; an engine carries an order out once.
    kind : str
        ``load_model``, ``load_adapter``, ``unload_adapter`` or ``set_role``.
    fencing : int
        The number of the lease under which it is given.
    expires_at : float
        Wall time after which the engine must refuse it.
    """

    order_id: str
    kind: Literal["load_model", "load_adapter", "unload_adapter", "set_role"]
    fencing: int
    expires_at: float
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class OldFencing:
    """The engine refused an order, as it has seen a higher fencing number."""

    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderExpired:
    """The engine refused an order, as it came after its expiry."""
