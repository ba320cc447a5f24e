"""Discovery, fetching, checking and applying of accepted versions in a node.

A node learns of versions from three sources: gossip, its own infrequent reads of the
head row, and a hint from the console that accepted the version. Each alone is enough.
None is trusted beyond what the content addresses verify.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..decoding import decode_json
from ..http.messages import Request
from ..http.routes import Params, Router, send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..platform.backoff import full_jitter
from ..platform.table import Table
from ..supervision import Supervisor
from ..types import Address, Finding
from .checks import findings_in_steps, findings_of_changes
from .current import Configuration
from .document import Document, VersionedDocument
from .fetch import OBJECT_PATH, ObjectFetcher, PeerAuth
from .records import HEAD_KEY, read_head
from .sections import Tree, is_digest
from .targets import Target, Targets
from .treeloader import InvalidObject, TreeLoader

HEAD_PATH = "/peer/v1/config/head"
HINT_PATH = "/peer/v1/config/hint"

# Limit for all nodes together: a 25th of the platform's reads. Polling alone still
# gets a version to each node within the required 7 s.
TOTAL_HEAD_READS_PER_SECOND = 80.0
MIN_POLL_SECONDS = 2.0
HEAD_READ_TIMEOUT_SECONDS = 2.0
BOOT_POLL_SECONDS = 0.5
RETRY_INITIAL_SECONDS = 0.2
RETRY_MAX_SECONDS = 5.0

Announce = Callable[[int, str], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Rejected:
    """Why a version was not applied; ``is_final`` if a retry can't succeed."""

    findings: tuple[Finding, ...]
    is_final: bool = False


class ConfigSync:
    """Keeps a node's configuration at the newest accepted version.

    Parameters
    ----------
    configuration : Configuration
        The current document; loaded versions are offered to it.
    table : Table
        Contains the head row.
    fetcher : ObjectFetcher
        Fetches objects.
    auth : PeerAuth
        Authenticates requests of peers.
    n_nodes : callable
        Returns the number of nodes; the polling interval grows with it.
    announce : callable
        Called with (version, root) after a version is applied.
    clock : Clock
        Monotonic time for deadlines.
    rng : random.Random
        Jitter.
    metrics : Metrics
        Counts bad input.
    supervisor : Supervisor or None
        Runs the polling and the applying; one of its own by default.
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
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(metrics=metrics)
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
        self._rejected_target: tuple[int, str] | None = None
        self._conflicting_root = ""
        self._old_head_reported_version = 0
        self._targets_changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def version(self) -> int:
        """Return the current version; 0 before the first one."""
        return self._configuration.current.version

    @property
    def root(self) -> str:
        """Return the root digest of the current version; empty before the first."""
        return self._tree.root if self.version else ""

    async def start(self) -> None:
        """Start the polling and applying tasks."""
        self._tasks = [
            self._supervisor.start("configuration poll", self._poll_forever),
            self._supervisor.start("configuration", self._apply_forever),
        ]

    async def stop(self) -> None:
        """Cancel both tasks; the current version stays applied."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def record_version(
        self,
        version: int,
        root: str,
        holder: Address | None = None,
        *,
        is_accepted: bool = False,
    ) -> None:
        """Record a version that a peer has applied or the platform accepted."""
        if version < 1 or not is_digest(root):
            self._report_bad_input("version", f"version {version!r} with root {root!r}")
            return
        if version <= self.version:
            # Old versions arrive in gossip of a node that was frozen and in stale
            # reads. Only a second root for the current version is reported, as one
            # version has one root.
            if version == self.version and root not in (
                self.root,
                self._conflicting_root,
            ):
                self._conflicting_root = root
                self._report_bad_input(
                    "other_root", f"version {version} also has root {root}"
                )
            return
        if (version, root) == self._rejected_target:
            return
        if self._targets.add(version, root, holder, is_accepted=is_accepted):
            self._targets_changed.set()

    # Requests of peers.

    def add_routes(self, router: Router) -> None:
        """Add the routes on which peers request versions and objects."""
        router.add("GET", HEAD_PATH, self._on_head_request)
        router.add("GET", OBJECT_PATH + "{digest}", self._on_object_request)
        router.add("POST", HINT_PATH, self._on_hint)

    async def _on_head_request(self, req: Request, res: Responder, _: Params) -> None:
        if await self._is_peer(req, res):
            await res.send_json(200, {"version": self.version, "root": self.root})

    async def _on_object_request(
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

    async def _on_hint(self, req: Request, res: Responder, _: Params) -> None:
        """Record a version that a console reports as just accepted."""
        if not await self._is_peer(req, res):
            return
        hint = self._read_hint(req.body)
        if hint is None:
            message = "not a version and a root"
            await send_error(res, 400, "bad_hint", place="body", message=message)
            return
        self.record_version(hint.version, hint.root)
        await res.send(204)

    async def _is_peer(self, req: Request, res: Responder) -> bool:
        if self._auth.accepts(req):
            return True
        self._report_bad_input("signature", f"unsigned request from {req.peer}")
        message = "no accepted peer key signed this request"
        await send_error(
            res, 403, "bad_signature", place="x-peer-signature", message=message
        )
        return False

    # Discovery of versions.

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self.poll()
            except Exception as exc:
                # An unexpected error must not end polling: the node would serve an
                # old version without anybody noticing.
                self._report_bad_input("poll_failed", repr(exc))
            await asyncio.sleep(self._poll_seconds())

    async def poll(self) -> None:
        """Read the head row once, or peers' versions if the platform fails."""
        deadline = self._clock.monotonic() + HEAD_READ_TIMEOUT_SECONDS
        read = await self._table.read([HEAD_KEY], deadline)
        if isinstance(read, Err):
            await self._poll_peers()
            return
        row = read.ok_value.get(HEAD_KEY)
        if row is None:
            if self.version:
                self._report_old_head(0)
            return
        head = read_head(row.value, row.key)
        if isinstance(head, Err):
            self._report_bad_input("head", str(head.err_value))
            return
        if head.ok_value.version < self.version:
            self._report_old_head(head.ok_value.version)
        self.record_version(head.ok_value.version, head.ok_value.root, is_accepted=True)

    async def _poll_peers(self) -> None:
        """Request the current version of a few peers.

        Without it a node that boots during a platform outage has no document and
        refuses every caller until the outage ends.
        """
        for address in self._fetcher.sample_peers():
            data = await self._fetcher.request_peer(address, HEAD_PATH)
            hint = self._read_hint(data) if data is not None else None
            if hint is not None and hint.version > 0:
                self.record_version(hint.version, hint.root, address)

    def _poll_seconds(self) -> float:
        if self.version == 0:
            return BOOT_POLL_SECONDS * self._rng.uniform(0.5, 1.5)
        mean = max(MIN_POLL_SECONDS, self._n_nodes() / TOTAL_HEAD_READS_PER_SECOND)
        return mean * self._rng.uniform(0.75, 1.25)

    def _read_hint(self, data: bytes) -> _Hint | None:
        decoded = decode_json(data, _Hint)
        if isinstance(decoded, Err):
            self._report_bad_input("hint", decoded.err_value)
            return None
        return decoded.ok_value

    def _report_old_head(self, version: int) -> None:
        """Report a head row older than the current version, once per version."""
        if self._old_head_reported_version != self.version:
            self._old_head_reported_version = self.version
            log_message("configuration:old_head", head=version, in_force=self.version)
            self._metrics.count("bad_input", peer="platform", problem="old_head")

    # Applying of versions.

    async def _apply_forever(self) -> None:
        n_failures = 0
        while True:
            self._targets_changed.clear()
            if await self._apply_newest():
                n_failures = 0
                continue
            if not len(self._targets):
                n_failures = 0
                await self._targets_changed.wait()
                continue
            n_failures += 1
            pause = full_jitter(
                self._rng,
                n_failures,
                first=RETRY_INITIAL_SECONDS,
                most=RETRY_MAX_SECONDS,
            )
            # A new version, or the first holder of a known one, ends the backoff.
            try:
                async with asyncio.timeout(pause):
                    await self._targets_changed.wait()
            except TimeoutError:
                pass

    async def _apply_newest(self) -> bool:
        """Try the known targets in order; return whether one was applied."""
        for target in self._targets.by_priority():
            try:
                loaded = await self._load(target)
            except Exception as exc:
                finding = Finding(place=f"version {target.version}", problem=repr(exc))
                loaded = Err(_Rejected(findings=(finding,)))
            if isinstance(loaded, Ok):
                self._apply(target, loaded.ok_value)
                return True
            rejected = loaded.err_value
            for finding in rejected.findings:
                self._report_bad_input(
                    "version_refused", str(finding), version=target.version
                )
            if rejected.is_final:
                self._rejected_target = (target.version, target.root)
                self._targets.drop(target)
            else:
                self._targets.record_failure(target)
        return False

    def _apply(self, target: Target, loaded: _Loaded) -> None:
        self._tree = loaded.tree
        self._configuration.offer(
            VersionedDocument(version=target.version, document=loaded.document)
        )
        self._targets.drop_up_to(target.version)
        self._announce(target.version, target.root)

    async def _load(self, target: Target) -> Result[_Loaded, _Rejected]:
        """Fetch the objects that differ from the current tree and check the result."""
        loader = TreeLoader(
            get=lambda digest: self._fetcher.get(digest, target.holders),
            cached_trees=(self._tree,),
        )
        loaded = await loader.load(target.root)
        if isinstance(loaded, Err):
            failure = loaded.err_value
            if isinstance(failure, InvalidObject):
                return Err(_Rejected(findings=failure.findings, is_final=True))
            return Err(_Rejected(findings=(failure,)))
        tree = loaded.ok_value
        # Each step takes some milliseconds at 6,400 organisations. Yielding between
        # them lets the event loop deliver callers' tokens.
        await asyncio.sleep(0)
        document = tree.document()
        await asyncio.sleep(0)
        findings = await self._check(tree, document)
        await asyncio.sleep(0)
        if findings:
            return Err(_Rejected(findings=findings, is_final=True))
        return Ok(_Loaded(tree=tree, document=document))

    async def _check(self, tree: Tree, document: Document) -> tuple[Finding, ...]:
        """Check changed entries, or the whole if other entries may reference them."""
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

    def _report_bad_input(self, problem: str, detail: str, **fields: object) -> None:
        self._metrics.count("bad_input", peer="configuration", problem=problem)
        log_message("configuration:bad_input", problem=problem, detail=detail, **fields)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Hint:
    """A version and its root, as peers and consoles send them."""

    version: int
    root: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Loaded:
    """A checked version, ready to be applied."""

    tree: Tree
    document: Document
