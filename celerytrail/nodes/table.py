"""The table of members and leaving endpoints, and which update takes precedence."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

from ..types import Address
from .member import Member, State

# How long an endpoint stays in the table after it left: long enough for the VM list
# and its own reports to have dropped it.
ENDPOINT_RETENTION_SECONDS = 600.0
# A leaving time further ahead is an error of the peer.
MAX_AHEAD_SECONDS = 7 * 86_400.0
# Leaving times of one endpoint that differ by more belong to two departures.
SAME_LEAVING_SECONDS = 120.0
MAX_ENDPOINTS = 10_000
MAX_MEMBERS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _LeavingEndpoint:
    at: float
    remove_at: float


class MemberTable:
    """Holds the members and the leaving endpoints by name, and a digest of both.

    Parameters
    ----------
    me : Member
        The node itself.
    """

    def __init__(self, *, me: Member) -> None:
        self.me = me
        self.others: dict[str, Member] = {}
        self.endpoints: dict[str, _LeavingEndpoint] = {}
        self.digest = _hash_member(me)
        # Kept up to date because it is read for each datagram.
        self._n_live_others = 0

    @property
    def n_live(self) -> int:
        """Return the number of members that are not dead, this node included."""
        return 1 + self._n_live_others

    def put(self, member: Member) -> None:
        """Store a member and update the digest."""
        if member.node == self.me.node:
            self.digest ^= _hash_member(self.me) ^ _hash_member(member)
            self.me = member
            return
        former = self.others.get(member.node)
        if former is not None:
            self.digest ^= _hash_member(former)
            self._n_live_others -= former.state is not State.DEAD
        self.digest ^= _hash_member(member)
        self._n_live_others += member.state is not State.DEAD
        self.others[member.node] = member

    def remove(self, node: str) -> None:
        """Remove a member."""
        former = self.others.pop(node)
        self.digest ^= _hash_member(former)
        self._n_live_others -= former.state is not State.DEAD

    def is_newer(self, node: str, incarnation: int, state: State) -> bool:
        """Return whether an update about a member overrides its entry."""
        known = self.others.get(node)
        if known is None:
            return len(self.others) < MAX_MEMBERS
        return (incarnation, state) > (known.incarnation, known.state)

    def contact_targets(
        self, candidates: frozenset[Address]
    ) -> list[tuple[Address, str]]:
        """Return address and name of each dead member and each unknown candidate.

        The name of an unknown candidate is empty.
        """
        others = self.others.values()
        dead = [member for member in others if member.state is State.DEAD]
        choices = [(member.peer, member.node) for member in dead]
        known = {self.me.peer, *(member.peer for member in others)}
        choices += [(address, "") for address in sorted(candidates - known)]
        return choices

    def set_version(self, node: str, version: int) -> None:
        """Record the configuration version that a member itself reported."""
        member = self.others.get(node)
        if member is not None and member.version != version:
            self.others[node] = replace(member, version=version)

    def put_endpoint(self, endpoint: str, at: float, now: float, wall: float) -> bool:
        """Record that an endpoint leaves; of one departure the earliest time wins.

        Its removal is scheduled once, on the monotonic clock, so that a later jump of
        the wall clock does not make this node remove a leaving endpoint early.

        Returns
        -------
        bool
            Whether the table changed.
        """
        known = self.endpoints.get(endpoint)
        if known is not None and not _takes_precedence(at, known.at):
            return False
        if known is None and len(self.endpoints) >= MAX_ENDPOINTS:
            return False
        if not wall - ENDPOINT_RETENTION_SECONDS < at < wall + MAX_AHEAD_SECONDS:
            return False
        if known is None:
            self.digest ^= _hash(f"endpoint {endpoint}")
        remove_at = now + ENDPOINT_RETENTION_SECONDS + (at - wall)
        self.endpoints[endpoint] = _LeavingEndpoint(at=at, remove_at=remove_at)
        return True

    def expire_endpoints(self, now: float) -> None:
        """Remove the endpoints whose retention has ended."""
        for endpoint, leaving in list(self.endpoints.items()):
            if now >= leaving.remove_at:
                self.digest ^= _hash(f"endpoint {endpoint}")
                del self.endpoints[endpoint]


def _takes_precedence(at: float, known_at: float) -> bool:
    # Sources report one departure at different times, and the earliest counts. Times
    # far apart are two departures under one name, as when a VM was replaced and its
    # successor leaves as well. If the first time were kept, the second departure would
    # never be announced.
    if abs(at - known_at) > SAME_LEAVING_SECONDS:
        return at > known_at
    return at < known_at


def _hash_member(member: Member) -> int:
    # Suspects and dead members count as unknown: a suspicion turns into a death by
    # itself, at slightly different times on different nodes.
    if member.state >= State.SUSPECT:
        return 0
    return _hash(f"member {member.node} {member.incarnation}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
