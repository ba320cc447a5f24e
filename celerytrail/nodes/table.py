"""All members and leaving endpoints that a node knows, and which claim wins."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

from ..types import Address
from .member import Member, State

# An endpoint is remembered as leaving this long after it left, in seconds: long enough
# for the VM list and its own reports to have dropped it.
ENDPOINT_MEMORY_SECONDS = 600.0
# Times further ahead than this are a peer's mistake, in seconds.
MAX_AHEAD_SECONDS = 7 * 86_400.0
# Times of one endpoint's leaving that differ by more are two leavings, in seconds.
SAME_LEAVING_SECONDS = 120.0
MAX_ENDPOINTS = 10_000
MAX_MEMBERS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Leaving:
    at: float
    forget_at: float


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
        self.endpoints: dict[str, _Leaving] = {}
        self.digest = _hash_member(me)
        # Asked for at each datagram.
        self._n_live_others = 0

    @property
    def n_live(self) -> int:
        """Return how many members are not dead, this node included."""
        return 1 + self._n_live_others

    def put(self, member: Member) -> None:
        """Set a member, keeping the digest in step."""
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
        """Forget a member."""
        former = self.others.pop(node)
        self.digest ^= _hash_member(former)
        self._n_live_others -= former.state is not State.DEAD

    def is_news(self, node: str, incarnation: int, state: State) -> bool:
        """Return whether a claim goes before what is known of the member."""
        known = self.others.get(node)
        if known is None:
            return len(self.others) < MAX_MEMBERS
        return (incarnation, state) > (known.incarnation, known.state)

    def contacts(self, candidates: frozenset[Address]) -> list[tuple[Address, str]]:
        """Return the dead, and the candidates that are nobody's address, unnamed."""
        others = self.others.values()
        dead = [member for member in others if member.state is State.DEAD]
        choices = [(member.peer, member.node) for member in dead]
        known = {self.me.peer, *(member.peer for member in others)}
        choices += [(address, "") for address in sorted(candidates - known)]
        return choices

    def set_version(self, node: str, version: int) -> None:
        """Note the version that a member itself said it has in force."""
        member = self.others.get(node)
        if member is not None and member.version != version:
            self.others[node] = replace(member, version=version)

    def put_endpoint(self, endpoint: str, at: float, now: float, wall: float) -> bool:
        """Note that an endpoint leaves; of one leaving the earliest time wins.

        How long it is remembered is reckoned once, on the monotonic clock: a wall
        clock that jumps later on must not make this node forget who is leaving.

        Returns
        -------
        bool
            Whether it was news.
        """
        known = self.endpoints.get(endpoint)
        if known is not None and not _goes_before(at, known.at):
            return False
        if known is None and len(self.endpoints) >= MAX_ENDPOINTS:
            return False
        if not wall - ENDPOINT_MEMORY_SECONDS < at < wall + MAX_AHEAD_SECONDS:
            return False
        if known is None:
            self.digest ^= _hash(f"endpoint {endpoint}")
        forget_at = now + ENDPOINT_MEMORY_SECONDS + (at - wall)
        self.endpoints[endpoint] = _Leaving(at=at, forget_at=forget_at)
        return True

    def forget_endpoints(self, now: float) -> None:
        """Forget the endpoints that left long ago."""
        for endpoint, leaving in list(self.endpoints.items()):
            if now >= leaving.forget_at:
                self.digest ^= _hash(f"endpoint {endpoint}")
                del self.endpoints[endpoint]


def _goes_before(at: float, known: float) -> bool:
    # Sources tell of one leaving at different times, and the earliest of them counts.
    # Times far apart are two leavings under one name, as when a VM was replaced and
    # its successor goes as well; were the first kept, nobody would hear of the second.
    if abs(at - known) > SAME_LEAVING_SECONDS:
        return at > known
    return at < known


def _hash_member(member: Member) -> int:
    # Suspects and the dead count as never known: a suspicion turns into death by
    # itself, and nodes come to that at slightly different times.
    if member.state >= State.SUSPECT:
        return 0
    return _hash(f"member {member.node} {member.incarnation}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
