"""Exchanges with model engines, with typed outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..http.client import HttpClient, NotSent, Stream
from ..http.messages import Response
from ..policies.reports import EngineReport
from ..types import Address
from .reader import TokenReader
from .wire import (
    BadReply,
    CacheEvents,
    EngineLost,
    EngineOrder,
    EngineRefused,
    GenerateOrder,
    NewerReader,
    OldFencing,
    OrderExpired,
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
    """Speaks the engines' protocol; knows no engine and keeps no state of one.

    Parameters
    ----------
    http : HttpClient
        The pooled client.
    clock : Clock
        Turns deadlines into wall times for the engine.
    """

    def __init__(self, *, http: HttpClient, clock: Clock) -> None:
        self._http = http
        self._clock = clock

    async def generate(
        self,
        address: Address,
        order: GenerateOrder,
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
        order : GenerateOrder
            What to generate.
        deadline : float
            Monotonic time until which the engine must have answered its head.
        request_deadline : float or None
            Monotonic time at which the caller gives up, which the engine is told.
        headers : Mapping or None
            More headers, such as the task of the log.
        """
        whole = {"content-type": "application/json", **(headers or {})}
        if request_deadline is not None:
            at = self._clock.wall_of_deadline(request_deadline)
            whole[DEADLINE_HEADER] = f"{at:.3f}"
        opened = await self._http.open(
            address,
            "POST",
            "/generate",
            body=msgspec.json.encode(order),
            headers=whole,
            deadline=deadline,
        )
        if isinstance(opened, Err):
            exc = opened.err_value
            if isinstance(exc, NotSent):
                return Err(
                    EngineRefused(reason=exc.reason, detail=exc.detail, retry_after=1.0)
                )
            return Err(EngineLost(reason=exc.reason, detail=exc.detail))
        return await self._read_head(opened.ok_value, order.generation_id, deadline)

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

        A pooled connection may lead into the very link that stalled; a new one
        shows whether the engine can be reached at all.
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
        reader: int | None = None,
    ) -> Result[None, OpenError | NewerReader]:
        """End a generation.

        Parameters
        ----------
        address, generation_id, deadline
            Which one, and until when to try.
        reader : int or None
            Where given, the engine does it only while no later reading has begun, so
            that a paused node can't cancel what its caller reads through another.
        """
        path = f"/generations/{quote(generation_id, safe='')}"
        if reader is not None:
            path = f"{path}?reader={reader}"
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
        """Ask for the load report."""
        answer = await self._get(address, "/load", deadline)
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(msgspec.json.decode(answer.ok_value.body, type=EngineReport))
        except msgspec.MsgspecError as exc:
            return Err(BadReply(reason="bad_report", detail=str(exc)))

    async def cache_events(
        self, address: Address, after: int, *, deadline: float
    ) -> Result[CacheEvents, EngineLost | BadReply]:
        """Ask for the cache events after a number."""
        answer = await self._get(address, f"/cache-events?after={after}", deadline)
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(msgspec.json.decode(answer.ok_value.body, type=CacheEvents))
        except msgspec.MsgspecError as exc:
            return Err(BadReply(reason="bad_events", detail=str(exc)))

    async def order(
        self, address: Address, order: EngineOrder, *, deadline: float
    ) -> Result[None, OldFencing | OrderExpired | EngineLost | BadReply]:
        """Give an order; ``EngineLost`` leaves open whether it was carried out."""
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
            return Err(OldFencing(fencing=_refusal(answer.ok_value.body).fencing))
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
        named = stream.headers.get(GENERATION_HEADER)
        if named != generation_id:
            # Tokens of another generation would be spliced into this answer.
            stream.close()
            return Err(BadReply(reason="other_generation", detail=str(named)[:80]))
        number = stream.headers.get(READER_HEADER, "")
        return Ok(
            TokenReader(
                stream=stream,
                incarnation=stream.headers.get(INCARNATION_HEADER, ""),
                reader=int(number) if number.isdecimal() else None,
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
        refusal = _refusal(body.ok_value)
        if refusal.not_run:
            return Err(
                EngineRefused(reason=refusal.reason, retry_after=refusal.retry_after)
            )
        return Err(BadReply(reason="status", detail=f"status {stream.status}"))


def _refusal(body: bytes) -> _Refusal:
    try:
        return msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return _Refusal()
