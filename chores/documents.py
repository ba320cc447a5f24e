"""The first document of a system that a chore has started."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Mapping

from celerytrail.configuration.document import (
    Document,
    EndpointSpec,
    EngineSpec,
    ModelSpec,
    OperationSpec,
    OrganisationSpec,
    ServiceSpec,
)

from .system import FAILURE_DOMAINS, MODEL, SERVICE, Child


def first_document(
    children: Mapping[str, Child], *organisations: str
) -> tuple[Document, dict[str, str]]:
    """Return a document that names what runs, and each organisation's new key."""
    engines = [c for name, c in children.items() if name.startswith("engine-")]
    endpoints = [c for name, c in children.items() if name.startswith(f"{SERVICE}-")]
    keys = {name: secrets.token_urlsafe(24) for name in organisations}
    document = Document(
        models=(ModelSpec(name=MODEL, version="1"),),
        organisations=tuple(
            OrganisationSpec(
                name=name, key_digests=(hashlib.sha256(key.encode()).hexdigest(),)
            )
            for name, key in keys.items()
        ),
        engines=tuple(
            EngineSpec(
                name=child.name,
                address=str(child.address),
                failure_domain=FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)],
                region="default",
                vm=child.name,
                model=MODEL,
            )
            for n, child in enumerate(engines)
        ),
        services=(
            ServiceSpec(
                name=SERVICE,
                operations=(
                    OperationSpec(name="file", idempotent=False),
                    OperationSpec(name="status", idempotent=True),
                ),
                endpoints=tuple(
                    EndpointSpec(
                        name=child.name,
                        address=str(child.address),
                        failure_domain=FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)],
                        region="default",
                        vm=child.name,
                    )
                    for n, child in enumerate(endpoints)
                ),
            ),
        ),
    )
    return document, keys
