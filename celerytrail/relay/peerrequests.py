"""Signed requests between nodes, with typed messages in JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from result import Err, Result

from ..decoding import decode_json
from ..http.client import HttpClient
from ..http.messages import Request
from ..http.routes import send_error
from ..http.server import Responder
from ..metrics import Metrics
from ..nodes.exchange import refuse_signature
from ..nodes.member import Member
from ..nodes.signing import PeerKeys

S = TypeVar("S", bound=msgspec.Struct)


class PeerRequests:
    """Sends requests to other nodes, and decodes theirs.

    Parameters
    ----------
    client : HttpClient
        Sends the requests.
    keys : PeerKeys
        Sign requests, and verify those of other nodes.
    metrics : Metrics
        Counts rejected requests.
    """

    def __init__(self, *, client: HttpClient, keys: PeerKeys, metrics: Metrics) -> None:
        self._client = client
        self._keys = keys
        self._metrics = metrics

    async def post(
        self,
        member: Member,
        path: str,
        message: msgspec.Struct,
        answer_type: type[S],
        deadline: float,
    ) -> Result[S, str]:
        """Send a message to a node; return its answer, or why there is none.

        ``deadline`` is in seconds of the loop's time.
        """
        body = msgspec.json.encode(message)
        answered = await self._client.request(
            member.peer,
            "POST",
            path,
            body=body,
            headers=self._keys.headers("POST", path, body),
            deadline=deadline,
        )
        if isinstance(answered, Err):
            return Err(answered.err_value.reason)
        res = answered.ok_value
        if res.status != 200:
            return Err(f"status {res.status}")
        return decode_json(res.body, answer_type)

    async def decode(self, req: Request, res: Responder, kind: type[S]) -> S | None:
        """Decode a signed message of another node, or refuse it."""
        if not self._keys.accepts(req):
            await refuse_signature(res, self._metrics)
            return None
        decoded = decode_json(req.body, kind)
        if isinstance(decoded, Err):
            problem = decoded.err_value
            await send_error(res, 400, "bad_request", place="body", message=problem)
            return None
        return decoded.ok_value
