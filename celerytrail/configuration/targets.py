"""The versions that a node knows of and has not applied yet; no input or output."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..types import Address

MAX_TARGETS = 4
MAX_HOLDERS = 3
MAX_FAILURES = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A version to fetch and apply.

    Parameters
    ----------
    version : int
        The version number.
    root : str
        The root's digest.
    holders : tuple of Address
        Peers that report it as their current version.
    is_accepted : bool
        Whether the platform's head row names it, and not only a peer.
    n_failures : int
        Failed attempts so far.
    """

    version: int
    root: str
    holders: tuple[Address, ...] = ()
    is_accepted: bool = False
    n_failures: int = 0


class Targets:
    """The `MAX_TARGETS` best-ranked known versions that aren't applied yet.

    Several are kept because one may be wrong: with only the highest kept, a faulty
    peer that names a nonexistent version would block every real one.
    """

    def __init__(self) -> None:
        self._targets: dict[tuple[int, str], Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def add(
        self, version: int, root: str, holder: Address | None, *, is_accepted: bool
    ) -> bool:
        """Record a version; return whether it or its first holder is new."""
        key = (version, root)
        known = self._targets.get(key)
        target = known or Target(version=version, root=root)
        if is_accepted:
            target = replace(target, is_accepted=True)
        if holder is not None and holder not in target.holders:
            # The newest holder comes first: it has the version at this moment.
            holders = (holder, *target.holders)[:MAX_HOLDERS]
            target = replace(target, holders=holders)
        self._targets[key] = target
        while len(self._targets) > MAX_TARGETS:
            del self._targets[min(self._targets, key=self._priority)]
        is_new = known is None or (bool(target.holders) and not known.holders)
        return is_new and key in self._targets

    def by_priority(self) -> list[Target]:
        """Return the targets in the order in which to try them."""
        keys = sorted(self._targets, key=self._priority, reverse=True)
        return [self._targets[key] for key in keys]

    def record_failure(self, target: Target) -> None:
        """Count a failed attempt; `MAX_FAILURES` of them remove the target.

        It returns when a peer or the platform reports it again.
        """
        key = (target.version, target.root)
        current = self._targets.get(key)
        if current is None:
            return
        self._targets[key] = replace(current, n_failures=current.n_failures + 1)
        if self._targets[key].n_failures >= MAX_FAILURES:
            del self._targets[key]

    def drop(self, target: Target) -> None:
        """Remove a target."""
        self._targets.pop((target.version, target.root), None)

    def drop_up_to(self, version: int) -> None:
        """Remove the targets up to and including a version."""
        for key in [key for key in self._targets if key[0] <= version]:
            del self._targets[key]

    def _priority(self, key: tuple[int, str]) -> tuple[bool, int, str]:
        # Versions that the platform accepted come before those that only peers report,
        # whatever their numbers.
        return (self._targets[key].is_accepted, *key)
