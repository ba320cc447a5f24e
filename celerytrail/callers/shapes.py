"""How tokens are wrapped for callers: the shapes that completion clients expect."""

from __future__ import annotations

import abc
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..engines.wire import Finished, Tokens

EVENT_STREAM_TYPE = "text/event-stream; charset=utf-8"
DONE_EVENT = b"data: [DONE]\n\n"
_MARK = "\u0000token\u0000"
_decode_text = msgspec.json.Decoder(str).decode


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """What all parts of one answer share.

    Parameters
    ----------
    answer_id : str
        The answer's id towards the caller.
    model : str
        As the caller wrote it.
    created : int
        Wall time, in whole seconds.
    """

    answer_id: str
    model: str
    created: int


class Shape(abc.ABC):
    """One way to wrap an answer's tokens."""

    name: str
    answer_prefix: str
    chunk_kind: str
    whole_kind: str

    @abc.abstractmethod
    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return the one choice of a streamed chunk."""

    @abc.abstractmethod
    def whole_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return the one choice of a whole answer."""

    def opening(self, head: AnswerHead) -> dict[str, object] | None:
        """Return a chunk that comes before the first token, if there is one."""
        return None

    def chunk(
        self, head: AnswerHead, text: str, finish_reason: str | None
    ) -> dict[str, object]:
        """Return one streamed chunk."""
        return {
            "id": head.answer_id,
            "object": self.chunk_kind,
            "created": head.created,
            "model": head.model,
            "choices": [self.chunk_choice(text, finish_reason)],
        }

    def usage_chunk(self, head: AnswerHead, finished: Finished) -> dict[str, object]:
        """Return the chunk that tells the usage."""
        return {
            **self.chunk(head, "", None),
            "choices": [],
            "usage": usage(finished),
        }

    def whole(
        self, head: AnswerHead, tokens: Iterable[bytes], finished: Finished
    ) -> dict[str, object]:
        """Return a whole answer from its tokens' JSON strings."""
        text = "".join(_decode_text(token) for token in tokens)
        return {
            "id": head.answer_id,
            "object": self.whole_kind,
            "created": head.created,
            "model": head.model,
            "choices": [self.whole_choice(text, finished.end)],
            "usage": usage(finished),
        }


class CompletionShape(Shape):
    """The shape of ``/v1/completions``."""

    name = "completion"
    answer_prefix = "cmpl-"
    chunk_kind = "text_completion"
    whole_kind = "text_completion"

    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return a choice with the text itself."""
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def whole_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return the same with all the text."""
        return self.chunk_choice(text, finish_reason)


class ChatShape(Shape):
    """The shape of ``/v1/chat/completions``."""

    name = "chat"
    answer_prefix = "chatcmpl-"
    chunk_kind = "chat.completion.chunk"
    whole_kind = "chat.completion"

    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return a choice with a delta; the last delta is empty."""
        delta = {"content": text} if finish_reason is None else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def whole_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return a choice with the assistant's message."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}

    def opening(self, head: AnswerHead) -> dict[str, object] | None:
        """Return the chunk that names the role."""
        chunk = self.chunk(head, "", None)
        delta = {"role": "assistant", "content": ""}
        chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        return chunk


SHAPES: dict[str, Shape] = {
    shape.name: shape for shape in (CompletionShape(), ChatShape())
}


def usage(finished: Finished) -> dict[str, int]:
    """Return the usage counts of an ended generation."""
    n_prompt = finished.n_prompt_tokens or 0
    return {
        "prompt_tokens": n_prompt,
        "completion_tokens": finished.n_tokens,
        "total_tokens": n_prompt + finished.n_tokens,
    }


class EventWriter:
    """Makes the events of one streamed answer.

    The JSON around a token is made once, and the token's own JSON, checked when it
    was read, is put between unread: this is the path that every token takes.

    Parameters
    ----------
    shape : Shape
        How tokens are wrapped.
    head : AnswerHead
        What all chunks share.
    ticket : str
        The ticket's text, for the event ids.
    """

    def __init__(self, *, shape: Shape, head: AnswerHead, ticket: str) -> None:
        self._shape = shape
        self._head = head
        self._ticket = ticket
        chunk = msgspec.json.encode(shape.chunk(head, _MARK, None))
        before, after = chunk.split(msgspec.json.encode(_MARK))
        self._id = f"id: {ticket}.".encode()
        self._before = b"\ndata: " + before
        self._after = after + b"\n\n"

    def opening(self, offset: int) -> bytes:
        """Return what comes before the first token of a new answer."""
        chunk = self._shape.opening(self._head)
        return b"" if chunk is None else self._event(offset, chunk)

    def tokens(self, tokens: Tokens) -> bytes:
        """Return one event for each token, ready to be written at once."""
        number = tokens.offset
        parts = []
        for token in tokens.tokens:
            number += 1
            parts.append(
                b"%b%d%b%b%b" % (self._id, number, self._before, token, self._after)
            )
        return b"".join(parts)

    def ending(self, finished: Finished, *, does_include_usage: bool) -> bytes:
        """Return the events that end a whole answer."""
        n_tokens = finished.n_tokens
        chunk = self._shape.chunk(self._head, "", finished.end)
        parts = [self._event(n_tokens, chunk)]
        if does_include_usage:
            parts.append(
                self._event(n_tokens, self._shape.usage_chunk(self._head, finished))
            )
        parts.append(DONE_EVENT)
        return b"".join(parts)

    def error(self, offset: int, error: dict[str, object]) -> bytes:
        """Return the event that ends an answer which is not whole."""
        body = msgspec.json.encode({"error": error})
        number = str(offset).encode()
        return b"event: error\n" + self._id + number + b"\ndata: " + body + b"\n\n"

    def _event(self, offset: int, chunk: dict[str, object]) -> bytes:
        body = msgspec.json.encode(chunk)
        return self._id + str(offset).encode() + b"\ndata: " + body + b"\n\n"
