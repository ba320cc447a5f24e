"""Prefix cache affinity: prefers engines that hold a prompt's prefix, as load allows.

A cached prefix saves its prefill, but always following the cache concentrates an
organisation's work on one engine. So cached prefixes add a bounded bonus when engines
that fit a request are compared.
"""

from __future__ import annotations

import abc
from collections import OrderedDict
from collections.abc import Sequence

# Bonus for a fully cached prompt, as a share of an engine's memory.
BONUS_MAX = 0.1
N_PREFIXES_KEPT = 4096


class AffinityPolicy(abc.ABC):
    """Rates the prefixes that engines hold for a request."""

    @abc.abstractmethod
    def bonus(self, engine: str, prefixes: Sequence[str]) -> float:
        """Return the bonus, as a share of the engine's memory."""

    @abc.abstractmethod
    def stored(self, engine: str, prefixes: Sequence[str]) -> None:
        """Record that an engine holds these prefixes, or will soon."""

    @abc.abstractmethod
    def evicted(self, engine: str, prefix: str) -> None:
        """Record that an engine no longer holds a prefix."""

    @abc.abstractmethod
    def forget(self, engine: str) -> None:
        """Drop an engine's prefixes, as after a restart."""


class NoAffinity(AffinityPolicy):
    """Ignores prefix caches; a baseline."""

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
    """Gives a bonus in proportion to the share of the prompt's blocks that is cached.

    Parameters
    ----------
    n_prefixes : int
        The most prefixes kept per engine; the least recently used are dropped first.
        This bound is needed because cache events can be missed, evictions included.
    """

    def __init__(self, *, n_prefixes: int = N_PREFIXES_KEPT) -> None:
        self._n_prefixes = n_prefixes
        self._cached: dict[str, OrderedDict[str, None]] = {}

    def bonus(self, engine: str, prefixes: Sequence[str]) -> float:
        """Return the bonus, as a share of the engine's memory."""
        cached = self._cached.get(engine)
        if not prefixes or not cached:
            return 0.0
        n_cached = 0
        for prefix in prefixes:
            if prefix not in cached:
                break
            n_cached += 1
        return BONUS_MAX * n_cached / len(prefixes)

    def stored(self, engine: str, prefixes: Sequence[str]) -> None:
        """Record that an engine holds these prefixes, or will soon."""
        cached = self._cached.setdefault(engine, OrderedDict())
        for prefix in prefixes:
            cached[prefix] = None
            cached.move_to_end(prefix)
        while len(cached) > self._n_prefixes:
            cached.popitem(last=False)

    def evicted(self, engine: str, prefix: str) -> None:
        """Record that an engine no longer holds a prefix."""
        self._cached.get(engine, OrderedDict()).pop(prefix, None)

    def forget(self, engine: str) -> None:
        """Drop an engine's prefixes, as after a restart."""
        self._cached.pop(engine, None)
