"""The configuration a process has in force: it only ever moves upwards."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from .document import VersionedDocument

Subscriber = Callable[[VersionedDocument], None]


class Configuration:
    """Holds the newest accepted document that this process knows of."""

    def __init__(self) -> None:
        self._current = VersionedDocument()
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> VersionedDocument:
        """Return what is in force; version 0 is an empty document."""
        return self._current

    def offer(self, newer: VersionedDocument) -> bool:
        """Put a document in force where its version is higher.

        A node that was frozen, a read that was served stale and a peer that still
        gossips an old version all bring old documents late. Were one of them taken,
        an accepted change would revert; so anything not newer is dropped.

        Returns
        -------
        bool
            Whether it was taken.
        """
        if newer.version <= self._current.version:
            return False
        self._current = newer
        log_message("configuration:applied", version=newer.version)
        for subscriber in self._subscribers:
            subscriber(newer)
        return True

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each document that comes into force."""
        self._subscribers.append(subscriber)
