"""Membership by SWIM-style probing with piggybacked news; no I/O.

The owner steps it with the time, hands it what arrives, and sends and tells on what it
leaves in `take_outgoing` and `take_events`.

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

import msgspec

from ..types import Address
from .events import Event, ExchangeWanted, Outgoing, Paused
from .knowledge import Knowledge
from .member import Member, State
from .mismatches import Mismatches
from .probes import AskOthers, Failed, Ping, Probes
from .relays import RELAY_SECONDS, Relayed, Relays
from .rings import Rings
from .table import ENDPOINT_MEMORY_SECONDS
from .timing import Timing
from .wire import (
    Datagram,
    EndpointNews,
    Item,
    Kind,
    VersionNews,
    decode_item,
    in_own_time,
    record_of,
)

# Room for news beside the largest possible head in a datagram of 1,200 bytes.
NEWS_BYTES = 800
FANOUT = 2
N_RELAYS = 3
# As many items of recent news as surely fit beside the rest in one datagram.
N_REPEATED = 3
# Beyond this lateness of its own timer, in seconds, a node takes it that others have
# begun to suspect it, and says at once that it lives.
LATE_SECONDS = 0.5


class Membership:
    """What one node knows of all nodes.

    Parameters
    ----------
    me : Member
        This node; its incarnation must be new at each start.
    timing : Timing
        Periods and bounds.
    rng : random.Random
        For targets and spread.
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
        self._known = Knowledge(
            me=me,
            suspicion_seconds=timing.suspicion_seconds,
            dead_seconds=timing.dead_seconds,
            recent_seconds=timing.recent_seconds,
        )
        self._table = self._known.table
        self._rings = Rings(node=me.node)
        self._probes = Probes(timing=timing, rng=rng)
        self._outgoing: list[Outgoing] = []
        self._candidates: frozenset[Address] = frozenset()
        self._relays = Relays()
        self._mismatches = Mismatches()
        self._wall = wall
        self._step_at = now
        self._contact_at = now
        self._exchange_at = now

    # What the owner reads.

    @property
    def me(self) -> Member:
        """Return this node as it states itself."""
        me, version = self._table.me, self._known.in_force.version
        return me if me.version == version else replace(me, version=version)

    def members(self) -> tuple[Member, ...]:
        """Return all members that are not forgotten, this node first."""
        return (self.me, *self._table.others.values())

    @property
    def newest(self) -> VersionNews:
        """Return the newest configuration version heard of."""
        return self._known.newest

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
        """Return the datagrams to send, and forget them."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[Event]:
        """Return what happened, and forget it."""
        events, self._known.events = self._known.events, []
        return events

    def items(self) -> list[Item]:
        """Return all that this node knows, for a whole exchange of states."""
        return self._known.items()

    # What the owner tells.

    def set_candidates(self, addresses: Sequence[Address]) -> None:
        """Set addresses where nodes may be: seeds and the platform's VM list."""
        self._candidates = frozenset(addresses)

    def announce_version(self, version: int, root: str) -> None:
        """Tell all that this node has a configuration version in force."""
        self._known.announce_version(version, root)

    def announce_leaving(
        self, endpoint: str, at: float, now: float, wall: float
    ) -> None:
        """Tell all that an endpoint leaves at ``at``, wall seconds."""
        # What left long ago by its source's word is told as of now, or the others
        # would take it for news that they have forgotten already.
        since = at if at > wall - ENDPOINT_MEMORY_SECONDS / 2 else wall
        news = EndpointNews(endpoint, since)
        self._known.apply(news, self._table.me.node, now, wall)

    def leave(self) -> None:
        """Tell all that this node leaves."""
        self._known.restate(self._table.me.incarnation + 1, State.LEAVING)

    def set_serving(self, is_serving: bool) -> None:
        """Tell all whether work may be sent to this node at this time."""
        state = State.ALIVE if is_serving else State.LEAVING
        if self._table.me.state is not state:
            self._known.restate(self._table.me.incarnation + 1, state)

    def depart(self) -> None:
        """Tell all, as the last thing, that this node is gone."""
        me = replace(self._table.me, state=State.DEAD)
        self._table.put(me)
        self._known.news.put(("member", me.node), record_of(me))
        for _ in range(N_RELAYS):
            self._spread()

    # Time.

    def step(self, now: float, wall: float) -> None:
        """Do what is due at ``now``; to be called every ``tick_seconds``."""
        self._wall = wall
        late = now - self._step_at - self._timing.tick_seconds
        self._step_at = now
        if late > self._timing.tick_seconds:
            self._forgive(late)
        self._known.expire(now)
        self._relays.forget(now)
        if self._known.has_changed:
            self._known.has_changed = False
            self._mismatches.keep(self._table.others)
            self._probes.watch(self._rings.watched(self._table.others.values()), now)
        for action in self._probes.step(now):
            match action:
                case Ping(target=target, sequence=sequence):
                    self._ping(target, sequence)
                case AskOthers(target=target, sequence=sequence):
                    self._ask_others(target, sequence)
                case Failed(target=target):
                    self._known.suspect(target, now)
        if now >= self._contact_at:
            self._contact_at = now + self._timing.contact_seconds
            self._contact()
        if len(self._known.news):
            self._spread()

    def _forgive(self, late: float) -> None:
        """Count time in which this process stood still against nobody else.

        A frozen process finds on its thawing that all its probes have timed out and
        all its suspicions have run out. Were they believed, it would declare half the
        nodes dead and tell the others so; one would see it in its log as a burst of
        suspicions right after a pause.
        """
        self._probes.forgive(late)
        self._known.forgive(late)
        if late > LATE_SECONDS:
            self._known.events.append(Paused(seconds=late))
            self._known.restate(self._table.me.incarnation + 1, self._table.me.state)

    # Sending.

    def _send(
        self,
        address: Address,
        kind: Kind,
        to: str = "",
        *,
        sequence: int = 0,
        target: str = "",
        first: Sequence[Item] = (),
    ) -> None:
        items = self._known.news.pack(first, NEWS_BYTES, self._table.n_live)
        known = self._table.others.get(to)
        datagram = Datagram(
            kind=kind,
            sender=self._table.me.node,
            incarnation=self._table.me.incarnation,
            sequence=sequence,
            digest=self._table.digest,
            sent_at=self._wall,
            in_force=self._known.in_force.version,
            newest=self._known.newest.version,
            your_incarnation=known.incarnation if known else 0,
            your_state=known.state if known else State.ALIVE,
            target=target,
            items=items,
        )
        self._outgoing.append(Outgoing(address=address, datagram=datagram))

    def _ping(self, target: str, sequence: int) -> None:
        member = self._table.others.get(target)
        if member is not None:
            self._send(member.peer, Kind.PING, target, sequence=sequence)

    def _ask_others(self, target: str, sequence: int) -> None:
        for relay in self._sample(N_RELAYS, excluded=target):
            self._send(
                relay.peer,
                Kind.PING_REQUEST,
                relay.node,
                sequence=sequence,
                target=target,
            )

    def _spread(self) -> None:
        for member in self._sample(FANOUT):
            if len(self._known.news):
                self._send(member.peer, Kind.NEWS, member.node)

    def _contact(self) -> None:
        """Try one node that is dead or not known yet.

        After a cut between regions both sides hold the other dead. Nobody would ever
        speak to the other side again, and the system would stay in two halves, if the
        dead were not tried at a low rate. The same way nodes that started with
        different seeds find one another.
        """
        choices = self._table.contacts(self._candidates)
        if not choices:
            return
        address, node = self._rng.choice(choices)
        sequence = self._probes.new_sequence()
        me = record_of(self._table.me)
        self._send(address, Kind.PING, node, sequence=sequence, first=[me])

    def _sample(self, n_members: int, excluded: str = "") -> list[Member]:
        choices = [
            member
            for member in self._table.others.values()
            if member.state <= State.LEAVING and member.node != excluded
        ]
        return self._rng.sample(choices, min(n_members, len(choices)))

    # Receiving.

    def apply(
        self, item: Item, sender: str, now: float, wall: float, sent_at: float
    ) -> None:
        """Take in one item that ``sender`` sent at ``sent_at`` on its wall clock."""
        self._known.apply(in_own_time(item, wall - sent_at), sender, now, wall)

    def receive(
        self, datagram: Datagram, source: Address, now: float, wall: float
    ) -> None:
        """Take in a datagram that a peer's key signed."""
        self._wall = wall
        sender = datagram.sender
        if sender == self._table.me.node:
            self._known.bad(sender, "own_name", "another process has this node's name")
            return
        for raw in datagram.items:
            try:
                item = decode_item(raw)
            except msgspec.DecodeError as exc:
                self._known.bad(sender, "item", str(exc))
                continue
            self.apply(item, sender, now, wall, datagram.sent_at)
        first = self._answers(datagram)
        first += self._hear(datagram, now)
        match datagram.kind:
            case Kind.PING:
                self._send(
                    source, Kind.ACK, sender, sequence=datagram.sequence, first=first
                )
                return
            case Kind.PING_REQUEST:
                self._relay(datagram, source, now)
            case Kind.ACK:
                self._acknowledged(datagram, now)
            case Kind.NEWS:
                pass
        if first:
            self._send(source, Kind.NEWS, sender, first=first)

    def _hear(self, datagram: Datagram, now: float) -> list[Item]:
        known = self._table.others.get(datagram.sender)
        if known is None or datagram.incarnation < known.incarnation:
            return []
        self._probes.hear(datagram.sender)
        self._table.set_version(datagram.sender, datagram.in_force)
        return self._compare(datagram, known, now)

    def _answers(self, datagram: Datagram) -> list[Item]:
        """Return what the sender has wrong or lacks, as far as its head shows."""
        answers: list[Item] = []
        if datagram.kind in (Kind.PING, Kind.ACK) and not datagram.target:
            is_wrong = datagram.your_state >= State.SUSPECT
            if is_wrong and datagram.your_incarnation >= self._table.me.incarnation:
                self._known.restate(datagram.your_incarnation + 1, self._table.me.state)
            if datagram.your_incarnation < self._table.me.incarnation:
                answers.append(record_of(self._table.me))
        if datagram.newest < self._known.newest.version:
            answers.append(self._known.newest)
        return answers

    def _relay(self, datagram: Datagram, source: Address, now: float) -> None:
        target = self._table.others.get(datagram.target)
        if target is None or self._relays.is_full:
            return
        sequence = self._probes.new_sequence()
        relayed = Relayed(
            address=source,
            node=datagram.sender,
            sequence=datagram.sequence,
            forget_at=now + RELAY_SECONDS,
        )
        self._relays.put(sequence, relayed)
        self._send(target.peer, Kind.PING, target.node, sequence=sequence)

    def _acknowledged(self, datagram: Datagram, now: float) -> None:
        if datagram.target:
            # A relay heard the target; that counts as if this node had.
            self._probes.hear(datagram.target)
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

    def _compare(self, datagram: Datagram, sender: Member, now: float) -> list[Item]:
        """Mend what news has left apart, once digests have differed for a while.

        Most often one of the two missed one item, so the recent ones are said again
        first; where that doesn't help, the two exchange all they know.
        """
        lasted = self._mismatches.lasted(
            sender.node, self._table.digest, datagram.digest, now
        )
        if lasted < self._timing.repeat_seconds:
            return []
        if lasted >= self._timing.mismatch_seconds and now >= self._exchange_at:
            self._mismatches.forget(sender.node)
            self._exchange_at = now + self._timing.exchange_seconds
            self._known.events.append(ExchangeWanted(peer=sender.peer))
        return self._known.recent_items(N_REPEATED)
