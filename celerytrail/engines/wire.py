"""Types of the engines' protocol: stream lines, replies, orders and errors."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

MAX_LINE_BYTES = 64 * 1024
EngineEnd = Literal["stop", "length", "cancelled"]


@dataclass(frozen=True, kw_only=True, slots=True)
class GenerateRequest:
    """Holds the request for a generation, as it is sent to an engine.

    Parameters
    ----------
    generation_id : str
        Identifies the generation; repeating it does not start a second one.
    model, adapter, prompt : str
        The model, its adapter (empty for none) and the prompt.
    n_max_tokens : int
        Limit on the tokens to generate.
    priority : int
        0 (lowest) to 9.
    organisation : str
        The organisation of the caller.
    sampling : dict
        Sampling options of the caller, passed on unchanged.
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
    """Reports that the engine started nothing; another engine can be tried safely."""

    reason: str
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLost:
    """Reports an unreachable engine or a cut answer; the request may have started."""

    reason: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownGeneration:
    """Reports that the engine has no such generation: it restarted, or it expired."""

    reason: str = "unknown_generation"


@dataclass(frozen=True, kw_only=True, slots=True)
class NewerReader:
    """Reports that a cancel was refused, as a later reader has been opened."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BadReply:
    """Reports that the engine broke its protocol; its connection is closed."""

    reason: str
    detail: str = ""


class StreamLine(msgspec.Struct, kw_only=True):
    """Holds one decoded line of a token stream: a token, or the end.

    It is a Struct for speed, as one is decoded for each token. ``token`` stays JSON, so
    that a relay can forward it without decoding it.
    """

    offset: int = -1
    token: msgspec.Raw = msgspec.Raw()
    end: str | None = None
    n_tokens: int = -1
    n_prompt_tokens: int = -1


class Tokens(msgspec.Struct, kw_only=True, frozen=True):
    """Holds consecutive tokens that became ready together.

    It is a Struct, as creating one is ten times cheaper than a dataclass.

    Parameters
    ----------
    offset : int
        The offset of the first token.
    tokens : list of bytes
        The text of each token as a JSON string, quotes included.
    """

    offset: int
    tokens: list[bytes]


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """Holds the end of a generation as the engine reported it.

    Parameters
    ----------
    end : {"stop", "length", "cancelled"}
        Why it ended.
    n_tokens : int
        Tokens of the whole generation.
    n_prompt_tokens : int or None
        Tokens of the prompt, if the engine reports them.
    """

    end: EngineEnd
    n_tokens: int
    n_prompt_tokens: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """Records that a prompt prefix was stored in an engine's cache or evicted."""

    sequence: int
    at: float
    kind: Literal["stored", "evicted"]
    prefix: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvents:
    """Holds cache events and the number to continue after.

    A jump in the sequence numbers means that the engine omitted events.
    """

    events: tuple[CacheEvent, ...] = ()
    next: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """Holds an order to an engine; field names are those of the engine's protocol.

    Parameters
    ----------
    order_id : str
        Unique id; an engine carries out each order once.
    kind : str
        ``load_model``, ``load_adapter``, ``unload_adapter`` or ``set_role``.
    fencing : int
        The fencing token of the lease under which it is sent.
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
class StaleFencing:
    """Reports that an order was refused, as the engine has seen a higher token."""

    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderExpired:
    """Reports that an order was refused, as it arrived after its expiry."""
