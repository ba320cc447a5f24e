"""Client of the model engines' protocol, with typed errors."""

from __future__ import annotations

from collections.abc import Mapping
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..decoding import decode_json
from ..http.client import HttpClient, NotSent, Stream
from ..http.messages import Response
from ..policies.loadreports import EngineReport
from ..types import Address
from .reader import TokenReader
from .wire import (
    BadReply,
    CacheEvents,
    EngineLost,
    EngineOrder,
    EngineRefused,
    GenerateRequest,
    NewerReader,
    OrderExpired,
    StaleFencing,
    UnknownGeneration,
)

INCARNATION_HEADER = "x-engine-incarnation"
GENERATION_HEADER = "x-generation-id"
READER_HEADER = "x-reader"
DEADLINE_HEADER = "x-deadline-at"

OpenError = EngineRefused | EngineLost | UnknownGeneration | BadReply


class _Refusal(msgspec.Struct, kw_only=True):
    not_run: bool = False
    reason: str = "refused"
    retry_after: float | None = None
    fencing: int = 0


class EngineClient:
    """Sends requests to engines; holds no state about any of them.

    Parameters
    ----------
    http : HttpClient
        The HTTP client with its connection pool.
    clock : Clock
        Converts deadlines to wall times for the engine.
    """

    def __init__(self, *, http: HttpClient, clock: Clock) -> None:
        self._http = http
        self._clock = clock

    async def generate(
        self,
        address: Address,
        req: GenerateRequest,
        *,
        deadline: float,
        request_deadline: float | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[TokenReader, OpenError]:
        """Start a generation and open its stream from offset 0.

        Parameters
        ----------
        address : Address
            The engine.
        req : GenerateRequest
            The generation's prompt and options.
        deadline : float
            Monotonic time by which the response head must have arrived.
        request_deadline : float or None
            Monotonic time of the caller's deadline, which is sent to the engine.
        headers : Mapping or None
            Additional headers, such as the log task.
        """
        all_headers = {"content-type": "application/json", **(headers or {})}
        if request_deadline is not None:
            deadline_at = self._clock.wall_of_deadline(request_deadline)
            all_headers[DEADLINE_HEADER] = f"{deadline_at:.3f}"
        opened = await self._http.open(
            address,
            "POST",
            "/generate",
            body=msgspec.json.encode(req),
            headers=all_headers,
            deadline=deadline,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            if isinstance(exc, NotSent):
                return Err(
                    EngineRefused(reason=exc.reason, detail=exc.detail, retry_after=1.0)
                )
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        return await self._read_head(opened.ok_value, req.generation_id, deadline)

    async def resume(
        self,
        address: Address,
        generation_id: str,
        offset: int,
        *,
        deadline: float,
        headers: Mapping[str, str] | None = None,
    ) -> Result[TokenReader, OpenError]:
        """Open a generation's stream from an offset, on a new connection.

        A pooled connection may use the same network path that stalled; a new one
        shows whether the engine is reachable.
        """
        opened = await self._http.open(
            address,
            "GET",
            f"/generations/{quote(generation_id, safe='')}?from={offset}",
            headers=headers,
            deadline=deadline,
            fresh=True,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        return await self._read_head(opened.ok_value, generation_id, deadline)

    async def cancel(
        self,
        address: Address,
        generation_id: str,
        *,
        deadline: float,
        reader_number: int | None = None,
    ) -> Result[None, OpenError | NewerReader]:
        """Cancel a generation.

        Parameters
        ----------
        address, generation_id, deadline
            The generation, and the deadline of the request.
        reader_number : int or None
            If given, the engine cancels only while no later reader has been opened,
            so that a paused node can't cancel what its caller reads through another.
        """
        path = f"/generations/{quote(generation_id, safe='')}"
        if reader_number is not None:
            path = f"{path}?reader={reader_number}"
        answer = await self._http.request(address, "DELETE", path, deadline=deadline)
        if isinstance(answer, Err):
            exc = answer.err_value
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        status = answer.ok_value.status
        if status == 404:
            return Err(UnknownGeneration())
        if status == 409:
            return Err(NewerReader())
        if status != 204:
            return Err(BadReply(reason="status", detail=f"{status} to a cancel"))
        return Ok(None)

    async def load(
        self, address: Address, *, deadline: float
    ) -> Result[EngineReport, EngineLost | BadReply]:
        """Fetch the load report."""
        answer = await self._get(address, "/load", deadline)
        if isinstance(answer, Err):
            return answer
        report = decode_json(answer.ok_value.body, EngineReport)
        return report.map_err(lambda exc: BadReply(reason="bad_report", detail=exc))

    async def cache_events(
        self, address: Address, after: int, *, deadline: float
    ) -> Result[CacheEvents, EngineLost | BadReply]:
        """Fetch the cache events after a sequence number."""
        answer = await self._get(address, f"/cache-events?after={after}", deadline)
        if isinstance(answer, Err):
            return answer
        events = decode_json(answer.ok_value.body, CacheEvents)
        return events.map_err(lambda exc: BadReply(reason="bad_events", detail=exc))

    async def order(
        self, address: Address, order: EngineOrder, *, deadline: float
    ) -> Result[None, StaleFencing | OrderExpired | EngineLost | BadReply]:
        """Send an order; after ``EngineLost`` it may or may not be carried out."""
        answer = await self._http.request_json(
            address, "POST", "/orders", order, deadline=deadline
        )
        if isinstance(answer, Err):
            exc = answer.err_value
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        status = answer.ok_value.status
        if status == 200:
            return Ok(None)
        if status == 409:
            return Err(
                StaleFencing(fencing=_decode_refusal(answer.ok_value.body).fencing)
            )
        if status == 410:
            return Err(OrderExpired())
        return Err(BadReply(reason="status", detail=f"{status} to an order"))

    async def _get(
        self, address: Address, path: str, deadline: float
    ) -> Result[Response, EngineLost | BadReply]:
        answer = await self._http.request(address, "GET", path, deadline=deadline)
        if isinstance(answer, Err):
            exc = answer.err_value
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        if answer.ok_value.status != 200:
            detail = f"{answer.ok_value.status} to {path}"
            return Err(BadReply(reason="status", detail=detail))
        return Ok(answer.ok_value)

    async def _read_head(
        self, stream: Stream, generation_id: str, deadline: float
    ) -> Result[TokenReader, OpenError]:
        if stream.status != 200:
            return await self._read_refusal(stream, deadline)
        header_id = stream.headers.get(GENERATION_HEADER)
        if header_id != generation_id:
            # Tokens of another generation would be mixed into this answer.
            stream.close()
            return Err(BadReply(reason="other_generation", detail=str(header_id)[:80]))
        number = stream.headers.get(READER_HEADER, "")
        return Ok(
            TokenReader(
                stream=stream,
                incarnation=stream.headers.get(INCARNATION_HEADER, ""),
                number=int(number) if number.isdecimal() else None,
            )
        )

    async def _read_refusal(
        self, stream: Stream, deadline: float
    ) -> Result[TokenReader, OpenError]:
        body = await stream.read(deadline)
        if isinstance(body, Err):
            lost = body.err_value
            return Err(EngineLost(reason=lost.reason, detail=lost.detail))
        if stream.status == 404:
            return Err(UnknownGeneration())
        refusal = _decode_refusal(body.ok_value)
        if refusal.not_run:
            return Err(
                EngineRefused(reason=refusal.reason, retry_after=refusal.retry_after)
            )
        return Err(BadReply(reason="status", detail=f"status {stream.status}"))


def _decode_refusal(body: bytes) -> _Refusal:
    return decode_json(body, _Refusal).unwrap_or(_Refusal())
