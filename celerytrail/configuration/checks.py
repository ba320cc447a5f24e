"""Checks of a document's values and references, beyond the types of its fields.

Each check reports findings with their place. `findings_in_steps` yields between
slices, so that a node can check 6,400 organisations without blocking its event loop
and delaying callers' tokens.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Collection, Iterable, Iterator, Sized
from dataclasses import dataclass, field

from ..types import Address, Finding
from .document import (
    PRIORITY_HIGHEST,
    PRIORITY_LOWEST,
    AdapterSpec,
    Document,
    EndpointSpec,
    EngineSpec,
    ModelSpec,
    OrganisationSpec,
    ServiceSpec,
)

MAX_CONTEXT_TOKENS = 16_777_216
MAX_WEIGHT = 1_000.0
MAX_TOKENS_PER_SECOND = 1_000_000_000
MAX_CONCURRENT = 1_000_000
MAX_KEYS_PER_ORGANISATION = 16
ENTRIES_PER_STEP = 64

# Limits of each list's length, a few times the design size. Without them one upload
# could fill the memory of every node.
MAX_ITEMS = {
    "models": 500,
    "adapters": 10_000,
    "organisations": 20_000,
    "engines": 10_000,
    "services": 500,
}

# Names become path segments, header values and row keys, so they may not contain
# characters that are special there.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_RULE = (
    "must be 1 to 64 letters, digits, dots, dashes or underscores,"
    " beginning with a letter or digit"
)
_DIGEST = re.compile(r"[0-9a-f]{64}")


@dataclass(kw_only=True, slots=True)
class _KnownNames:
    """Names, addresses and keys that entries may reference or must not repeat.

    Each maps to the place that defines it, or to an empty text if it may be referenced
    but its own entry isn't checked yet.
    """

    models: dict[str, str] = field(default_factory=dict)
    adapters: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    organisations: dict[str, str] = field(default_factory=dict)
    workers: dict[str, str] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    digests: dict[str, str] = field(default_factory=dict)


def findings_of(document: Document) -> tuple[Finding, ...]:
    """Return all findings of a document."""
    findings: list[Finding] = []
    for step in findings_in_steps(document):
        findings.extend(step)
    return tuple(findings)


def findings_in_steps(document: Document) -> Iterator[list[Finding]]:
    """Check a document in steps of `ENTRIES_PER_STEP`; yield each step's findings."""
    known = _referable_names(document)
    parts: list[tuple[str, tuple, Callable]] = [
        ("models", document.models, _check_model),
        ("adapters", document.adapters, _check_adapter),
        ("services", document.services, _check_service),
        ("engines", document.engines, _check_engine),
        ("organisations", document.organisations, _check_organisation),
    ]
    for kind, items, check in parts:
        too_long = list(_check_length(kind, items))
        if too_long:
            yield too_long
            continue
        for start in range(0, len(items), ENTRIES_PER_STEP):
            found: list[Finding] = []
            for number in range(start, min(start + ENTRIES_PER_STEP, len(items))):
                found.extend(check(items[number], f"{kind}[{number}]", known))
            yield found


def findings_of_changes(
    document: Document,
    organisations: Collection[OrganisationSpec],
    engines: Collection[EngineSpec],
) -> tuple[Finding, ...]:
    """Check a document that differs from a valid one in these entries only.

    Models, adapters and services must equal those of the valid document. References of
    unchanged entries are then still valid, and only the values of changed entries and
    their uniqueness need checking. Names within a list must be unique, which sections
    ensure. A full check takes 0.1 s of processor time at 6,400 organisations; 9,200
    changes a day would make that 1 % of a core.

    Parameters
    ----------
    document : Document
        The new document, including the changed entries.
    organisations, engines : collection
        The changed entries.
    """
    known = _referable_names(document)
    _record_other_keys(document, organisations, known)
    _record_other_workers(document, engines, known)
    findings: list[Finding] = []
    for kind in ("organisations", "engines"):
        findings.extend(_check_length(kind, getattr(document, kind)))
    for engine in engines:
        findings.extend(_check_engine(engine, f"engines[{engine.name}]", known))
    for organisation in organisations:
        findings.extend(
            _check_organisation(
                organisation, f"organisations[{organisation.name}]", known
            )
        )
    return tuple(findings)


def _record_other_keys(
    document: Document, changed: Collection[OrganisationSpec], known: _KnownNames
) -> None:
    """Record the changed organisations' keys that unchanged ones have as well."""
    names = {organisation.name for organisation in changed}
    changed_digests = {
        digest for organisation in changed for digest in organisation.key_digests
    }
    if not changed_digests:
        return
    for organisation in document.organisations:
        for digest in organisation.key_digests:
            if digest in changed_digests and organisation.name not in names:
                known.digests[digest] = f"organisation {organisation.name}"


def _record_other_workers(
    document: Document, changed: Collection[EngineSpec], known: _KnownNames
) -> None:
    """Record names and addresses of other workers that changed engines may repeat."""
    names = {engine.name for engine in changed}
    changed_addresses = {engine.address for engine in changed}
    for engine in document.engines:
        if engine.address in changed_addresses and engine.name not in names:
            known.addresses[engine.address] = f"engine {engine.name}"
    for service in document.services:
        for endpoint in service.endpoints:
            known.workers[endpoint.name] = f"service {service.name}"
            known.addresses[endpoint.address] = f"endpoint {endpoint.name}"


def _referable_names(document: Document) -> _KnownNames:
    """Return the names that entries may reference, whatever the order of entries."""
    known = _KnownNames()
    for model in document.models:
        known.models.setdefault(model.name, "")
    for adapter in document.adapters:
        known.adapters.setdefault(adapter_key(adapter.model, adapter.name), "")
    for service in document.services:
        known.services.setdefault(service.name, "")
    return known


def _check_length(kind: str, items: Sized) -> Iterator[Finding]:
    if len(items) > MAX_ITEMS[kind]:
        problem = f"holds {len(items)} entries; at most {MAX_ITEMS[kind]} are taken"
        yield Finding(place=kind, problem=problem)


def adapter_key(model: str, name: str) -> str:
    """Return the name callers use for an adapter: ``model:adapter``."""
    return f"{model}:{name}"


def _check_model(model: ModelSpec, place: str, known: _KnownNames) -> Iterator[Finding]:
    yield from _check_name(model.name, f"{place}.name")
    yield from _check_name(model.version, f"{place}.version")
    yield from _check_unique(known.models, model.name, f"{place}.name", "model")
    yield from _check_range(
        model.n_context_tokens, f"{place}.n_context_tokens", 1, MAX_CONTEXT_TOKENS
    )


def _check_adapter(
    adapter: AdapterSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    yield from _check_name(adapter.name, f"{place}.name")
    yield from _check_name(adapter.version, f"{place}.version")
    yield from _check_reference(known.models, adapter.model, f"{place}.model", "model")
    key = adapter_key(adapter.model, adapter.name)
    yield from _check_unique(known.adapters, key, f"{place}.name", "adapter")


def _check_organisation(
    organisation: OrganisationSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    yield from _check_name(organisation.name, f"{place}.name")
    yield from _check_unique(
        known.organisations, organisation.name, f"{place}.name", "organisation"
    )
    yield from _check_key_digests(organisation, place, known)
    yield from _check_range(
        organisation.priority, f"{place}.priority", PRIORITY_LOWEST, PRIORITY_HIGHEST
    )
    if not 0 < organisation.weight <= MAX_WEIGHT:
        problem = (
            f"must be over 0 and at most {MAX_WEIGHT:g}, not {organisation.weight}"
        )
        yield Finding(place=f"{place}.weight", problem=problem)
    if organisation.n_tokens_per_second is not None:
        yield from _check_range(
            organisation.n_tokens_per_second,
            f"{place}.n_tokens_per_second",
            1,
            MAX_TOKENS_PER_SECOND,
        )
    if organisation.n_concurrent is not None:
        yield from _check_range(
            organisation.n_concurrent, f"{place}.n_concurrent", 1, MAX_CONCURRENT
        )
    yield from _check_references(
        known.models, organisation.models, f"{place}.models", "model"
    )
    yield from _check_references(
        known.services, organisation.services, f"{place}.services", "service"
    )


def _check_key_digests(
    organisation: OrganisationSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    digests = organisation.key_digests
    if len(digests) > MAX_KEYS_PER_ORGANISATION:
        problem = (
            f"holds {len(digests)} keys; at most {MAX_KEYS_PER_ORGANISATION} are taken"
        )
        yield Finding(place=f"{place}.key_digests", problem=problem)
    for number, digest in enumerate(digests):
        inner = f"{place}.key_digests[{number}]"
        if not _DIGEST.fullmatch(digest):
            problem = "must be a SHA-256 in hex: 64 digits 0-9 and a-f"
            yield Finding(place=inner, problem=problem)
            continue
        # With one key in two organisations a caller could be attributed to the wrong
        # one, get its answers and use up its limits.
        yield from _check_unique(known.digests, digest, inner, "key")


def _check_engine(
    engine: EngineSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    yield from _check_worker(engine, place, known)
    yield from _check_reference(known.models, engine.model, f"{place}.model", "model")
    seen: dict[str, str] = {}
    for number, name in enumerate(engine.adapters):
        inner = f"{place}.adapters[{number}]"
        if adapter_key(engine.model, name) not in known.adapters:
            problem = f"model {engine.model!r} has no adapter {name!r}"
            yield Finding(place=inner, problem=problem)
        yield from _check_unique(seen, name, inner, "adapter")


def _check_service(
    service: ServiceSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    yield from _check_name(service.name, f"{place}.name")
    yield from _check_unique(known.services, service.name, f"{place}.name", "service")
    if service.endpoints and not service.operations:
        problem = "has endpoints but no operation, so nothing could be called"
        yield Finding(place=f"{place}.operations", problem=problem)
    seen: dict[str, str] = {}
    for number, operation in enumerate(service.operations):
        inner = f"{place}.operations[{number}].name"
        yield from _check_name(operation.name, inner)
        # Two entries for one operation may disagree on whether it can be repeated, and
        # a filing could then run twice.
        yield from _check_unique(seen, operation.name, inner, "operation")
    for number, endpoint in enumerate(service.endpoints):
        yield from _check_worker(endpoint, f"{place}.endpoints[{number}]", known)


def _check_worker(
    worker: EngineSpec | EndpointSpec, place: str, known: _KnownNames
) -> Iterator[Finding]:
    yield from _check_name(worker.name, f"{place}.name")
    yield from _check_unique(
        known.workers, worker.name, f"{place}.name", "engine or endpoint"
    )
    yield from _check_name(worker.failure_domain, f"{place}.failure_domain")
    for part in ("region", "vm"):
        text = getattr(worker, part)
        if text:
            yield from _check_name(text, f"{place}.{part}")
    try:
        address = Address.parse(worker.address)
    except ValueError:
        problem = (
            f"{_abbreviate(worker.address)} is not IP:PORT, such as 127.0.0.1:7100"
        )
        yield Finding(place=f"{place}.address", problem=problem)
        return
    if str(address) != worker.address:
        # An address in two spellings would escape the check for duplicates.
        problem = f"{_abbreviate(worker.address)} should be written {address}"
        yield Finding(place=f"{place}.address", problem=problem)
        return
    yield from _check_unique(
        known.addresses, worker.address, f"{place}.address", "address"
    )


def _check_name(text: str, place: str) -> Iterator[Finding]:
    if not _NAME.fullmatch(text):
        yield Finding(place=place, problem=f"{_NAME_RULE}; not {_abbreviate(text)}")


def _check_range(number: int, place: str, low: int, high: int) -> Iterator[Finding]:
    if not low <= number <= high:
        problem = f"must be {low} to {high}, not {_abbreviate(number)}"
        yield Finding(place=place, problem=problem)


def _check_unique(seen: dict, key: object, place: str, what: str) -> Iterator[Finding]:
    """Report a key that another place defines, else record it with this place."""
    first_place = seen.get(key)
    if first_place:
        problem = f"this {what} stands already at {first_place}; it must be unique"
        yield Finding(place=place, problem=problem)
        return
    seen[key] = place


def _check_reference(
    known: dict[str, str], name: str, place: str, what: str
) -> Iterator[Finding]:
    if name not in known:
        problem = f"the document has no {what} {_abbreviate(name)}"
        yield Finding(place=place, problem=problem)


def _check_references(
    known: dict[str, str], names: Iterable[str], place: str, what: str
) -> Iterator[Finding]:
    seen: dict[str, str] = {}
    for number, name in enumerate(names):
        inner = f"{place}[{number}]"
        yield from _check_reference(known, name, inner, what)
        yield from _check_unique(seen, name, inner, what)


def _abbreviate(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:80]}..."
