"""Reads the lines of one token stream from one connection."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from ..http.client import Stream
from .wire import MAX_LINE_BYTES, BadReply, EngineEnd, EngineLost, Finished, Line

_ENDS: dict[str, EngineEnd] = {
    "stop": "stop",
    "length": "length",
    "cancelled": "cancelled",
}
_decode_line = msgspec.json.Decoder(Line).decode


class TokenReader:
    """One reading of a generation, from one offset on.

    Parameters
    ----------
    stream : Stream
        The engine's answer.
    incarnation : str
        The engine process that sends it.
    reader : int or None
        The number the engine gave this reading, where it does.
    """

    def __init__(self, *, stream: Stream, incarnation: str, reader: int | None) -> None:
        self.incarnation = incarnation
        self.reader = reader
        self._stream = stream
        self._rest = b""

    async def next_lines(
        self, deadline: float | None
    ) -> Result[list[Line | Finished], EngineLost | BadReply]:
        """Return all lines that are ready, at least one.

        Parameters
        ----------
        deadline : float or None
            Monotonic time until which to wait.
        """
        while True:
            chunk = await self._stream.next_chunk(deadline)
            if isinstance(chunk, Err):
                lost = chunk.err_value
                return Err(EngineLost(reason=lost.reason, detail=lost.detail))
            data = chunk.ok_value
            if data is None:
                # A proper HTTP end without the engine's own end is a broken engine.
                return Err(BadReply(reason="no_end"))
            pieces = (
                (self._rest + data).split(b"\n") if self._rest else data.split(b"\n")
            )
            self._rest = pieces.pop()
            if len(self._rest) > MAX_LINE_BYTES:
                self.close()
                return Err(BadReply(reason="line_too_long"))
            if pieces:
                return self._decode(pieces)

    def close(self) -> None:
        """Stop reading; the generation goes on at the engine."""
        self._stream.close()

    async def finish(self, deadline: float | None) -> None:
        """Read the proper HTTP end, after which the connection can be reused."""
        tail = await self._stream.next_chunk(deadline)
        if tail != Ok(None):
            self._stream.close()

    def _decode(self, pieces: list[bytes]) -> Result[list[Line | Finished], BadReply]:
        lines: list[Line | Finished] = []
        for piece in pieces:
            try:
                line = _decode_line(piece)
                problem = _problem(line)
            except (msgspec.MsgspecError, UnicodeError) as exc:
                problem = str(exc)
            if problem is not None:
                self.close()
                if lines:
                    # What came before the bad line is good; it is handed on, and the
                    # closed stream makes the reader read again from here.
                    return Ok(lines)
                return Err(BadReply(reason="bad_line", detail=problem))
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


def _problem(line: Line) -> str | None:
    if line.end is not None:
        if line.end not in _ENDS:
            return f"end is {line.end[:20]!r}"
        return None if line.n_tokens >= 0 else "an end without n_tokens"
    if line.offset < 0:
        return "a token without an offset"
    token = bytes(line.token)
    if token[:1] != b'"':
        return "a token that is no string"
    if not token.isascii():
        token.decode("utf-8")
    return None
