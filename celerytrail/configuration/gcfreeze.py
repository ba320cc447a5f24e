"""Exclusion of the document from Python's cyclic garbage collection.

At 6,400 organisations and 2,000 engines a full collection blocks the event loop for
about 40 ms, which appears as a gap between two tokens in every stream of the node. The
document has no cycles, so collections can't free anything in it. Once frozen it is
skipped by them, and reference counting still frees it.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from eliot import log_message

from .current import Configuration
from .document import VersionedDocument

# With fewer entries a collection takes only a few milliseconds.
MIN_ENTRIES = 500


def freeze_documents(
    configuration: Configuration, freeze: Callable[[], None] | None = None
) -> None:
    """Freeze each document that has at least twice the entries of the last frozen one.

    Freezing also keeps any cyclic garbage of that moment forever, so it isn't done at
    every version. Doubling limits it to a few times per process.

    Parameters
    ----------
    configuration : Configuration
        The configuration whose documents are frozen.
    freeze : callable or None
        Replaces the default, a full collection and then ``gc.freeze``, in tests.
    """
    n_frozen_entries = 0
    freeze = freeze or _collect_and_freeze

    def on_version(new: VersionedDocument) -> None:
        nonlocal n_frozen_entries
        document = new.document
        n_entries = len(document.organisations) + len(document.engines)
        if n_entries >= max(MIN_ENTRIES, 2 * n_frozen_entries):
            n_frozen_entries = n_entries
            freeze()
            log_message("configuration:frozen", n_entries=n_entries)

    configuration.subscribe(on_version)


def _collect_and_freeze() -> None:
    gc.collect()
    gc.freeze()
