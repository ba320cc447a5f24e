"""Measures who should know what began a stream when another node takes it up.

Run it with ``python -m bench.streamorigins``. Only the decisions are simulated: nodes
begin streams, die, restart and lose datagrams, and callers take streams up elsewhere.
"""

from __future__ import annotations

import abc
import random
from dataclasses import dataclass, field

import msgspec

from celerytrail.nodes.gossip import DATAGRAM_HEADER_BYTES
from celerytrail.policies.rendezvous import rank
from celerytrail.policies.streamorigins import StreamOrigin, StreamOrigins, stream_key
from celerytrail.relay.updatemessages import NodeUpdate, OriginEntry

SECONDS = 30.0
WARM_UP_SECONDS = 8.0
STREAMS_PER_SECOND = 40.0
STREAM_SECONDS = 3.0
PATIENCE_SECONDS = 15.0
BREAK_SHARE = 0.2
# Time until the others know that a node died, in seconds.
NOTICE_SECONDS = 1.0
# A question to one node and its answer: heads, signature and bodies, in bytes.
ASK_BYTES = 640
ORIGIN = StreamOrigin(service="assistente-llm", version="v1.2")
ENTRY = OriginEntry(
    key=bytes(12), service=ORIGIN.service, version=ORIGIN.version, seconds=39.0
)
NODE_NAME = "edge-recife-a-2-31cda185"


@dataclass(kw_only=True)
class Fleet:
    """The nodes of one run: which are up, and what each knows."""

    n_nodes: int
    rng: random.Random
    loss_rate: float = 0.0
    down: set[int] = field(default_factory=set)
    # By node, when it died, and whether it is cut off from the others.
    died_at: dict[int, float] = field(default_factory=dict)
    cut_off: set[int] = field(default_factory=set)
    known: list[StreamOrigins] = field(default_factory=list)
    n_bytes: int = 0

    def __post_init__(self) -> None:
        self.known = [StreamOrigins() for _ in range(self.n_nodes)]

    def restart(self, node: int) -> None:
        """Let a node lose what it knows."""
        self.known[node] = StreamOrigins()

    def reaches(self, sender: int, receiver: int) -> bool:
        """Return whether one node's messages reach another one."""
        is_cut = sender != receiver and bool({sender, receiver} & self.cut_off)
        return receiver not in self.down and not is_cut

    def counted(self, now: float) -> list[str]:
        """Return the nodes that count as running, those just dead included."""
        return [
            str(node)
            for node in range(self.n_nodes)
            if node not in self.down or now < self.died_at[node] + NOTICE_SECONDS
        ]


class Way(abc.ABC):
    """Where origins are held; all times are in seconds."""

    @abc.abstractmethod
    def tell(self, fleet: Fleet, node: int, key: bytes, now: float) -> None:
        """Record a stream's origin at its first event."""

    @abc.abstractmethod
    def asked(self, fleet: Fleet, key: bytes, now: float) -> list[int]:
        """Return the nodes that are asked at a take-up."""

    def find(self, fleet: Fleet, node: int, key: bytes, now: float) -> bool:
        """Return whether a node finds a stream's origin."""
        if fleet.known[node].find(key, now) is not None:
            return True
        others = [other for other in self.asked(fleet, key, now) if other != node]
        fleet.n_bytes += ASK_BYTES * len(others)
        return any(
            fleet.reaches(node, other)
            and fleet.reaches(other, node)
            and fleet.known[other].find(key, now) is not None
            for other in others
        )


class Owners(Way):
    """Held by a few nodes that are chosen by the stream's key."""

    def __init__(self, n_owners: int) -> None:
        self._n_owners = n_owners

    def tell(self, fleet: Fleet, node: int, key: bytes, now: float) -> None:
        """Record a stream's origin at its first event."""
        update = NodeUpdate(node=NODE_NAME, origins=[ENTRY])
        n_bytes = len(msgspec.msgpack.encode(update)) + DATAGRAM_HEADER_BYTES
        for owner in self.asked(fleet, key, now):
            if owner != node:
                fleet.n_bytes += n_bytes
                if fleet.rng.random() < fleet.loss_rate:
                    continue
            if fleet.reaches(node, owner):
                fleet.known[owner].record(key, ORIGIN, now + PATIENCE_SECONDS)

    def asked(self, fleet: Fleet, key: bytes, now: float) -> list[int]:
        """Return the nodes that are asked at a take-up."""
        ranked = rank(f"stream {key.hex()}", fleet.counted(now))
        return [int(name) for name in ranked[: self._n_owners]]


class Everyone(Way):
    """Announced to all with the datagram that says that the prefill has ended."""

    def tell(self, fleet: Fleet, node: int, key: bytes, now: float) -> None:
        """Record a stream's origin at its first event."""
        n_bytes = len(msgspec.msgpack.encode(ENTRY))
        for other in range(fleet.n_nodes):
            if other != node:
                fleet.n_bytes += n_bytes
                if fleet.rng.random() < fleet.loss_rate:
                    continue
            if fleet.reaches(node, other):
                fleet.known[other].record(key, ORIGIN, now + PATIENCE_SECONDS)

    def asked(self, fleet: Fleet, key: bytes, now: float) -> list[int]:
        """Return the nodes that are asked at a take-up."""
        return []


class EveryoneThenThree(Everyone):
    """Announced to all; three nodes are asked where that isn't enough."""

    def asked(self, fleet: Fleet, key: bytes, now: float) -> list[int]:
        """Return the nodes that are asked at a take-up."""
        names = fleet.counted(now)
        return [int(name) for name in fleet.rng.sample(names, min(3, len(names)))]


class AskedOnly(Way):
    """Known to the node that relays it; all are asked at a take-up."""

    def tell(self, fleet: Fleet, node: int, key: bytes, now: float) -> None:
        """Record a stream's origin at its first event."""

    def asked(self, fleet: Fleet, key: bytes, now: float) -> list[int]:
        """Return the nodes that are asked at a take-up."""
        return [int(name) for name in fleet.counted(now)]


CASES = ("quiet", "losses", "five twelfths die", "restarts", "all restart", "cut off")
WAYS = {
    "asked of all": lambda: AskedOnly(),
    "1 owner": lambda: Owners(1),
    "2 owners": lambda: Owners(2),
    "3 owners": lambda: Owners(3),
    "all": lambda: Everyone(),
    "all, ask 3": lambda: EveryoneThenThree(),
}


@dataclass(frozen=True, kw_only=True)
class WayResult:
    """Results of one way: takes-up found, bytes a node and second, most records."""

    found_share: float
    bytes_per_second: float
    n_records: int


def simulate(case: str, way: Way, n_nodes: int, seed: int) -> WayResult:
    """Simulate one case with one way."""
    rng = random.Random(f"{case}:{n_nodes}:{seed}")
    fleet = Fleet(n_nodes=n_nodes, rng=rng)
    fleet.loss_rate = 0.05 if case == "losses" else 0.0
    events: list[tuple[float, int, str, int, bytes]] = []
    at = 0.0
    number = 0
    while at < SECONDS:
        at += rng.expovariate(STREAMS_PER_SECOND)
        number += 1
        key = stream_key("org", str(number))
        node = rng.randrange(n_nodes)
        ends_at = at + rng.expovariate(1 / STREAM_SECONDS)
        events.append((at, number, "begin", node, key))
        if rng.random() < BREAK_SHARE:
            ends_at = rng.uniform(at, ends_at)
            events.append((ends_at + 0.2, number, "take up", -1, key))
        else:
            events.append((ends_at, number, "end", node, key))
    for index, node in enumerate(range(5 * n_nodes // 12)):
        if case == "five twelfths die":
            events.append((WARM_UP_SECONDS + 4.0, index, "die", node, b""))
        if case == "cut off":
            events.append((WARM_UP_SECONDS, index, "cut", node, b""))
    for node in range(n_nodes):
        if case == "restarts":
            restart_at = WARM_UP_SECONDS + 14.0 * node / n_nodes
            events.append((restart_at, node, "restart", node, b""))
        if case == "all restart":
            events.append((WARM_UP_SECONDS + 4.0, node, "restart", node, b""))
    return _play(fleet, way, sorted(events), rng)


def _play(
    fleet: Fleet,
    way: Way,
    events: list[tuple[float, int, str, int, bytes]],
    rng: random.Random,
) -> WayResult:
    relayed: dict[bytes, int] = {}
    n_taken_up = n_found = n_records = 0

    def take_up(key: bytes, now: float) -> None:
        nonlocal n_taken_up, n_found
        places = [
            node
            for node in range(fleet.n_nodes)
            if node not in fleet.down and node not in fleet.cut_off
        ]
        found = way.find(fleet, rng.choice(places), key, now)
        if now > WARM_UP_SECONDS:
            n_taken_up += 1
            n_found += found

    for now, _, what, node, key in events:
        match what:
            case "begin" if node not in fleet.down:
                relayed[key] = node
                fleet.known[node].record(key, ORIGIN, now + PATIENCE_SECONDS)
                way.tell(fleet, node, key, now)
            case "end":
                relayed.pop(key, None)
            case "take up" if relayed.pop(key, None) is not None:
                take_up(key, now)
            case "cut":
                fleet.cut_off.add(node)
            case "die" | "restart":
                cut = [key for key, place in relayed.items() if place == node]
                fleet.restart(node)
                if what == "die":
                    fleet.down.add(node)
                    fleet.died_at[node] = now
                for one in cut:
                    del relayed[one]
                    take_up(one, now + 0.2)
        if what == "begin":
            n_records = max(n_records, len(fleet.known[0]))
            fleet.known[0].expire(now)
    return WayResult(
        found_share=n_found / max(1, n_taken_up),
        bytes_per_second=fleet.n_bytes / SECONDS / fleet.n_nodes,
        n_records=n_records,
    )


def main() -> None:
    """Print a table of all ways: found, bytes a node and second, most records."""
    print("| case | nodes | " + " | ".join(WAYS) + " |")
    print("| --- " * (2 + len(WAYS)) + "|")
    for case in CASES:
        for n_nodes in (12, 119, 330):
            cells = []
            for make in WAYS.values():
                found = [simulate(case, make(), n_nodes, seed) for seed in (1, 2, 3)]
                share = sum(one.found_share for one in found) / len(found)
                rate = sum(one.bytes_per_second for one in found) / len(found)
                n_records = max(one.n_records for one in found)
                cells.append(f"{share:.2f}, {rate:.0f}, {n_records}")
            print(f"| {case} | {n_nodes} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
