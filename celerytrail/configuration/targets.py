"""The versions a node has heard of and has not in force yet; pure bookkeeping."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..types import Address

MAX_TARGETS = 4
MAX_HOLDERS = 3
MAX_FAILURES = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A version to bring into force.

    Parameters
    ----------
    version : int
        Its number.
    root : str
        The digest of its root.
    holders : tuple of Address
        Peers that said they have it in force.
    is_accepted : bool
        Whether the platform's head row said so, not only a peer.
    n_failures : int
        Tries that failed so far.
    """

    version: int
    root: str
    holders: tuple[Address, ...] = ()
    is_accepted: bool = False
    n_failures: int = 0


class Targets:
    """The newest few versions heard of.

    Several are kept because one may be wrong: were only the highest kept, a peer with
    a fault that names a version nobody has would keep this node from every real one.
    """

    def __init__(self) -> None:
        self._targets: dict[tuple[int, str], Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def add(
        self, version: int, root: str, holder: Address | None, *, is_accepted: bool
    ) -> bool:
        """Note a version; returns whether it, or its first holder, is news."""
        key = (version, root)
        old = self._targets.get(key)
        target = old or Target(version=version, root=root)
        if is_accepted:
            target = replace(target, is_accepted=True)
        if holder is not None and holder not in target.holders:
            # The latest is put first: it has the version now.
            holders = (holder, *target.holders)[:MAX_HOLDERS]
            target = replace(target, holders=holders)
        self._targets[key] = target
        while len(self._targets) > MAX_TARGETS:
            del self._targets[min(self._targets, key=self._rank)]
        is_news = old is None or (bool(target.holders) and not old.holders)
        return is_news and key in self._targets

    def ordered(self) -> list[Target]:
        """Return them by the order in which to try them."""
        keys = sorted(self._targets, key=self._rank, reverse=True)
        return [self._targets[key] for key in keys]

    def note_failure(self, target: Target) -> None:
        """Count a failed try; after `MAX_FAILURES` it must be heard of again."""
        key = (target.version, target.root)
        now = self._targets.get(key)
        if now is None:
            return
        self._targets[key] = replace(now, n_failures=now.n_failures + 1)
        if self._targets[key].n_failures >= MAX_FAILURES:
            del self._targets[key]

    def drop(self, target: Target) -> None:
        """Forget a version."""
        self._targets.pop((target.version, target.root), None)

    def drop_up_to(self, version: int) -> None:
        """Forget what is not above a version."""
        for key in [key for key in self._targets if key[0] <= version]:
            del self._targets[key]

    def _rank(self, key: tuple[int, str]) -> tuple[bool, int, str]:
        # What the platform accepted goes before what peers say, whatever its number.
        return (self._targets[key].is_accepted, *key)
