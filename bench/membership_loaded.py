"""Measures memory, time and bytes of one node whose table holds many members."""

from __future__ import annotations

import random
import time
import tracemalloc

from celerytrail.nodes.events import Outgoing
from celerytrail.nodes.gossip import DATAGRAM_HEADER_BYTES
from celerytrail.nodes.member import Member
from celerytrail.nodes.membership import Membership
from celerytrail.nodes.signing import PeerKeys
from celerytrail.nodes.timing import Timing
from celerytrail.nodes.wire import (
    Datagram,
    Kind,
    VersionUpdate,
    decode_datagram,
    encode_datagram,
    encode_update,
    record_of,
)
from celerytrail.types import Address

PERIOD_SECONDS = 60.0
KEYS = PeerKeys(keys=[b"bench"])


def member(number: int) -> Member:
    """Return a member with names of realistic length."""
    return Member(
        node=f"office-vm-{number:04d}-{number:08x}",
        incarnation=1_700_000_000_000 + number,
        caller=Address(host=f"10.1.{number // 250}.{number % 250}", port=7100),
        peer=Address(host=f"10.1.{number // 250}.{number % 250}", port=7101),
        vm=f"office-vm-{number:04d}",
        failure_domain=f"fd-{number % 15:02d}",
        region=f"region-{number % 6}",
    )


class LoadedNode:
    """Runs one node with many members whose responses are simulated."""

    def __init__(self, n_nodes: int) -> None:
        self.now = 0.0
        self.wall = 1_700_000_000.0
        self.n_bytes = 0
        self.elapsed_seconds = 0.0
        rng = random.Random(1)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        self.node = Membership(
            me=member(0), timing=Timing(), rng=rng, now=0.0, wall=self.wall
        )
        for number in range(1, n_nodes):
            record = record_of(member(number))
            self.node.apply(record, record.node, 0.0, self.wall, self.wall)
        self.n_memory_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        self.others = [member(number) for number in range(1, n_nodes)]
        self.by_address = {other.peer: other for other in self.others}
        self.run(20.0, 0.0)
        self.n_bytes = 0
        self.elapsed_seconds = 0.0

    def run(self, seconds: float, versions_per_second: float) -> None:
        """Simulate some seconds, with all acknowledgements and pings from others."""
        timing = Timing()
        version = int(self.now * 1000)
        next_update_at = self.now
        next_ping_at = self.now
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += timing.tick_seconds
            self.wall += timing.tick_seconds
            started = time.perf_counter()
            self.node.step(self.now, self.wall)
            self.elapsed_seconds += time.perf_counter() - started
            self._exchange_datagrams()
            if self.now >= next_ping_at:
                next_ping_at += timing.probe_seconds / 3
                self._receive(Kind.PING, self.others[0], 0, None)
            if versions_per_second and self.now >= next_update_at:
                next_update_at += 1.0 / versions_per_second
                version += 1
                self._receive(Kind.UPDATE, self.others[1], 0, version)
            self._exchange_datagrams()

    def _exchange_datagrams(self) -> None:
        for _ in range(5):
            started = time.perf_counter()
            outgoing = self.node.take_outgoing()
            self.node.take_events()
            sealed = [KEYS.seal(encode_datagram(out.datagram)) for out in outgoing]
            self.elapsed_seconds += time.perf_counter() - started
            self.n_bytes += sum(len(data) + DATAGRAM_HEADER_BYTES for data in sealed)
            for out in outgoing:
                self._acknowledge(out)
            if not outgoing:
                break

    def _acknowledge(self, out: Outgoing) -> None:
        if out.datagram.kind is Kind.PING:
            other = self.by_address[out.address]
            self._receive(Kind.ACK, other, out.datagram.sequence, None)

    def _receive(
        self, kind: Kind, sender: Member, sequence: int, version: int | None
    ) -> None:
        items = []
        newest = self.node.newest.version
        if version is not None:
            update = VersionUpdate(version, "r" * 64, sender.node)
            items.append(encode_update(update))
        data = KEYS.seal(
            encode_datagram(
                Datagram(
                    kind=kind,
                    sender=sender.node,
                    incarnation=sender.incarnation,
                    sequence=sequence,
                    digest=self.node.digest,
                    newest=newest,
                    sent_at=self.wall,
                    receiver_incarnation=self.node.me.incarnation,
                    items=items,
                )
            )
        )
        self.n_bytes += len(data) + DATAGRAM_HEADER_BYTES
        started = time.perf_counter()
        opened = KEYS.open(data)
        assert opened is not None
        datagram = decode_datagram(opened).unwrap()
        self.node.receive(datagram, sender.peer, self.now, self.wall)
        self.elapsed_seconds += time.perf_counter() - started


def measure_loaded(n_nodes: int) -> dict[str, float]:
    """Return the costs of one node in a group of ``n_nodes``."""
    loaded = LoadedNode(n_nodes)
    loaded.run(PERIOD_SECONDS, 0.0)
    quiet_bytes = loaded.n_bytes / PERIOD_SECONDS
    quiet_microseconds = 1e6 * loaded.elapsed_seconds / PERIOD_SECONDS
    loaded.n_bytes = 0
    loaded.elapsed_seconds = 0.0
    loaded.run(PERIOD_SECONDS, 1.0)
    return {
        "n_nodes": n_nodes,
        "memory_bytes": loaded.n_memory_bytes,
        "quiet_bytes_per_second": round(quiet_bytes, 1),
        "quiet_microseconds_per_second": round(quiet_microseconds, 1),
        "one_version_a_second_bytes_per_second": round(
            loaded.n_bytes / PERIOD_SECONDS, 1
        ),
        "one_version_a_second_microseconds_per_second": round(
            1e6 * loaded.elapsed_seconds / PERIOD_SECONDS, 1
        ),
    }
