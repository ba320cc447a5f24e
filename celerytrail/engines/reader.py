"""Reads the lines of one token stream from one connection."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from ..decoding import contained
from ..http.client import Stream
from .wire import MAX_LINE_BYTES, BadReply, EngineEnd, EngineLost, Finished, StreamLine

_ENDS: dict[str, EngineEnd] = {
    "stop": "stop",
    "length": "length",
    "cancelled": "cancelled",
}
_line_decoder = msgspec.json.Decoder(StreamLine)


class TokenReader:
    """Reads a generation's lines over one connection, starting at an offset.

    Parameters
    ----------
    stream : Stream
        The engine's response.
    incarnation : str
        The engine process that sends it.
    number : int or None
        The number that the engine gave to this reader; None if it gave none.
    """

    def __init__(self, *, stream: Stream, incarnation: str, number: int | None) -> None:
        self.incarnation = incarnation
        self.number = number
        self._stream = stream
        self._partial_line = b""

    async def next_lines(
        self, deadline: float | None
    ) -> Result[list[StreamLine | Finished], EngineLost | BadReply]:
        """Return all lines that are ready, at least one.

        Parameters
        ----------
        deadline : float or None
            Monotonic time at which to stop waiting.
        """
        while True:
            chunk = await self._stream.next_chunk(deadline)
            if isinstance(chunk, Err):
                lost = chunk.err_value
                return Err(EngineLost(reason=lost.reason, detail=lost.detail))
            data = chunk.ok_value
            if data is None:
                # The response ended properly, but without the generation's end line.
                return Err(BadReply(reason="no_end"))
            raw_lines = (
                (self._partial_line + data).split(b"\n")
                if self._partial_line
                else data.split(b"\n")
            )
            self._partial_line = raw_lines.pop()
            if len(self._partial_line) > MAX_LINE_BYTES:
                self.close()
                return Err(BadReply(reason="line_too_long"))
            if raw_lines:
                return self._decode(raw_lines)

    def close(self) -> None:
        """Stop reading; the generation continues at the engine."""
        self._stream.close()

    async def finish(self, deadline: float | None) -> None:
        """Read the end of the response, so that the connection can be reused."""
        tail = await self._stream.next_chunk(deadline)
        if tail != Ok(None):
            self._stream.close()

    def _decode(
        self, raw_lines: list[bytes]
    ) -> Result[list[StreamLine | Finished], BadReply]:
        lines: list[StreamLine | Finished] = []
        for raw_line in raw_lines:
            decoded = _decode_line(raw_line)
            if isinstance(decoded, Err):
                self.close()
                if lines:
                    # The lines before the bad one are valid and are returned. As the
                    # stream is closed, the next read fails and the caller reopens it
                    # at the bad line.
                    return Ok(lines)
                return Err(BadReply(reason="bad_line", detail=decoded.err_value))
            line = decoded.ok_value
            if line.end is None:
                lines.append(line)
                continue
            n_prompt = line.n_prompt_tokens
            lines.append(
                Finished(
                    end=_ENDS[line.end],
                    n_tokens=line.n_tokens,
                    n_prompt_tokens=n_prompt if n_prompt >= 0 else None,
                )
            )
        return Ok(lines)


@contained
def _decode_line(raw_line: bytes) -> Result[StreamLine, str]:
    line = _line_decoder.decode(raw_line)
    problem = _find_problem(line)
    return Ok(line) if problem is None else Err(problem)


def _find_problem(line: StreamLine) -> str | None:
    if line.end is not None:
        if line.end not in _ENDS:
            return f"end is {line.end[:20]!r}"
        return None if line.n_tokens >= 0 else "the end has no n_tokens"
    if line.offset < 0:
        return "the token has no offset"
    token = bytes(line.token)
    if token[:1] != b'"':
        return "the token is not a string"
    if not token.isascii():
        token.decode("utf-8")
    return None
