"""The operators' one document: its frozen types and its JSON form.

The console edits it, ``operators/validation.py`` checks it, the platform keeps it and
every node serves by the newest one it has. Lists are tuples so that a document can't
change under a reader.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

import msgspec

PRIORITY_LOWEST = 0
PRIORITY_HIGHEST = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelSpec:
    """A model that callers can name.

    Parameters
    ----------
    name : str
        The name callers use.
    version : str
        The version of the weights that is in force.
    n_context_tokens : int
        The most tokens a prompt and its output may hold together.
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
    """An organisation, what it may use and how much of it.

    Parameters
    ----------
    name : str
        Its name, as shown to operators.
    key_digests : tuple of str
        SHA-256, in hex, of each API key it may use. Keys themselves are never kept.
    priority : int
        0 (lowest) to 9 (highest); engines honour it.
    weight : float
        Its share of a crowded engine, relative to the others.
    n_tokens_per_second : int or None
        Limit on generated tokens over all nodes; None for none.
    n_concurrent : int or None
        Limit on generations at one time over all nodes; None for none.
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
    """A model engine: where it is and what it should serve.

    Parameters
    ----------
    name : str
        Its name, unique in the document.
    address : str
        ``IP:PORT`` it listens on.
    failure_domain, region, vm : str
        Where it runs.
    model : str
        The model it should have loaded.
    adapters : tuple of str
        Names of the adapters it should have loaded.
    role : {"serve", "drain"}
        Whether it gets new work.
    fencing : {"honoured", "ignored"}
        Whether it refuses an order that carries an old fencing number.
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
        The last part of its path.
    idempotent : bool
        Whether running it twice does no harm. Where it does, callers must send an
        idempotency key and it runs at most once for that key.
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
    """The single statement of intent."""

    models: tuple[ModelSpec, ...] = ()
    adapters: tuple[AdapterSpec, ...] = ()
    organisations: tuple[OrganisationSpec, ...] = ()
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedDocument:
    """A document and the version under which it was accepted; 0 is none yet."""

    version: int = 0
    document: Document = field(default_factory=Document)


def encode(document: Document) -> bytes:
    """Return the document's JSON."""
    return msgspec.json.encode(document)


def decode(data: bytes) -> Document:
    """Read a document's JSON; unknown fields are left to validation.

    Raises
    ------
    msgspec.ValidationError
        When a field has the wrong type; its message names the place.
    """
    return msgspec.json.decode(data, type=Document)
