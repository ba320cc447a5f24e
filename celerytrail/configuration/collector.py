"""Keeping Python's garbage collector from walking over the document again and again.

At 6,400 organisations and 2,000 engines a full collection stops the event loop for
about 40 ms, which every stream of the node sees as a gap between two tokens. The
document has no cycles, so the collector can never find anything in it; frozen, it is
passed over, and is still freed by its reference counts.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from eliot import log_message

from .current import Configuration
from .document import VersionedDocument

# Below this, a collection is over in a few milliseconds anyway.
MIN_ENTRIES = 500


def freeze_documents(
    configuration: Configuration, freeze: Callable[[], None] | None = None
) -> None:
    """Freeze each document that has at least twice the entries of the last frozen one.

    Freezing at every version would also keep, for good, whatever cyclic garbage there
    is at that moment; with the doubling it is done a handful of times in a process.

    Parameters
    ----------
    configuration : Configuration
        Whose documents to freeze.
    freeze : callable or None
        For tests; by default a full collection and then ``gc.freeze``.
    """
    n_frozen = 0
    freeze = freeze or _collect_and_freeze

    def on_version(new: VersionedDocument) -> None:
        nonlocal n_frozen
        document = new.document
        n_entries = len(document.organisations) + len(document.engines)
        if n_entries >= max(MIN_ENTRIES, 2 * n_frozen):
            n_frozen = n_entries
            freeze()
            log_message("configuration:frozen", n_entries=n_entries)

    configuration.subscribe(on_version)


def _collect_and_freeze() -> None:
    gc.collect()
    gc.freeze()
