"""The current configuration of a process; its version never decreases."""

from __future__ import annotations

import traceback
from collections.abc import Callable

from eliot import log_message

from .document import VersionedDocument

Subscriber = Callable[[VersionedDocument], None]


class Configuration:
    """Holds the newest accepted document that this process has loaded."""

    def __init__(self) -> None:
        self._current = VersionedDocument()
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> VersionedDocument:
        """Return the current version and document; version 0 is an empty document."""
        return self._current

    def offer(self, newer: VersionedDocument) -> bool:
        """Apply a document if its version is higher than the current one.

        Old documents arrive late from a node that was frozen, a stale read or a peer
        that still gossips an old version. Applying one would revert an accepted change,
        so anything that isn't newer is dropped.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if newer.version <= self._current.version:
            return False
        self._current = newer
        log_message("configuration:applied", version=newer.version)
        for subscriber in self._subscribers:
            try:
                subscriber(newer)
            except Exception:
                # The document is in force: the other parts of the node must know it.
                log_message(
                    "configuration:subscriber_failed",
                    version=newer.version,
                    problem=traceback.format_exc(),
                )
        return True

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each document when it is applied."""
        self._subscribers.append(subscriber)
