"""Tells and asks other nodes what began the streams that callers take up."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from ..nodes.member import Member
from ..policies.streamorigins import StreamOrigin, StreamOrigins
from ..policies.versionhistory import VersionHistory
from .nodeorder import NodeOrder
from .peerrequests import PeerRequests
from .registry import Registry
from .updatemessages import OriginEntry

ORIGIN_PATH = "/peer/v1/stream-origin"
# Nodes that hold the origin of a stream beside the one that relays it.
N_OWNERS = 3
# Longest time for the owners' answers, in seconds.
ANSWER_SECONDS = 0.15
# How long versions of a service are remembered, in seconds.
HISTORY_SECONDS = 3_600.0
# Interval at which expired records are removed, in seconds.
EXPIRE_SECONDS = 5.0


class OriginRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A node's question for the origin of a stream.

    ``service`` and ``away_seconds`` ask beside it for the only version of that service
    within that time.
    """

    key: bytes
    service: str
    away_seconds: float


class OriginAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer; empty fields are not known.

    A service without a version says that the stream began, at an unknown version.
    """

    service: str = ""
    version: str = ""
    only_version: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class FoundOrigin:
    """The origin of a stream, and how it became known."""

    origin: StreamOrigin
    source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownOrigin:
    """The origin of a stream isn't known here.

    ``may_be_known`` says that another node may know it, or know it soon.
    """

    may_be_known: bool


class OriginBroker:
    """Records the origins of streams at a few nodes, and finds them.

    Each stream has owners, chosen by its key among the running nodes. They are told by
    datagram before the first event goes to the caller. A stream whose origin can't be
    found may still go on if its service has had one version only.

    Parameters
    ----------
    node : str
        This node's name.
    node_order : NodeOrder
        The owners of each stream.
    requests : PeerRequests
        Sends requests to owners, and decodes those of other nodes.
    tell : callable
        Sends an origin to some nodes.
    registry : Registry
        Lists the endpoints.
    versions : VersionHistory
        The versions that each service has had.
    is_current : callable
        Returns whether the endpoints' rows that this node knows are current.
    wait_for_rows : callable
        Waits until these rows are complete as of a boot time; its result is false if
        they aren't in time.
    clock : Clock
        Measures ages, time suspended included.
    """

    def __init__(
        self,
        *,
        node: str,
        node_order: NodeOrder,
        requests: PeerRequests,
        tell: Callable[[OriginEntry, Sequence[Member]], None],
        registry: Registry,
        versions: VersionHistory,
        is_current: Callable[[], bool],
        wait_for_rows: Callable[[float], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._node = node
        self._node_order = node_order
        self._requests = requests
        self._tell = tell
        self._registry = registry
        self._versions = versions
        self._is_current = is_current
        self._wait_for_rows = wait_for_rows
        self._clock = clock
        self.origins = StreamOrigins()
        self._expire_at = 0.0

    def add_routes(self, router: Router) -> None:
        """Add the route at which other nodes ask for origins."""
        router.add("POST", ORIGIN_PATH, self._on_request)

    def record(self, key: bytes, origin: StreamOrigin, expires_at: float) -> None:
        """Record what began a stream here and at its owners, until a boot time."""
        self.origins.record(key, origin, expires_at)
        entry = OriginEntry(
            key=key,
            service=origin.service,
            version=origin.version,
            seconds=round(expires_at - self._clock.boottime(), 2),
        )
        owners = self._other_owners(key)
        if owners:
            self._tell(entry, owners)

    def record_told(self, entry: OriginEntry) -> None:
        """Record an origin that another node told."""
        origin = StreamOrigin(service=entry.service, version=entry.version)
        self.origins.record(entry.key, origin, self._clock.boottime() + entry.seconds)

    async def find(
        self, key: bytes, service: str, away_seconds: float
    ) -> Result[FoundOrigin, UnknownOrigin]:
        """Find the origin of a stream.

        Parameters
        ----------
        key : bytes
            The stream's key; see `stream_key`.
        service : str
            The service that it began at if that has had one version only; empty if it
            may have begun at several.
        away_seconds : float
            How long ago it may have begun at most.
        """
        now = self._clock.boottime()
        own = self.origins.find(key, now)
        if own is not None:
            return Ok(FoundOrigin(origin=own, source="own"))
        asked = OriginRequest(key=key, service=service, away_seconds=away_seconds)
        answers, n_silent = await self._ask_owners(asked)
        told = _told_origins(answers)
        if len(told) == 1:
            return Ok(FoundOrigin(origin=told.pop(), source="owner"))
        has_rows = True
        if not told and self._only_version(service, now - away_seconds, answers):
            # However recent this node's rows are, the stream may have begun since at a
            # version that they don't name.
            has_rows = await self._wait_for_rows(now)
            only = self._only_version(service, now - away_seconds, answers)
            own = self.origins.find(key, now)
            if own is not None:
                return Ok(FoundOrigin(origin=own, source="own"))
            if only and has_rows:
                origin = StreamOrigin(service=service, version=only)
                return Ok(FoundOrigin(origin=origin, source="only_version"))
        may_be_known = n_silent > 0 or not has_rows or not self._is_current()
        return Err(UnknownOrigin(may_be_known=may_be_known))

    async def wait_for_version(self, origin: StreamOrigin, since: float) -> bool:
        """Wait until the rows would name an origin's version that they haven't yet.

        Returns
        -------
        bool
            False if this node's rows can't tell in time whether it is there.
        """
        has_seen = self._versions.has_seen(origin.service, origin.version)
        if has_seen or not origin.version:
            return True
        return await self._wait_for_rows(since)

    def only_version(self, service: str, seconds: float) -> str | None:
        """Return the only version that a service has had for some time.

        None if it has had others, or if this isn't known here.
        """
        if not self._is_current():
            return None
        since = self._clock.boottime() - seconds
        return self._own_only_version(service, since)

    def expire(self) -> None:
        """Forget what can't be asked for any more; called periodically."""
        now = self._clock.boottime()
        self._versions.set_followed(self._is_current(), now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_SECONDS
            self.origins.expire(now)
            self._versions.expire(now - HISTORY_SECONDS)

    # Internals.

    def _other_owners(self, key: bytes) -> list[Member]:
        owners = self._node_order.first(f"stream {key.hex()}", N_OWNERS)
        return [member for member in owners if member.node != self._node]

    async def _ask_owners(self, asked: OriginRequest) -> tuple[list[OriginAnswer], int]:
        """Ask all owners at once; the first one that knows the origin decides.

        Returns
        -------
        tuple of (list of OriginAnswer, int)
            The answers, and how many owners gave none.
        """
        deadline = asyncio.get_running_loop().time() + ANSWER_SECONDS
        pending = {
            asyncio.ensure_future(
                self._requests.post(owner, ORIGIN_PATH, asked, OriginAnswer, deadline)
            )
            for owner in self._other_owners(asked.key)
        }
        answers: list[OriginAnswer] = []
        n_silent = 0
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    answered = task.result()
                    if isinstance(answered, Err):
                        n_silent += 1
                        log_message(
                            "relay:origin:unanswered", reason=answered.err_value
                        )
                        continue
                    answers.append(answered.ok_value)
                if any(answer.version for answer in answers):
                    break
        finally:
            for task in pending:
                task.cancel()
        return answers, n_silent

    def _only_version(
        self, service: str, since: float, answers: Sequence[OriginAnswer]
    ) -> str | None:
        """Return a service's only version since a time, as known here or to a peer.

        A peer's word counts only while this node's own rows name no other version.
        """
        if not service or not self._is_current():
            return None
        own = self._own_only_version(service, since)
        if own is not None:
            return own
        present = self._registry.versions(service)
        told = {answer.only_version for answer in answers if answer.only_version}
        return next(iter(told)) if told == present and len(told) == 1 else None

    def _own_only_version(self, service: str, since: float) -> str | None:
        present = self._registry.versions(service)
        return self._versions.only_version(service, present, since)

    async def _on_request(self, req: Request, res: Responder, _: Params) -> None:
        asked = await self._requests.decode(req, res, OriginRequest)
        if asked is None:
            return
        origin = self.origins.find(asked.key, self._clock.boottime())
        only = None
        if origin is None and asked.service:
            only = self.only_version(asked.service, asked.away_seconds)
        answer = OriginAnswer(
            service=origin.service if origin else "",
            version=origin.version if origin else "",
            only_version=only or "",
        )
        headers = {"content-type": "application/json"}
        await res.send(200, msgspec.json.encode(answer), headers)


def _told_origins(answers: Sequence[OriginAnswer]) -> set[StreamOrigin]:
    """Return what owners state as a stream's origin.

    An owner that knows no version counts only if no other one knows it.
    """
    told = {
        StreamOrigin(service=answer.service, version=answer.version)
        for answer in answers
        if answer.service
    }
    return {origin for origin in told if origin.version} or told
