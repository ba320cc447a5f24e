"""The operators' document: its frozen types and its JSON form.

The console edits it, ``configuration/validation.py`` checks it, the platform stores it
and every node applies the newest accepted version it knows. Lists are tuples, so that a
document can't change while it is read.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

PRIORITY_LOWEST = 0
PRIORITY_HIGHEST = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSpec:
    """A model that callers can request.

    Parameters
    ----------
    name : str
        The name callers use.
    version : str
        The current version of the weights.
    n_context_tokens : int
        Limit of prompt and output tokens together.
    """

    name: str
    version: str
    n_context_tokens: int = 32_768


@dataclass(frozen=True, kw_only=True, slots=True)
class AdapterSpec:
    """An adapter of a model; callers name it as ``model:adapter``."""

    name: str
    model: str
    version: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationSpec:
    """An organisation with its keys, permissions and limits.

    Parameters
    ----------
    name : str
        The name shown to operators.
    key_digests : tuple of str
        SHA-256, in hex, of each of its API keys. Keys themselves are never stored.
    priority : int
        0 (lowest) to 9 (highest); applied by the engines.
    weight : float
        Its share of a saturated engine, relative to other organisations.
    n_tokens_per_second : int or None
        Limit on generated tokens per second over all nodes; None for no limit.
    n_concurrent : int or None
        Limit on concurrent generations over all nodes; None for no limit.
    models : tuple of str
        Models it may use; empty for all.
    services : tuple of str
        Services it may call; empty for all.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int = 5
    weight: float = 1.0
    n_tokens_per_second: int | None = None
    n_concurrent: int | None = None
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineSpec:
    """A model engine: its location and what it should serve.

    Parameters
    ----------
    name : str
        The name, unique in the document.
    address : str
        ``IP:PORT`` on which it listens.
    failure_domain, region, vm : str
        Where it runs.
    model : str
        The model it should have loaded.
    adapters : tuple of str
        Names of the adapters it should have loaded.
    role : {"serve", "drain"}
        Whether it receives new work; ``drain`` for no.
    fencing : {"honoured", "ignored"}
        Whether it refuses orders with an outdated fencing token.
    """

    name: str
    address: str
    failure_domain: str
    model: str
    region: str = ""
    vm: str = ""
    adapters: tuple[str, ...] = ()
    role: Literal["serve", "drain"] = "serve"
    fencing: Literal["honoured", "ignored"] = "honoured"


@dataclass(frozen=True, kw_only=True, slots=True)
class OperationSpec:
    """One operation of a plain service.

    Parameters
    ----------
    name : str
        The last segment of its path.
    idempotent : bool
        Whether it can safely run twice. If not, callers must send an idempotency key,
        and it runs at most once for each key.
    """

    name: str
    idempotent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointSpec:
    """One endpoint (worker) of a plain service."""

    name: str
    address: str
    failure_domain: str
    region: str = ""
    vm: str = ""
    role: Literal["serve", "drain"] = "serve"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSpec:
    """A plain service, its operations and its endpoints."""

    name: str
    operations: tuple[OperationSpec, ...] = ()
    endpoints: tuple[EndpointSpec, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """The configuration of the whole system, as operators define it."""

    models: tuple[ModelSpec, ...] = ()
    adapters: tuple[AdapterSpec, ...] = ()
    organisations: tuple[OrganisationSpec, ...] = ()
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedDocument:
    """A document and its accepted version; 0 is the empty document before the first."""

    version: int = 0
    document: Document = field(default_factory=Document)


def encode(document: Document) -> bytes:
    """Return the document's JSON."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Decode a document's JSON; validation reports unknown fields, this doesn't.

    Raises
    ------
    msgspec.ValidationError
        If a field has the wrong type; the message names its place.
    """
    return msgspec.json.decode(data, type=Document)
