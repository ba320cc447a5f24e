"""A caller that relies on ``docs/callers.md`` alone, for the demo and scenarios."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok

from celerytrail.exceptions import CelerytrailError
from celerytrail.http.client import HttpClient, Stream
from celerytrail.http.messages import Response
from celerytrail.http.network import Network
from celerytrail.types import Address

DONE = "[DONE]"


class CallerError(CelerytrailError):
    """A request failed, or its answer is not what the caller expects.

    Parameters
    ----------
    message : str
        Description of the failure for people.
    status : int
        Status of the answer; 0 without one.
    error : Mapping
        Error object of the answer; empty without one.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int = 0,
        error: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.error = error or {}


@dataclass(frozen=True, kw_only=True, slots=True)
class SseEvent:
    """Fields of a server-sent event."""

    id: str = ""
    name: str = "message"
    data: str = ""


@dataclass(kw_only=True, slots=True)
class Draft:
    """What a caller has received of a generation."""

    tokens: list[str] = field(default_factory=list)
    last_event_id: str = ""
    completion_id: str = ""
    is_whole: bool = False
    error: Mapping[str, object] | None = None
    nodes: list[str] = field(default_factory=list)

    @property
    def generation_id(self) -> str:
        """Return the id of the generation that the tokens come from."""
        return self.completion_id.partition("-")[2]

    @property
    def text(self) -> str:
        """Return the received tokens as one string."""
        return "".join(self.tokens)


class Caller:
    """A client of the system with one organisation's API key.

    Parameters
    ----------
    key : str
        API key of the organisation.
    known : tuple of Address
        Bootstrap addresses, which are queried for the current ones.
    network : Network or None
        Network for the connections; that of the machine by default.
    """

    def __init__(
        self, *, key: str, known: tuple[Address, ...], network: Network | None = None
    ) -> None:
        self._headers = {"authorization": f"Bearer {key}"}
        self._bootstrap_addresses = known
        self._client = HttpClient(process="caller", network=network)

    async def addresses(self) -> tuple[Address, ...]:
        """Return the current addresses, from the first known address that answers.

        Raises
        ------
        CallerError
            When no known address answers with status 200.
        """
        for address in self._bootstrap_addresses:
            result = await self._client.request(
                address, "GET", "/v1/addresses", deadline=_deadline(2)
            )
            if isinstance(result, Err) or result.ok_value.status != 200:
                continue
            answer = msgspec.json.decode(result.ok_value.body)
            return tuple(Address.parse(item["address"]) for item in answer["addresses"])
        raise CallerError("no known address returned the current addresses")

    async def start(
        self, address: Address, model: str, prompt: str, n_max_tokens: int
    ) -> Stream:
        """Request a streamed completion; return its stream."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": n_max_tokens,
            "stream": True,
        }
        headers = {**self._headers, "content-type": "application/json"}
        result = await self._client.open(
            address,
            "POST",
            "/v1/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            deadline=_deadline(60),
        )
        return await _accepted_stream(result)

    async def resume(self, address: Address, draft: Draft) -> Stream:
        """Resume a draft at any address, after its last received event."""
        ticket = draft.last_event_id.rpartition(".")[0]
        result = await self._client.open(
            address,
            "GET",
            f"/v1/generations/{ticket}",
            headers={**self._headers, "last-event-id": draft.last_event_id},
            deadline=_deadline(60),
        )
        return await _accepted_stream(result)

    async def follow(self, stream: Stream, draft: Draft) -> AsyncIterator[str]:
        """Read a stream into a draft and yield each token.

        Raises
        ------
        CallerError
            When an event belongs to another generation than the draft.
        """
        async for event in read_events(stream):
            if event.data == DONE:
                draft.is_whole = True
                return
            value = msgspec.json.decode(event.data)
            if event.name == "error":
                draft.error = value["error"]
                return
            if event.id:
                draft.last_event_id = event.id
            if draft.completion_id not in ("", value["id"]):
                raise CallerError("the stream continues with another generation")
            draft.completion_id = value["id"]
            token = value["choices"][0].get("text") or ""
            if token:
                draft.tokens.append(token)
                yield token

    async def cancel(self, address: Address, draft: Draft) -> int:
        """Cancel a draft; return the status of the answer."""
        ticket = draft.last_event_id.rpartition(".")[0]
        answer = await self._client.request(
            address,
            "DELETE",
            f"/v1/generations/{ticket}",
            headers=self._headers,
            deadline=_deadline(30),
        )
        if isinstance(answer, Err):
            raise CallerError(str(answer.err_value))
        return answer.ok_value.status

    async def call(
        self, address: Address, service: str, operation: str, key: str, value: object
    ) -> Response:
        """Call a plain service with an idempotency key."""
        answer = await self._client.request_json(
            address,
            "POST",
            f"/v1/services/{service}/{operation}",
            value,
            headers={**self._headers, "idempotency-key": key},
            deadline=_deadline(30),
        )
        if isinstance(answer, Err):
            raise CallerError(str(answer.err_value))
        return answer.ok_value

    async def status(self, address: Address, service: str, key: str) -> Response:
        """Request the status of a call by its idempotency key."""
        answer = await self._client.request(
            address,
            "GET",
            f"/v1/services/{service}/calls/{key}",
            headers=self._headers,
            deadline=_deadline(30),
        )
        if isinstance(answer, Err):
            raise CallerError(str(answer.err_value))
        return answer.ok_value

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()


async def read_events(stream: Stream) -> AsyncIterator[SseEvent]:
    """Yield the server-sent events of a stream until it ends or fails."""
    buffer = b""
    while True:
        chunk = await stream.next_chunk()
        if isinstance(chunk, Err) or chunk.ok_value is None:
            return
        buffer += chunk.ok_value
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            event = _parse_event(block.decode())
            if event.data:
                yield event


def _parse_event(block: str) -> SseEvent:
    fields = {"id": "", "event": "message", "data": ""}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name] = value.removeprefix(" ")
    return SseEvent(id=fields["id"], name=fields["event"], data=fields["data"])


async def _accepted_stream(result: object) -> Stream:
    if isinstance(result, Err):
        raise CallerError(str(result.err_value))
    stream: Stream = result.ok_value  # type: ignore[attr-defined]
    if stream.status != 200:
        body_result = await stream.read(_deadline(5))
        body = body_result.ok_value if isinstance(body_result, Ok) else b"{}"
        error = msgspec.json.decode(body).get("error", {})
        raise CallerError(
            f"status {stream.status}: {error}", status=stream.status, error=error
        )
    return stream


def _deadline(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds
