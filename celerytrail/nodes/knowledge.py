"""What a node holds true: members, versions, leaving endpoints; and its news."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .events import BadItem, EndpointLeaving, Event, MemberChanged, VersionHeard
from .member import Member, State
from .news import NewsQueue
from .table import MemberTable
from .wire import (
    Claim,
    EndpointNews,
    Item,
    MemberRecord,
    VersionNews,
    member_of,
    record_of,
)

# A refutation raises the incarnation by one, a new start by the milliseconds since the
# last: so a smaller rise than this is a refutation.
MAX_REFUTED_RISE = 1_000
# Between two looks for what is to be forgotten, in seconds; none of it is urgent.
SWEEP_SECONDS = 0.5


@dataclass(kw_only=True, slots=True)
class _Recent:
    at: float
    item: Item
    n_repeated: int = 0


class Knowledge:
    """Decides what each item of news changes, and queues what must be passed on.

    Parameters
    ----------
    me : Member
        This node.
    suspicion_seconds : float
        From suspicion to death.
    dead_seconds : float
        How long a dead member is remembered.
    recent_seconds : float
        How long news counts as recent.
    """

    def __init__(
        self,
        *,
        me: Member,
        suspicion_seconds: float,
        dead_seconds: float,
        recent_seconds: float,
    ) -> None:
        self._suspicion_seconds = suspicion_seconds
        self._dead_seconds = dead_seconds
        self._recent_seconds = recent_seconds
        self._suspected_until: dict[str, float] = {}
        self._forget_at: dict[str, float] = {}
        self.table = MemberTable(me=me)
        self.news = NewsQueue()
        self.events: list[Event] = []
        self.in_force = VersionNews(0, "", "")
        self.newest = VersionNews(0, "", "")
        self.has_changed = True
        self._recent: dict[tuple[str, str], _Recent] = {}
        self._expired_at = 0.0
        self._sweep_at = 0.0
        self._pass_on(("member", me.node), record_of(me))

    @property
    def me(self) -> Member:
        """Return this node as it states itself."""
        return self.table.me

    def recent_items(self, n_items: int) -> list[Item]:
        """Return recent news, for a peer that seems to have missed some.

        The least often repeated first, and of these the latest. When many nodes are
        lost at once there is more recent news than fits in one datagram. Were only the
        latest repeated, a node that missed an older item went on sending callers to a
        dead node until the next whole exchange, for 9 s; in turn, each item comes up
        within a second or two.
        """
        latest_first = reversed(self._recent.values())
        chosen = sorted(latest_first, key=lambda recent: recent.n_repeated)[:n_items]
        for recent in chosen:
            recent.n_repeated += 1
        return [recent.item for recent in chosen]

    def items(self) -> list[Item]:
        """Return all that this node knows, for a whole exchange of states."""
        items: list[Item] = [record_of(self.me)]
        for member in self.table.others.values():
            items.append(record_of(member))
        if self.newest.version:
            items.append(self.newest)
        for endpoint, leaving in self.table.endpoints.items():
            items.append(EndpointNews(endpoint, leaving.at))
        return items

    def announce_version(self, version: int, root: str) -> None:
        """Note that this node has a configuration version in force."""
        news = VersionNews(version, root, self.me.node)
        if version > self.in_force.version:
            self.in_force = news
        if version > self.newest.version:
            self.newest = news
            self._pass_on(("version", ""), news)

    def forgive(self, seconds: float) -> None:
        """Move the end of all suspicions later by a pause of this process."""
        for node in self._suspected_until:
            self._suspected_until[node] += seconds

    def expire(self, now: float) -> None:
        """End the suspicions that have run out, and forget what is long gone."""
        for node, until in list(self._suspected_until.items()):
            if now >= until:
                self._set(replace(self.table.others[node], state=State.DEAD), now)
        self._expired_at = now
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_SECONDS
        for node, forget_at in list(self._forget_at.items()):
            if now >= forget_at:
                del self._forget_at[node]
                self.table.remove(node)
        self.table.forget_endpoints(now)
        for subject, recent in list(self._recent.items()):
            if now >= recent.at + self._recent_seconds:
                del self._recent[subject]

    def apply(self, item: Item, sender: str, now: float, wall: float) -> None:
        """Take in one item of news or of a whole exchange."""
        match item:
            case MemberRecord():
                self._apply_member(item, sender, now)
            case Claim():
                self._apply_claim(item, now)
            case VersionNews():
                self._apply_version(item, sender)
            case EndpointNews():
                self._apply_endpoint(item, now, wall)

    def _apply_member(self, record: MemberRecord, sender: str, now: float) -> None:
        if record.node == self.me.node:
            if record.peer != str(self.me.peer):
                self.bad(sender, "own_name", f"{record.peer} has this node's name")
            self._refute(record.incarnation, record.state)
            return
        if not self.table.is_news(record.node, record.incarnation, record.state):
            return
        try:
            member = member_of(record)
        except ValueError as exc:
            self.bad(sender, "address", f"{record.node}: {exc}")
            return
        known = self.table.others.get(record.node)
        if known is None and member.state is State.DEAD:
            return
        self._set(self._doubted(member, known), now)

    def _apply_claim(self, claim: Claim, now: float) -> None:
        if claim.node == self.me.node:
            self._refute(claim.incarnation, claim.state)
            return
        known = self.table.others.get(claim.node)
        if known is None:
            return
        if self.table.is_news(claim.node, claim.incarnation, claim.state):
            member = replace(known, incarnation=claim.incarnation, state=claim.state)
            self._set(self._doubted(member, known), now)

    @staticmethod
    def _doubted(member: Member, known: Member | None) -> Member:
        """Take another node's word that a member is dead as a suspicion only.

        When a cut between regions heals, each side tells the other that it is dead.
        Were that believed, all members would be dead to all at once; as a suspicion,
        each has the time to refute it. A member that was leaving may be gone.
        """
        if member.state is not State.DEAD:
            return member
        if known is not None and known.state in (State.LEAVING, State.DEAD):
            return member
        return replace(member, state=State.SUSPECT)

    def _apply_version(self, news: VersionNews, sender: str) -> None:
        if news.version <= self.newest.version:
            return
        self.newest = news
        self._pass_on(("version", ""), news)
        member = self.table.others.get(sender)
        if member is None or member.version < news.version:
            member = self.table.others.get(news.origin, member)
        self.events.append(
            VersionHeard(version=news.version, root=news.root, member=member)
        )

    def _apply_endpoint(self, news: EndpointNews, now: float, wall: float) -> None:
        if self.table.put_endpoint(news.endpoint, news.at, now, wall):
            self._pass_on(("endpoint", news.endpoint), news)
            self.events.append(EndpointLeaving(endpoint=news.endpoint, at=news.at))

    def suspect(self, node: str, now: float) -> None:
        """Hold a member for suspect, for all that this node could hear."""
        member = self.table.others.get(node)
        if member is not None and member.state < State.SUSPECT:
            self._set(replace(member, state=State.SUSPECT), now)

    def _set(self, member: Member, now: float) -> None:
        """Put a changed member into force and pass the news on."""
        former = self.table.others.get(member.node)
        self.table.put(member)
        self.has_changed = True
        self._suspected_until.pop(member.node, None)
        self._forget_at.pop(member.node, None)
        if member.state is State.SUSPECT:
            until = now + self._suspicion_seconds
            self._suspected_until[member.node] = until
        if member.state is State.DEAD:
            self._forget_at[member.node] = now + self._dead_seconds
        item: Item = record_of(member)
        if member.state >= State.SUSPECT:
            item = Claim(member.node, member.incarnation, member.state)
        # Each node ends suspicions by itself; only a death that it is told of is news.
        if (
            member.state is not State.DEAD
            or former is None
            or former.state < State.SUSPECT
        ):
            self._pass_on(("member", member.node), item)
        is_refuted = (
            former is not None
            and former.state >= State.SUSPECT > member.state
            and member.incarnation - former.incarnation < MAX_REFUTED_RISE
        )
        self.events.append(MemberChanged(member=member, is_refuted=is_refuted))

    def _refute(self, incarnation: int, state: State) -> None:
        """Answer a claim about this node that isn't what it states of itself."""
        me = self.me
        if (incarnation, state) > (me.incarnation, me.state):
            self.restate(incarnation + 1, me.state)

    def restate(self, incarnation: int, state: State) -> None:
        """State this node anew, with a higher incarnation."""
        me = replace(self.table.me, incarnation=incarnation, state=state)
        self.table.put(me)
        self._pass_on(("member", me.node), record_of(me))

    def _pass_on(self, subject: tuple[str, str], item: Item) -> None:
        self.news.put(subject, item)
        self._recent.pop(subject, None)
        self._recent[subject] = _Recent(at=self._expired_at, item=item)

    def bad(self, sender: str, problem: str, detail: str) -> None:
        """Note that an item from a peer was dropped."""
        self.events.append(BadItem(sender=sender, problem=problem, detail=detail))
