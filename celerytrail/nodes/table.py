"""All members and leaving endpoints that a node knows, and which claim wins."""

from __future__ import annotations

import hashlib
from dataclasses import replace

from .member import Member, State

# An endpoint is remembered as leaving this long after it left, in seconds: long enough
# for the VM list and its own reports to have dropped it.
ENDPOINT_MEMORY_SECONDS = 600.0
# Times further ahead than this are a peer's mistake, in seconds.
MAX_AHEAD_SECONDS = 7 * 86_400.0
MAX_ENDPOINTS = 10_000
MAX_MEMBERS = 5_000


class MemberTable:
    """The members, by name, and the endpoints that are leaving.

    Parameters
    ----------
    me : Member
        The node itself.
    """

    def __init__(self, *, me: Member) -> None:
        self.me = me
        self.others: dict[str, Member] = {}
        self.endpoints: dict[str, float] = {}
        self.digest = _hash_member(me)

    @property
    def n_live(self) -> int:
        """Return how many members are not dead, this node included."""
        others = self.others.values()
        return 1 + sum(member.state is not State.DEAD for member in others)

    def put(self, member: Member) -> None:
        """Set a member, keeping the digest in step."""
        if member.node == self.me.node:
            self.digest ^= _hash_member(self.me) ^ _hash_member(member)
            self.me = member
            return
        former = self.others.get(member.node)
        if former is not None:
            self.digest ^= _hash_member(former)
        self.digest ^= _hash_member(member)
        self.others[member.node] = member

    def remove(self, node: str) -> None:
        """Forget a member."""
        self.digest ^= _hash_member(self.others.pop(node))

    def is_news(self, node: str, incarnation: int, state: State) -> bool:
        """Return whether a claim goes before what is known of the member."""
        known = self.others.get(node)
        if known is None:
            return len(self.others) < MAX_MEMBERS
        return (incarnation, state) > (known.incarnation, known.state)

    def set_version(self, node: str, version: int) -> None:
        """Note the version that a member itself said it has in force."""
        member = self.others.get(node)
        if member is not None and member.version != version:
            self.others[node] = replace(member, version=version)

    def put_endpoint(self, endpoint: str, at: float, wall: float) -> bool:
        """Note that an endpoint leaves; the earliest time wins.

        Returns
        -------
        bool
            Whether it was news.
        """
        known = self.endpoints.get(endpoint)
        if known is not None and known <= at:
            return False
        if known is None and len(self.endpoints) >= MAX_ENDPOINTS:
            return False
        if not wall - ENDPOINT_MEMORY_SECONDS < at < wall + MAX_AHEAD_SECONDS:
            return False
        if known is not None:
            self.digest ^= _hash_endpoint(endpoint, known)
        self.digest ^= _hash_endpoint(endpoint, at)
        self.endpoints[endpoint] = at
        return True

    def forget_endpoints(self, wall: float) -> None:
        """Forget the endpoints that left long ago."""
        oldest = wall - ENDPOINT_MEMORY_SECONDS
        for endpoint, at in list(self.endpoints.items()):
            if at <= oldest:
                self.digest ^= _hash_endpoint(endpoint, at)
                del self.endpoints[endpoint]


def _hash_member(member: Member) -> int:
    # Suspects and the dead count as never known: a suspicion turns into death by
    # itself, and nodes come to that at slightly different times.
    if member.state >= State.SUSPECT:
        return 0
    return _hash(f"member {member.node} {member.incarnation}")


def _hash_endpoint(endpoint: str, at: float) -> int:
    return _hash(f"endpoint {endpoint} {at!r}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
