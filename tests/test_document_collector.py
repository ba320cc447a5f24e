"""The garbage collector passes over large documents."""

from __future__ import annotations

import gc

from celerytrail.configuration.collector import freeze_documents
from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    OrganisationSpec,
    VersionedDocument,
)


def offer(configuration, version, n_organisations):
    organisations = tuple(
        OrganisationSpec(name=f"o{number}") for number in range(n_organisations)
    )
    document = Document(organisations=organisations)
    configuration.offer(VersionedDocument(version=version, document=document))


class TestFreezing:
    def test_only_when_it_has_doubled(self):
        configuration, frozen = Configuration(), []
        freeze_documents(configuration, lambda: frozen.append(1))
        sizes = [10, 600, 601, 1199, 1200, 1200, 100, 2400]
        counts = []
        for version, n_organisations in enumerate(sizes, 1):
            offer(configuration, version, n_organisations)
            counts.append(len(frozen))
        assert counts == [0, 1, 1, 1, 2, 2, 2, 3]

    def test_frozen_document_is_not_walked(self):
        """A full collection in the middle of an answer walks over every organisation.

        A caller sees a gap between two tokens.
        """
        configuration = Configuration()
        try:
            freeze_documents(configuration)
            offer(configuration, 1, 1000)
            walked = {id(one) for one in gc.get_objects()}
            organisations = configuration.current.document.organisations
            assert not any(id(one) in walked for one in organisations)
        finally:
            gc.unfreeze()
