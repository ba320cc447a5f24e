"""Affinity: prefers an engine that holds a prompt's prefix, as far as load allows.

A cached prefix saves the time to process it; following it blindly piles one
organisation's work on one engine. So a warm cache counts as a bonus of bounded size
when engines that have room are compared.
"""

from __future__ import annotations

import abc
from collections import OrderedDict
from collections.abc import Sequence

# The most that a fully warm cache is worth, as a share of an engine's memory.
BONUS_MAX = 0.1
N_PREFIXES_KEPT = 4096


class AffinityPolicy(abc.ABC):
    """Says how much an engine's warm cache is worth to a request."""

    @abc.abstractmethod
    def bonus(self, engine: str, prefixes: Sequence[str]) -> float:
        """Return the bonus, as a share of the engine's memory."""

    @abc.abstractmethod
    def stored(self, engine: str, prefixes: Sequence[str]) -> None:
        """Note that an engine holds these prefixes now, or soon."""

    @abc.abstractmethod
    def evicted(self, engine: str, prefix: str) -> None:
        """Note that an engine no longer holds a prefix."""

    @abc.abstractmethod
    def forget(self, engine: str) -> None:
        """Note that an engine's cache is empty, as after a restart."""


class NoAffinity(AffinityPolicy):
    """Ignores caches; a baseline."""

    def bonus(self, engine: str, prefixes: Sequence[str]) -> float:
        """Return 0."""
        return 0.0

    def stored(self, engine: str, prefixes: Sequence[str]) -> None:
        """Do nothing."""

    def evicted(self, engine: str, prefix: str) -> None:
        """Do nothing."""

    def forget(self, engine: str) -> None:
        """Do nothing."""


class BoundedAffinity(AffinityPolicy):
    """Worth a bonus in proportion to the share of the prompt's blocks that is warm.

    Parameters
    ----------
    n_prefixes : int
        The most prefixes remembered per engine, least recently used dropped first;
        events come with gaps, so evictions can be missed for good.
    """

    def __init__(self, *, n_prefixes: int = N_PREFIXES_KEPT) -> None:
        self._n_prefixes = n_prefixes
        self._warm: dict[str, OrderedDict[str, None]] = {}

    def bonus(self, engine: str, prefixes: Sequence[str]) -> float:
        """Return the bonus, as a share of the engine's memory."""
        warm = self._warm.get(engine)
        if not prefixes or not warm:
            return 0.0
        n_warm = 0
        for prefix in prefixes:
            if prefix not in warm:
                break
            n_warm += 1
        return BONUS_MAX * n_warm / len(prefixes)

    def stored(self, engine: str, prefixes: Sequence[str]) -> None:
        """Note that an engine holds these prefixes now, or soon."""
        warm = self._warm.setdefault(engine, OrderedDict())
        for prefix in prefixes:
            warm[prefix] = None
            warm.move_to_end(prefix)
        while len(warm) > self._n_prefixes:
            warm.popitem(last=False)

    def evicted(self, engine: str, prefix: str) -> None:
        """Note that an engine no longer holds a prefix."""
        self._warm.get(engine, OrderedDict()).pop(prefix, None)

    def forget(self, engine: str) -> None:
        """Drop all that is known of an engine's cache."""
        self._warm.pop(engine, None)
