"""The garbage collector skips large documents."""

from __future__ import annotations

import gc

from celerytrail.configuration.current import Configuration
from celerytrail.configuration.document import (
    Document,
    OrganisationSpec,
    VersionedDocument,
)
from celerytrail.configuration.gcfreeze import freeze_documents


def offer(configuration, version, n_organisations):
    organisations = tuple(
        OrganisationSpec(name=f"o{number}") for number in range(n_organisations)
    )
    document = Document(organisations=organisations)
    configuration.offer(VersionedDocument(version=version, document=document))


class TestFreezing:
    def test_freezes_only_after_doubling(self):
        configuration, freezes = Configuration(), []
        freeze_documents(configuration, lambda: freezes.append(1))
        sizes = [10, 600, 601, 1199, 1200, 1200, 100, 2400]
        counts = []
        for version, n_organisations in enumerate(sizes, 1):
            offer(configuration, version, n_organisations)
            counts.append(len(freezes))
        assert counts == [0, 1, 1, 1, 2, 2, 2, 3]

    def test_collector_skips_frozen_document(self):
        """A full collection during an answer would traverse every organisation.

        The caller would see a gap between two tokens.
        """
        configuration = Configuration()
        try:
            freeze_documents(configuration)
            offer(configuration, 1, 1000)
            tracked_ids = {id(entry) for entry in gc.get_objects()}
            organisations = configuration.current.document.organisations
            assert not any(id(entry) in tracked_ids for entry in organisations)
        finally:
            gc.unfreeze()
