"""The status of a node for operators: ``GET /peer/v1/status``."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from .http.messages import Request
from .http.routes import Params, Router, send_error
from .http.server import Responder
from .nodes.nodes import Nodes
from .nodes.signing import PeerKeys

if TYPE_CHECKING:
    # A node on a platform loads neither.
    from .configuration.sync import ConfigSync
    from .leaving import LeavingTracker

STATUS_PATH = "/peer/v1/status"
# Where operators block prompts, or allow them again.
PROMPT_BLOCKS_PATH = "/peer/v1/prompt-blocks"

StatusPart = Callable[[], Mapping[str, object]]


class NodeStatus:
    """Collects and serves the state of a node's components.

    Parameters
    ----------
    nodes : Nodes
        Provides the members.
    sync : ConfigSync
        Provides the version in force.
    leaving : LeavingTracker
        Provides the engines and endpoints that are leaving.
    keys : PeerKeys
        Verify the signatures of requests.
    wall : callable
        Returns the wall time, in seconds since the epoch.
    """

    def __init__(
        self,
        *,
        nodes: Nodes,
        sync: ConfigSync,
        leaving: LeavingTracker,
        keys: PeerKeys,
        wall: Callable[[], float],
    ) -> None:
        self._nodes = nodes
        self._sync = sync
        self._leaving = leaving
        self._keys = keys
        self._wall = wall
        self._parts: dict[str, StatusPart] = {}

    def add_part(self, name: str, part: StatusPart) -> None:
        """Include the result of calling ``part`` in the status under ``name``."""
        self._parts[name] = part

    def add_routes(self, router: Router) -> None:
        """Add the status route."""
        router.add("GET", STATUS_PATH, self._on_status)

    def collect(self) -> dict[str, object]:
        """Return the node's state as JSON-compatible values."""
        me = self._nodes.me
        now = self._wall()
        members = [
            {
                "node": member.node,
                "state": member.state.name.lower(),
                "failure_domain": member.failure_domain,
                "caller_address": str(member.caller),
                "peer_address": str(member.peer),
            }
            for member in self._nodes.members()
        ]
        leaving = [
            {"endpoint": fact.endpoint, "source": fact.source, "since": fact.known_at}
            for fact in self._leaving.valid_notices(now)
        ]
        status: dict[str, object] = {
            "node": me.node,
            "vm": me.vm,
            "failure_domain": me.failure_domain,
            "region": me.region,
            "state": me.state.name.lower(),
            "at": now,
            "version": self._sync.version,
            "root": self._sync.root,
            "members": members,
            "leaving": leaving,
        }
        for name, part in self._parts.items():
            status[name] = part()
        return status

    async def _on_status(self, req: Request, res: Responder, params: Params) -> None:
        if not self._keys.accepts(req):
            message = "no accepted peer key signed this request"
            await send_error(
                res, 403, "bad_signature", place="x-peer-signature", message=message
            )
            return
        await res.send_json(200, self.collect())
