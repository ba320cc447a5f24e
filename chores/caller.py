"""A caller written from ``docs/callers.md`` alone; the demo and scenarios use it."""

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
    """The system's answer was not the one that the caller needed.

    Parameters
    ----------
    message : str
        For a person.
    status : int
        The answer's status; 0 where there was none.
    error : Mapping
        The answer's error object; empty where there was none.
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
    """One server-sent event."""

    id: str = ""
    name: str = "message"
    data: str = ""


@dataclass(kw_only=True, slots=True)
class Draft:
    """A generation as its caller has received it so far."""

    tokens: list[str] = field(default_factory=list)
    last_event_id: str = ""
    answer_id: str = ""
    is_whole: bool = False
    error: Mapping[str, object] | None = None
    nodes: list[str] = field(default_factory=list)

    @property
    def generation_id(self) -> str:
        """Return the one generation that its tokens came from."""
        return self.answer_id.partition("-")[2]

    @property
    def text(self) -> str:
        """Return all tokens as one text."""
        return "".join(self.tokens)


class Caller:
    """One organisation's client.

    Parameters
    ----------
    key : str
        Its API key.
    known : tuple of Address
        Addresses to begin with; the system is then asked for more.
    network : Network or None
        What carries its connections; the machine's own by default.
    """

    def __init__(
        self, *, key: str, known: tuple[Address, ...], network: Network | None = None
    ) -> None:
        self._headers = {"authorization": f"Bearer {key}"}
        self._known = known
        self._client = HttpClient(process="caller", network=network)

    async def addresses(self) -> tuple[Address, ...]:
        """Ask any known address which ones to use now."""
        for address in self._known:
            asked = await self._client.request(
                address, "GET", "/v1/addresses", deadline=_deadline(2)
            )
            if isinstance(asked, Err) or asked.ok_value.status != 200:
                continue
            answer = msgspec.json.decode(asked.ok_value.body)
            return tuple(Address.parse(one["address"]) for one in answer["addresses"])
        raise CallerError("no known address answers")

    async def start(
        self, address: Address, model: str, prompt: str, n_max_tokens: int
    ) -> Stream:
        """Ask for a streamed completion."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": n_max_tokens,
            "stream": True,
        }
        headers = {**self._headers, "content-type": "application/json"}
        opened = await self._client.open(
            address,
            "POST",
            "/v1/completions",
            body=msgspec.json.encode(body),
            headers=headers,
            deadline=_deadline(60),
        )
        return await _good_stream(opened)

    async def resume(self, address: Address, draft: Draft) -> Stream:
        """Take up a draft again at any address, behind its last event."""
        ticket = draft.last_event_id.rpartition(".")[0]
        opened = await self._client.open(
            address,
            "GET",
            f"/v1/generations/{ticket}",
            headers={**self._headers, "last-event-id": draft.last_event_id},
            deadline=_deadline(60),
        )
        return await _good_stream(opened)

    async def follow(self, stream: Stream, draft: Draft) -> AsyncIterator[str]:
        """Read a stream into a draft, yielding each token."""
        async for event in events(stream):
            if event.data == DONE:
                draft.is_whole = True
                return
            value = msgspec.json.decode(event.data)
            if event.name == "error":
                draft.error = value["error"]
                return
            if event.id:
                draft.last_event_id = event.id
            if draft.answer_id not in ("", value["id"]):
                raise CallerError("the answer goes on from another generation")
            draft.answer_id = value["id"]
            token = value["choices"][0].get("text") or ""
            if token:
                draft.tokens.append(token)
                yield token

    async def cancel(self, address: Address, draft: Draft) -> int:
        """Cancel a draft; returns the answer's status."""
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
        """Call a plain service under an idempotency key."""
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
        """Ask what became of a keyed call."""
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


async def events(stream: Stream) -> AsyncIterator[SseEvent]:
    """Split a stream into server-sent events; ends early where it was cut."""
    buffer = b""
    while True:
        chunk = await stream.next_chunk()
        if isinstance(chunk, Err) or chunk.ok_value is None:
            return
        buffer += chunk.ok_value
        *blocks, buffer = buffer.split(b"\n\n")
        for block in blocks:
            event = _event(block.decode())
            if event.data:
                yield event


def _event(block: str) -> SseEvent:
    fields = {"id": "", "event": "message", "data": ""}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name] = value.removeprefix(" ")
    return SseEvent(id=fields["id"], name=fields["event"], data=fields["data"])


async def _good_stream(opened: object) -> Stream:
    if isinstance(opened, Err):
        raise CallerError(str(opened.err_value))
    stream: Stream = opened.ok_value  # type: ignore[attr-defined]
    if stream.status != 200:
        read = await stream.read(_deadline(5))
        body = read.ok_value if isinstance(read, Ok) else b"{}"
        error = msgspec.json.decode(body).get("error", {})
        raise CallerError(
            f"status {stream.status}: {error}", status=stream.status, error=error
        )
    return stream


def _deadline(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds
