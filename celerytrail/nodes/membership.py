"""Membership by SWIM-style probing with piggybacked updates; does no I/O.

The owner calls `Membership.step` with the time, passes in received datagrams, sends
what `take_outgoing` returns and handles what `take_events` returns.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. A. Dadgar, J. Phillips, J. Currey,
"Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace

from result import Err

from ..types import Address
from .events import Event, ExchangeNeeded, Outgoing, Paused
from .member import Member, State
from .membershipstate import MembershipState
from .mismatches import DigestMismatches
from .probes import IndirectPing, Ping, ProbeFailed, Probes
from .relays import RELAY_TIMEOUT_SECONDS, RelayedPing, RelayedPings
from .rings import ProbeRings
from .table import ENDPOINT_RETENTION_SECONDS
from .timing import Timing
from .wire import (
    Datagram,
    EndpointUpdate,
    Kind,
    Update,
    VersionUpdate,
    decode_update,
    record_of,
    to_local_time,
)

# Space for updates beside the largest possible header in a datagram of 1,200 bytes.
MAX_UPDATES_BYTES = 800
FANOUT = 2
N_RELAYS = 3
# Recent updates that are resent at a time; this many always fit into one datagram.
N_RESENT_UPDATES = 3
# After a longer pause of this process, others may have begun to suspect it, so it
# announces a new incarnation at once.
MAX_UNNOTICED_PAUSE_SECONDS = 0.5


class Membership:
    """Holds one node's view of all nodes and produces its datagrams and events.

    Parameters
    ----------
    me : Member
        This node; its incarnation must be new at each start.
    timing : Timing
        Periods and bounds.
    rng : random.Random
        Draws targets and jitter.
    now, wall : float
        Monotonic and wall time of the start.
    """

    def __init__(
        self,
        *,
        me: Member,
        timing: Timing,
        rng: random.Random,
        now: float,
        wall: float,
    ) -> None:
        self._timing = timing
        self._rng = rng
        self._state = MembershipState(
            me=me,
            suspicion_seconds=timing.suspicion_seconds,
            dead_retention_seconds=timing.dead_retention_seconds,
            recent_seconds=timing.recent_seconds,
        )
        self._table = self._state.table
        self._rings = ProbeRings(node=me.node)
        self._probes = Probes(timing=timing, rng=rng)
        self._outgoing: list[Outgoing] = []
        self._candidates: frozenset[Address] = frozenset()
        self._relays = RelayedPings()
        self._mismatches = DigestMismatches()
        self._wall = wall
        self._last_step_at = now
        self._next_contact_at = now
        self._next_exchange_at = now

    # State and output for the owner.

    @property
    def me(self) -> Member:
        """Return this node as it announces itself."""
        me, version = self._table.me, self._state.in_force.version
        return me if me.version == version else replace(me, version=version)

    def members(self) -> tuple[Member, ...]:
        """Return all members in the table, dead ones included; this node first."""
        return (self.me, *self._table.others.values())

    @property
    def newest(self) -> VersionUpdate:
        """Return the newest configuration version that any node announced."""
        return self._state.newest

    @property
    def digest(self) -> int:
        """Return the hash of all live members and leaving endpoints."""
        return self._table.digest

    @property
    def endpoints(self) -> dict[str, float]:
        """Return the leaving endpoints and when each leaves, in wall seconds."""
        endpoints = self._table.endpoints.items()
        return {endpoint: leaving.at for endpoint, leaving in endpoints}

    def take_outgoing(self) -> list[Outgoing]:
        """Return the datagrams to send, and clear the list."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[Event]:
        """Return the events since the last call, and clear the list."""
        events, self._state.events = self._state.events, []
        return events

    def snapshot(self) -> list[Update]:
        """Return the full state, for an anti-entropy exchange."""
        return self._state.snapshot()

    # Input from the owner.

    def set_candidates(self, addresses: Sequence[Address]) -> None:
        """Set addresses where nodes may be: seeds and the platform's VM list."""
        self._candidates = frozenset(addresses)

    def announce_version(self, version: int, root: str) -> None:
        """Announce that this node has a configuration version in force."""
        self._state.announce_version(version, root)

    def announce_leaving(
        self, endpoint: str, at: float, now: float, wall: float
    ) -> None:
        """Announce that an endpoint leaves at ``at``, wall seconds."""
        # A time long past is announced as the current time: the other nodes would
        # drop the update as older than their retention of leaving endpoints.
        since = at if at > wall - ENDPOINT_RETENTION_SECONDS / 2 else wall
        update = EndpointUpdate(endpoint, since)
        self._state.apply(update, self._table.me.node, now, wall)

    def leave(self) -> None:
        """Announce that this node is leaving."""
        self._state.announce_self(self._table.me.incarnation + 1, State.LEAVING)

    def set_serving(self, is_serving: bool) -> None:
        """Announce whether this node accepts work at present."""
        state = State.ALIVE if is_serving else State.LEAVING
        if self._table.me.state is not state:
            self._state.announce_self(self._table.me.incarnation + 1, state)

    def depart(self) -> None:
        """Announce this node's own death, as its last update."""
        me = replace(self._table.me, state=State.DEAD)
        self._table.put(me)
        self._state.queue.put(("member", me.node), record_of(me))
        for _ in range(N_RELAYS):
            self._gossip()

    # Time.

    def step(self, now: float, wall: float) -> None:
        """Do what is due at ``now``; to be called every ``tick_seconds``."""
        self._wall = wall
        late_seconds = now - self._last_step_at - self._timing.tick_seconds
        self._last_step_at = now
        if late_seconds > self._timing.tick_seconds:
            self._compensate_pause(late_seconds)
        self._state.expire(now)
        self._relays.expire(now)
        if self._state.has_changed:
            self._state.has_changed = False
            self._mismatches.keep(self._table.others)
            self._probes.set_targets(
                self._rings.probe_targets(self._table.others.values()), now
            )
        for action in self._probes.step(now):
            match action:
                case Ping(target=target, sequence=sequence):
                    self._ping(target, sequence)
                case IndirectPing(target=target, sequence=sequence):
                    self._request_indirect_pings(target, sequence)
                case ProbeFailed(target=target):
                    self._state.suspect(target, now)
        if now >= self._next_contact_at:
            self._next_contact_at = now + self._timing.contact_seconds
            self._contact()
        if len(self._state.queue):
            self._gossip()

    def _compensate_pause(self, seconds: float) -> None:
        """Postpone the deadlines of probes and suspicions by a pause of this process.

        When a frozen process resumes, all its probes have timed out and all its
        suspicions have expired. Without the shift it would declare about half of the
        nodes dead and announce that to the others. In its log this shows as a burst of
        suspicions right after a pause.
        """
        self._probes.postpone(seconds)
        self._state.postpone_suspicions(seconds)
        if seconds > MAX_UNNOTICED_PAUSE_SECONDS:
            self._state.events.append(Paused(seconds=seconds))
            self._state.announce_self(
                self._table.me.incarnation + 1, self._table.me.state
            )

    # Sending.

    def _send(
        self,
        address: Address,
        kind: Kind,
        to: str = "",
        *,
        sequence: int = 0,
        target: str = "",
        direct: Sequence[Update] = (),
    ) -> None:
        items = self._state.queue.pack(direct, MAX_UPDATES_BYTES, self._table.n_live)
        receiver = self._table.others.get(to)
        datagram = Datagram(
            kind=kind,
            sender=self._table.me.node,
            incarnation=self._table.me.incarnation,
            sequence=sequence,
            digest=self._table.digest,
            sent_at=self._wall,
            in_force=self._state.in_force.version,
            newest=self._state.newest.version,
            receiver_incarnation=receiver.incarnation if receiver else 0,
            receiver_state=receiver.state if receiver else State.ALIVE,
            target=target,
            items=items,
        )
        self._outgoing.append(Outgoing(address=address, datagram=datagram))

    def _ping(self, target: str, sequence: int) -> None:
        member = self._table.others.get(target)
        if member is not None:
            self._send(member.peer, Kind.PING, target, sequence=sequence)

    def _request_indirect_pings(self, target: str, sequence: int) -> None:
        for relay in self._sample(N_RELAYS, excluded=target):
            self._send(
                relay.peer,
                Kind.PING_REQUEST,
                relay.node,
                sequence=sequence,
                target=target,
            )

    def _gossip(self) -> None:
        for member in self._sample(FANOUT):
            if len(self._state.queue):
                self._send(member.peer, Kind.UPDATE, member.node)

    def _contact(self) -> None:
        """Ping one node that is dead or unknown.

        After a partition between regions each side considers the other dead. Without
        occasional pings to dead members the two halves would never merge. The same
        pings join groups of nodes that started with different seeds.
        """
        choices = self._table.contact_targets(self._candidates)
        if not choices:
            return
        address, node = self._rng.choice(choices)
        sequence = self._probes.new_sequence()
        me = record_of(self._table.me)
        self._send(address, Kind.PING, node, sequence=sequence, direct=[me])

    def _sample(self, n_members: int, excluded: str = "") -> list[Member]:
        choices = [
            member
            for member in self._table.others.values()
            if member.state <= State.LEAVING and member.node != excluded
        ]
        return self._rng.sample(choices, min(n_members, len(choices)))

    # Receiving.

    def apply(
        self, update: Update, sender: str, now: float, wall: float, sent_at: float
    ) -> None:
        """Apply an update that ``sender`` sent at ``sent_at`` on its wall clock."""
        self._state.apply(to_local_time(update, wall - sent_at), sender, now, wall)

    def receive(
        self, datagram: Datagram, source: Address, now: float, wall: float
    ) -> None:
        """Process a datagram whose peer signature has been verified."""
        self._wall = wall
        sender = datagram.sender
        if sender == self._table.me.node:
            self._state.reject(
                sender, "own_name", "another process has this node's name"
            )
            return
        for raw in datagram.items:
            update = decode_update(raw)
            if isinstance(update, Err):
                self._state.reject(sender, "item", update.err_value)
                continue
            self.apply(update.ok_value, sender, now, wall, datagram.sent_at)
        direct = self._corrections(datagram)
        direct += self._process_header(datagram, now)
        match datagram.kind:
            case Kind.PING:
                self._send(
                    source, Kind.ACK, sender, sequence=datagram.sequence, direct=direct
                )
                return
            case Kind.PING_REQUEST:
                self._relay_ping(datagram, source, now)
            case Kind.ACK:
                self._on_ack(datagram, now)
            case Kind.UPDATE:
                pass
        if direct:
            self._send(source, Kind.UPDATE, sender, direct=direct)

    def _process_header(self, datagram: Datagram, now: float) -> list[Update]:
        known = self._table.others.get(datagram.sender)
        if known is None or datagram.incarnation < known.incarnation:
            return []
        self._probes.record_contact(datagram.sender)
        self._table.set_version(datagram.sender, datagram.in_force)
        return self._repair_mismatch(datagram, known, now)

    def _corrections(self, datagram: Datagram) -> list[Update]:
        """Return updates that the sender lacks, judging by its header."""
        corrections: list[Update] = []
        if datagram.kind in (Kind.PING, Kind.ACK) and not datagram.target:
            is_suspected = datagram.receiver_state >= State.SUSPECT
            if (
                is_suspected
                and datagram.receiver_incarnation >= self._table.me.incarnation
            ):
                self._state.announce_self(
                    datagram.receiver_incarnation + 1, self._table.me.state
                )
            if datagram.receiver_incarnation < self._table.me.incarnation:
                corrections.append(record_of(self._table.me))
        if datagram.newest < self._state.newest.version:
            corrections.append(self._state.newest)
        return corrections

    def _relay_ping(self, datagram: Datagram, source: Address, now: float) -> None:
        target = self._table.others.get(datagram.target)
        if target is None or self._relays.is_full:
            return
        sequence = self._probes.new_sequence()
        relayed = RelayedPing(
            address=source,
            node=datagram.sender,
            sequence=datagram.sequence,
            forget_at=now + RELAY_TIMEOUT_SECONDS,
        )
        self._relays.put(sequence, relayed)
        self._send(target.peer, Kind.PING, target.node, sequence=sequence)

    def _on_ack(self, datagram: Datagram, now: float) -> None:
        if datagram.target:
            # A relayed acknowledgement counts like a direct answer of the target.
            self._probes.record_contact(datagram.target)
            return
        relayed = self._relays.take(datagram.sequence)
        if relayed is not None:
            self._send(
                relayed.address,
                Kind.ACK,
                relayed.node,
                sequence=relayed.sequence,
                target=datagram.sender,
            )

    def _repair_mismatch(
        self, datagram: Datagram, sender: Member, now: float
    ) -> list[Update]:
        """Repair the difference from a peer whose digest has differed for a while.

        Usually one of the two missed a single update, so recent updates are resent
        first. If the digests still differ, the two exchange their full states.
        """
        mismatch_seconds = self._mismatches.record(
            sender.node, self._table.digest, datagram.digest, now
        )
        if mismatch_seconds < self._timing.resend_recent_after_seconds:
            return []
        if (
            mismatch_seconds >= self._timing.exchange_after_seconds
            and now >= self._next_exchange_at
        ):
            self._mismatches.forget(sender.node)
            self._next_exchange_at = now + self._timing.exchange_interval_seconds
            self._state.events.append(ExchangeNeeded(peer=sender.peer))
        return self._state.recent_updates(N_RESENT_UPDATES)
