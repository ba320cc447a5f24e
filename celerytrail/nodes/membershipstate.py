"""A node's membership state: members, configuration versions, leaving endpoints."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .events import EndpointLeaving, Event, MemberChanged, NewerVersion, UpdateRejected
from .member import Member, State
from .table import MemberTable
from .updatequeue import UpdateQueue
from .wire import (
    EndpointUpdate,
    MemberRecord,
    StateUpdate,
    Update,
    VersionUpdate,
    member_of,
    record_of,
)

# A refutation raises the incarnation by one, a restart by the milliseconds since the
# last start. So a rise below this is a refutation.
MAX_REFUTATION_RISE = 1_000
# Time between two removals of expired entries; none of them is urgent.
SWEEP_SECONDS = 0.5


@dataclass(kw_only=True, slots=True)
class _RecentUpdate:
    queued_at: float
    update: Update
    n_resent: int = 0


class MembershipState:
    """Applies updates to the member table and queues those that must be passed on.

    Parameters
    ----------
    me : Member
        This node.
    suspicion_seconds : float
        Time from suspicion to death.
    dead_retention_seconds : float
        How long a dead member is kept in the table.
    recent_seconds : float
        How long an update counts as recent.
    """

    def __init__(
        self,
        *,
        me: Member,
        suspicion_seconds: float,
        dead_retention_seconds: float,
        recent_seconds: float,
    ) -> None:
        self._suspicion_seconds = suspicion_seconds
        self._dead_retention_seconds = dead_retention_seconds
        self._recent_seconds = recent_seconds
        self._suspected_until: dict[str, float] = {}
        self._remove_at: dict[str, float] = {}
        self.table = MemberTable(me=me)
        self.queue = UpdateQueue()
        self.events: list[Event] = []
        self.in_force = VersionUpdate(0, "", "")
        self.newest = VersionUpdate(0, "", "")
        self.has_changed = True
        self._recent: dict[tuple[str, str], _RecentUpdate] = {}
        self._last_expire_at = 0.0
        self._next_sweep_at = 0.0
        self._enqueue(("member", me.node), record_of(me))

    @property
    def me(self) -> Member:
        """Return this node as it announces itself."""
        return self.table.me

    def recent_updates(self, n_updates: int) -> list[Update]:
        """Return recent updates, for a peer that seems to have missed some.

        The least often resent come first, and of these the latest. When many nodes are
        lost at once, there are more recent updates than fit into one datagram. If only
        the latest were resent, a node that missed an older one would go on sending
        callers to a dead node for up to 9 s, until the next full exchange. In rotation
        each update is resent within one or two seconds.
        """
        latest_first = reversed(self._recent.values())
        chosen = sorted(latest_first, key=lambda recent: recent.n_resent)[:n_updates]
        for recent in chosen:
            recent.n_resent += 1
        return [recent.update for recent in chosen]

    def snapshot(self) -> list[Update]:
        """Return the full state, for an anti-entropy exchange."""
        updates: list[Update] = [record_of(self.me)]
        for member in self.table.others.values():
            updates.append(record_of(member))
        if self.newest.version:
            updates.append(self.newest)
        for endpoint, leaving in self.table.endpoints.items():
            updates.append(EndpointUpdate(endpoint, leaving.at))
        return updates

    def announce_version(self, version: int, root: str) -> None:
        """Record that this node has a configuration version in force."""
        update = VersionUpdate(version, root, self.me.node)
        if version > self.in_force.version:
            self.in_force = update
        if version > self.newest.version:
            self.newest = update
            self._enqueue(("version", ""), update)

    def postpone_suspicions(self, seconds: float) -> None:
        """Postpone the end of all suspicions by a pause of this process."""
        for node in self._suspected_until:
            self._suspected_until[node] += seconds

    def expire(self, now: float) -> None:
        """Turn expired suspicions into deaths and remove expired entries."""
        for node, until in list(self._suspected_until.items()):
            if now >= until:
                self._set_member(
                    replace(self.table.others[node], state=State.DEAD), now
                )
        self._last_expire_at = now
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_SECONDS
        for node, remove_at in list(self._remove_at.items()):
            if now >= remove_at:
                del self._remove_at[node]
                self.table.remove(node)
        self.table.expire_endpoints(now)
        for subject, recent in list(self._recent.items()):
            if now >= recent.queued_at + self._recent_seconds:
                del self._recent[subject]

    def apply(self, update: Update, sender: str, now: float, wall: float) -> None:
        """Apply one update from gossip or from a full exchange."""
        match update:
            case MemberRecord():
                self._apply_member(update, sender, now)
            case StateUpdate():
                self._apply_state(update, now)
            case VersionUpdate():
                self._apply_version(update, sender)
            case EndpointUpdate():
                self._apply_endpoint(update, now, wall)

    def _apply_member(self, record: MemberRecord, sender: str, now: float) -> None:
        if record.node == self.me.node:
            if record.peer != str(self.me.peer):
                self.reject(sender, "own_name", f"{record.peer} has this node's name")
            self._refute(record.incarnation, record.state)
            return
        if not self.table.is_newer(record.node, record.incarnation, record.state):
            return
        try:
            member = member_of(record)
        except ValueError as exc:
            self.reject(sender, "address", f"{record.node}: {exc}")
            return
        known = self.table.others.get(record.node)
        if known is None and member.state is State.DEAD:
            return
        self._set_member(self._suspect_if_reported_dead(member, known), now)

    def _apply_state(self, update: StateUpdate, now: float) -> None:
        if update.node == self.me.node:
            self._refute(update.incarnation, update.state)
            return
        known = self.table.others.get(update.node)
        if known is None:
            return
        if self.table.is_newer(update.node, update.incarnation, update.state):
            member = replace(known, incarnation=update.incarnation, state=update.state)
            self._set_member(self._suspect_if_reported_dead(member, known), now)

    @staticmethod
    def _suspect_if_reported_dead(member: Member, known: Member | None) -> Member:
        """Treat another node's report that a member is dead as a suspicion only.

        When a partition between regions heals, each side reports the other as dead. If
        such reports were accepted, all nodes would consider all members dead at once; a
        suspicion gives each member the time to refute it. A member that was leaving
        is accepted as dead.
        """
        if member.state is not State.DEAD:
            return member
        if known is not None and known.state in (State.LEAVING, State.DEAD):
            return member
        return replace(member, state=State.SUSPECT)

    def _apply_version(self, update: VersionUpdate, sender: str) -> None:
        if update.version <= self.newest.version:
            return
        self.newest = update
        self._enqueue(("version", ""), update)
        member = self.table.others.get(sender)
        if member is None or member.version < update.version:
            member = self.table.others.get(update.origin, member)
        self.events.append(
            NewerVersion(version=update.version, root=update.root, member=member)
        )

    def _apply_endpoint(self, update: EndpointUpdate, now: float, wall: float) -> None:
        if self.table.put_endpoint(update.endpoint, update.at, now, wall):
            self._enqueue(("endpoint", update.endpoint), update)
            self.events.append(EndpointLeaving(endpoint=update.endpoint, at=update.at))

    def suspect(self, node: str, now: float) -> None:
        """Mark a member as suspect after this node's own probe of it failed."""
        member = self.table.others.get(node)
        if member is not None and member.state < State.SUSPECT:
            self._set_member(replace(member, state=State.SUSPECT), now)

    def _set_member(self, member: Member, now: float) -> None:
        """Store a changed member, queue its update and report the change."""
        former = self.table.others.get(member.node)
        self.table.put(member)
        self.has_changed = True
        self._suspected_until.pop(member.node, None)
        self._remove_at.pop(member.node, None)
        if member.state is State.SUSPECT:
            until = now + self._suspicion_seconds
            self._suspected_until[member.node] = until
        if member.state is State.DEAD:
            self._remove_at[member.node] = now + self._dead_retention_seconds
        update: Update = record_of(member)
        if member.state >= State.SUSPECT:
            update = StateUpdate(member.node, member.incarnation, member.state)
        # Each node ends suspicions by itself. So a death is passed on only where no
        # suspicion came before it.
        if (
            member.state is not State.DEAD
            or former is None
            or former.state < State.SUSPECT
        ):
            self._enqueue(("member", member.node), update)
        is_refuted = (
            former is not None
            and former.state >= State.SUSPECT > member.state
            and member.incarnation - former.incarnation < MAX_REFUTATION_RISE
        )
        self.events.append(MemberChanged(member=member, is_refuted=is_refuted))

    def _refute(self, incarnation: int, state: State) -> None:
        """Refute another node's view that overrides this node's own state."""
        me = self.me
        if (incarnation, state) > (me.incarnation, me.state):
            self.announce_self(incarnation + 1, me.state)

    def announce_self(self, incarnation: int, state: State) -> None:
        """Announce this node's state under a higher incarnation."""
        me = replace(self.table.me, incarnation=incarnation, state=state)
        self.table.put(me)
        self._enqueue(("member", me.node), record_of(me))

    def _enqueue(self, subject: tuple[str, str], update: Update) -> None:
        self.queue.put(subject, update)
        self._recent.pop(subject, None)
        self._recent[subject] = _RecentUpdate(
            queued_at=self._last_expire_at, update=update
        )

    def reject(self, sender: str, problem: str, detail: str) -> None:
        """Report that an update from a peer was dropped."""
        self.events.append(
            UpdateRejected(sender=sender, problem=problem, detail=detail)
        )
