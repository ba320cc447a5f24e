"""The first document of a system of :mod:`chores.system`."""

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
    """Return a document of the running processes, and a new key per organisation.

    Parameters
    ----------
    children : mapping of str to Child
        The started processes by name.
    *organisations : str
        Names of the organisations that get an API key.

    Returns
    -------
    tuple of Document and dict
        The document and the API key of each organisation by name.
    """
    engines = [child for name, child in children.items() if name.startswith("engine-")]
    endpoints = [
        child for name, child in children.items() if name.startswith(f"{SERVICE}-")
    ]
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
                failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                region="default",
                vm=child.name,
                model=MODEL,
            )
            for index, child in enumerate(engines)
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
                        failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                        region="default",
                        vm=child.name,
                    )
                    for index, child in enumerate(endpoints)
                ),
            ),
        ),
    )
    return document, keys
