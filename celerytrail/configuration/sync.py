"""Bringing accepted versions into force in a node: heard of, fetched, checked, applied.

A node hears of versions from three sides: gossip, its own rare reads of the head row,
and the console that accepted one. Any of them alone is enough, and none is believed
further than the content addresses reach.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..platform.backoff import full_jitter
from ..platform.table import Table
from ..types import Address, Finding
from .checks import findings_in_steps, findings_of_changes
from .current import Configuration
from .document import Document, VersionedDocument
from .fetch import OBJECT_PATH, ObjectFetcher, PeerAuth
from .records import HEAD_KEY, read_head
from .sections import Tree, is_digest
from .targets import Target, Targets
from .treeloader import Misfit, TreeLoader

HEAD_PATH = "/peer/v1/config/head"
HINT_PATH = "/peer/v1/config/hint"

# All nodes together read the head row this often, which is a 25th of the
# platform's reads; each node alone still hears of a version within its 7 seconds.
READS_PER_SECOND = 80.0
MIN_POLL_SECONDS = 2.0
POLL_READ_SECONDS = 2.0
BOOT_SECONDS = 0.5
RETRY_FIRST_SECONDS = 0.2
RETRY_MOST_SECONDS = 5.0

Announce = Callable[[int, str], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Rejected:
    """Why a version did not come into force; ``is_final`` where a retry can't help."""

    findings: tuple[Finding, ...]
    is_final: bool = False


class ConfigSync:
    """Keeps a node's configuration at the newest accepted version.

    Parameters
    ----------
    configuration : Configuration
        What is in force; versions are offered to it.
    table : Table
        Holds the head row.
    fetcher : ObjectFetcher
        Gets objects.
    auth : PeerAuth
        Checks the requests of peers.
    n_nodes : callable
        Returns how many nodes there are, by which polling is thinned out.
    announce : callable
        Told (version, root) of each version that came into force.
    clock : Clock
        Monotonic time for deadlines.
    rng : random.Random
        Jitter.
    metrics : Metrics
        Counts bad input.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        table: Table,
        fetcher: ObjectFetcher,
        auth: PeerAuth,
        n_nodes: Callable[[], int],
        announce: Announce,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._table = table
        self._fetcher = fetcher
        self._auth = auth
        self._n_nodes = n_nodes
        self._announce = announce
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tree = Tree(sections={})
        self._targets = Targets()
        self._refused: tuple[int, str] | None = None
        self._other_root = ""
        self._old_head_told = 0
        self._news = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self._configuration.current.version

    @property
    def root(self) -> str:
        """Return the root's digest of the version in force; empty before any."""
        return self._tree.root if self.version else ""

    async def start(self) -> None:
        """Begin to poll and to apply."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._poll_forever()),
            loop.create_task(self._apply_forever()),
        ]

    async def stop(self) -> None:
        """Stop both; what is in force stays."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def hear(
        self,
        version: int,
        root: str,
        holder: Address | None = None,
        *,
        is_accepted: bool = False,
    ) -> None:
        """Take note of a version somebody has in force or the platform accepted."""
        if version < 1 or not is_digest(root):
            self._bad("version", f"version {version!r} with root {root!r}")
            return
        if version <= self.version:
            # Old news: a frozen node's gossip, a stale read. Only another root under
            # the version in force is worth a word, as it should be impossible.
            if version == self.version and root not in (self.root, self._other_root):
                self._other_root = root
                self._bad("other_root", f"version {version} also has root {root}")
            return
        if (version, root) == self._refused:
            return
        if self._targets.add(version, root, holder, is_accepted=is_accepted):
            self._news.set()

    # Serving peers.

    def add_routes(self, router: Router) -> None:
        """Add the routes by which peers ask for versions and objects."""
        router.add("GET", HEAD_PATH, self._answer_head)
        router.add("GET", OBJECT_PATH + "{digest}", self._answer_object)
        router.add("POST", HINT_PATH, self._answer_hint)

    async def _answer_head(self, req: Request, res: Responder, _: Params) -> None:
        if await self._is_peer(req, res):
            await res.send_json(200, {"version": self.version, "root": self.root})

    async def _answer_object(
        self, req: Request, res: Responder, params: Params
    ) -> None:
        if not await self._is_peer(req, res):
            return
        data = self._tree.get(params["digest"])
        if data is None:
            message = "this node does not have the object"
            await send_error(res, 404, "no_object", place="path", message=message)
            return
        await res.send(200, data, {"content-type": "application/json"})

    async def _answer_hint(self, req: Request, res: Responder, _: Params) -> None:
        """Take a console's word that a version was just accepted."""
        if not await self._is_peer(req, res):
            return
        hint = self._read_hint(req.body)
        if hint is None:
            message = "not a version and a root"
            await send_error(res, 400, "bad_hint", place="body", message=message)
            return
        self.hear(hint.version, hint.root)
        await res.send(204)

    async def _is_peer(self, req: Request, res: Responder) -> bool:
        if self._auth.accepts(req):
            return True
        self._bad("signature", f"unsigned request from {req.peer}")
        message = "no accepted peer key signed this request"
        await send_error(
            res, 403, "bad_signature", place="x-peer-signature", message=message
        )
        return False

    # Hearing of versions.

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self.poll()
            except Exception as exc:
                # A fault met once must not end the polling for good: the node would
                # serve by an old version, and nobody would notice.
                self._bad("poll_failed", repr(exc))
            await asyncio.sleep(self._poll_seconds())

    async def poll(self) -> None:
        """Read the head row once; ask peers where the platform does not answer."""
        deadline = self._clock.monotonic() + POLL_READ_SECONDS
        read = await self._table.read([HEAD_KEY], deadline)
        if isinstance(read, Err):
            await self._ask_peers()
            return
        row = read.ok_value.get(HEAD_KEY)
        if row is None:
            if self.version:
                self._tell_old_head(0)
            return
        head = read_head(row.value, row.key)
        if isinstance(head, Err):
            self._bad("head", str(head.err_value))
            return
        if head.ok_value.version < self.version:
            self._tell_old_head(head.ok_value.version)
        self.hear(head.ok_value.version, head.ok_value.root, is_accepted=True)

    async def _ask_peers(self) -> None:
        """Ask a few peers which version they have.

        A node that boots while the platform is down would otherwise stay without a
        document, and refuse every caller, until the platform is back.
        """
        for address in self._fetcher.some_peers():
            data = await self._fetcher.ask(address, HEAD_PATH)
            hint = self._read_hint(data) if data is not None else None
            if hint is not None and hint.version > 0:
                self.hear(hint.version, hint.root, address)

    def _poll_seconds(self) -> float:
        if self.version == 0:
            return BOOT_SECONDS * self._rng.uniform(0.5, 1.5)
        mean = max(MIN_POLL_SECONDS, self._n_nodes() / READS_PER_SECOND)
        return mean * self._rng.uniform(0.75, 1.25)

    def _read_hint(self, data: bytes) -> _Hint | None:
        try:
            return msgspec.json.decode(data, type=_Hint)
        except msgspec.MsgspecError as exc:
            self._bad("hint", str(exc))
            return None

    def _tell_old_head(self, version: int) -> None:
        """Report, once for each, a head row older than what is in force."""
        if self._old_head_told != self.version:
            self._old_head_told = self.version
            log_message("configuration:old_head", head=version, in_force=self.version)
            self._metrics.count("bad_input", peer="platform", problem="old_head")

    # Applying them.

    async def _apply_forever(self) -> None:
        n_failures = 0
        while True:
            self._news.clear()
            if await self._apply_newest():
                n_failures = 0
                continue
            if not len(self._targets):
                n_failures = 0
                await self._news.wait()
                continue
            n_failures += 1
            pause = full_jitter(
                self._rng,
                n_failures,
                first=RETRY_FIRST_SECONDS,
                most=RETRY_MOST_SECONDS,
            )
            # Another version, or the first peer that has this one, is worth a try now.
            try:
                async with asyncio.timeout(pause):
                    await self._news.wait()
            except TimeoutError:
                pass

    async def _apply_newest(self) -> bool:
        """Try the versions heard of; returns whether one came into force."""
        for target in self._targets.ordered():
            try:
                made = await self._load(target)
            except Exception as exc:
                finding = Finding(place=f"version {target.version}", problem=repr(exc))
                made = Err(_Rejected(findings=(finding,)))
            if isinstance(made, Ok):
                self._put_in_force(target, made.ok_value)
                return True
            rejected = made.err_value
            for finding in rejected.findings:
                self._bad("version_refused", str(finding), version=target.version)
            if rejected.is_final:
                self._refused = (target.version, target.root)
                self._targets.drop(target)
            else:
                self._targets.note_failure(target)
        return False

    def _put_in_force(self, target: Target, loaded: _Loaded) -> None:
        self._tree = loaded.tree
        self._configuration.offer(
            VersionedDocument(version=target.version, document=loaded.document)
        )
        self._targets.drop_up_to(target.version)
        self._announce(target.version, target.root)

    async def _load(self, target: Target) -> Result[_Loaded, _Rejected]:
        """Fetch what differs from the version in force, and check the whole."""
        loader = TreeLoader(
            get=lambda digest: self._fetcher.get(digest, target.holders),
            held=(self._tree,),
        )
        made = await loader.load(target.root)
        if isinstance(made, Err):
            failure = made.err_value
            if isinstance(failure, Misfit):
                return Err(_Rejected(findings=failure.findings, is_final=True))
            return Err(_Rejected(findings=(failure,)))
        tree = made.ok_value
        # Each of these steps takes some milliseconds at 6,400 organisations; callers'
        # tokens go on in between.
        await asyncio.sleep(0)
        document = tree.document()
        await asyncio.sleep(0)
        findings = await self._check(tree, document)
        await asyncio.sleep(0)
        if findings:
            return Err(_Rejected(findings=findings, is_final=True))
        return Ok(_Loaded(tree=tree, document=document))

    async def _check(self, tree: Tree, document: Document) -> tuple[Finding, ...]:
        """Check what changed, or the whole where others may refer to what changed."""
        changed = tree.changed_since(self._tree)
        if self.version and changed.keys() <= {"organisations", "engines"}:
            return findings_of_changes(
                document,
                organisations=changed.get("organisations", ()),
                engines=changed.get("engines", ()),
            )
        findings: list[Finding] = []
        for step in findings_in_steps(document):
            findings.extend(step)
            await asyncio.sleep(0)
        return tuple(findings)

    def _bad(self, problem: str, detail: str, **fields: object) -> None:
        self._metrics.count("bad_input", peer="configuration", problem=problem)
        log_message("configuration:bad_input", problem=problem, detail=detail, **fields)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Hint:
    version: int
    root: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Loaded:
    tree: Tree
    document: Document
