"""Response formats of the completion APIs: JSON bodies and server-sent events."""

from __future__ import annotations

import abc
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..engines.wire import Finished, Tokens

EVENT_STREAM_TYPE = "text/event-stream; charset=utf-8"
DONE_EVENT = b"data: [DONE]\n\n"
_TOKEN_PLACEHOLDER = "\u0000token\u0000"
_decode_text = msgspec.json.Decoder(str).decode


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerMetadata:
    """Fields common to all parts of one answer.

    Parameters
    ----------
    answer_id : str
        Id of the answer that the caller gets.
    model : str
        Name of the model as the caller wrote it.
    created : int
        Wall time when the answer began, in whole seconds.
    """

    answer_id: str
    model: str
    created: int


class Shape(abc.ABC):
    """Response format of one completion API.

    Attributes
    ----------
    name : str
        Name of the format, as in ``GenerationBody.shape`` and ``Ticket.shape``.
    answer_prefix : str
        Prefix of the answers' ids.
    chunk_object, response_object : str
        Value of the field ``object`` in a streamed chunk and in a complete response.
    """

    name: str
    answer_prefix: str
    chunk_object: str
    response_object: str

    @abc.abstractmethod
    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return the single choice of a streamed chunk."""

    @abc.abstractmethod
    def response_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return the single choice of a complete response."""

    def opening_chunk(self, head: AnswerMetadata) -> dict[str, object] | None:
        """Return the chunk to send before the first token, if there is one."""
        return None

    def chunk(
        self, head: AnswerMetadata, text: str, finish_reason: str | None
    ) -> dict[str, object]:
        """Return one streamed chunk."""
        return {
            "id": head.answer_id,
            "object": self.chunk_object,
            "created": head.created,
            "model": head.model,
            "choices": [self.chunk_choice(text, finish_reason)],
        }

    def usage_chunk(
        self, head: AnswerMetadata, finished: Finished
    ) -> dict[str, object]:
        """Return the chunk with the token usage."""
        return {
            **self.chunk(head, "", None),
            "choices": [],
            "usage": usage(finished),
        }

    def response(
        self, head: AnswerMetadata, tokens: Iterable[bytes], finished: Finished
    ) -> dict[str, object]:
        """Return a complete response built from the JSON strings of its tokens."""
        text = "".join(_decode_text(token) for token in tokens)
        return {
            "id": head.answer_id,
            "object": self.response_object,
            "created": head.created,
            "model": head.model,
            "choices": [self.response_choice(text, finished.end)],
            "usage": usage(finished),
        }


class CompletionShape(Shape):
    """Response format of ``/v1/completions``."""

    name = "completion"
    answer_prefix = "cmpl-"
    chunk_object = "text_completion"
    response_object = "text_completion"

    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return a choice with the text."""
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def response_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return a choice with the complete text."""
        return self.chunk_choice(text, finish_reason)


class ChatShape(Shape):
    """Response format of ``/v1/chat/completions``."""

    name = "chat"
    answer_prefix = "chatcmpl-"
    chunk_object = "chat.completion.chunk"
    response_object = "chat.completion"

    def chunk_choice(self, text: str, finish_reason: str | None) -> dict[str, object]:
        """Return a choice with a delta, which is empty in the last chunk."""
        delta = {"content": text} if finish_reason is None else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def response_choice(self, text: str, finish_reason: str) -> dict[str, object]:
        """Return a choice with the assistant's message."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": finish_reason}

    def opening_chunk(self, head: AnswerMetadata) -> dict[str, object] | None:
        """Return the chunk that sets the assistant's role."""
        chunk = self.chunk(head, "", None)
        delta = {"role": "assistant", "content": ""}
        chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        return chunk


SHAPES: dict[str, Shape] = {
    shape.name: shape for shape in (CompletionShape(), ChatShape())
}


def usage(finished: Finished) -> dict[str, int]:
    """Return the token usage of a finished generation."""
    n_prompt = finished.n_prompt_tokens or 0
    return {
        "prompt_tokens": n_prompt,
        "completion_tokens": finished.n_tokens,
        "total_tokens": n_prompt + finished.n_tokens,
    }


class EventWriter:
    """Encodes one streamed answer as server-sent events.

    The JSON around a token is encoded once per answer. The token's own JSON string was
    validated when it was read from the engine and is inserted without being parsed,
    because every token passes through here.

    Parameters
    ----------
    shape : Shape
        Response format.
    head : AnswerMetadata
        Fields common to all chunks.
    ticket : str
        Text of the ticket, for the event ids.
    """

    def __init__(self, *, shape: Shape, head: AnswerMetadata, ticket: str) -> None:
        self._shape = shape
        self._head = head
        self._ticket = ticket
        chunk = msgspec.json.encode(shape.chunk(head, _TOKEN_PLACEHOLDER, None))
        prefix, suffix = chunk.split(msgspec.json.encode(_TOKEN_PLACEHOLDER))
        self._id_prefix = f"id: {ticket}.".encode()
        self._data_prefix = b"\ndata: " + prefix
        self._data_suffix = suffix + b"\n\n"

    def opening(self, offset: int) -> bytes:
        """Return the event sent before the first token of a new answer, if any."""
        chunk = self._shape.opening_chunk(self._head)
        return b"" if chunk is None else self._event(offset, chunk)

    def tokens(self, tokens: Tokens) -> bytes:
        """Return one event per token, joined for a single write."""
        offset = tokens.offset
        parts = []
        for token in tokens.tokens:
            offset += 1
            parts.append(
                b"%b%d%b%b%b"
                % (self._id_prefix, offset, self._data_prefix, token, self._data_suffix)
            )
        return b"".join(parts)

    def ending(self, finished: Finished, *, does_include_usage: bool) -> bytes:
        """Return the events that end a complete answer."""
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
        """Return the event that ends an incomplete answer."""
        body = msgspec.json.encode({"error": error})
        offset_text = str(offset).encode()
        return (
            b"event: error\n"
            + self._id_prefix
            + offset_text
            + b"\ndata: "
            + body
            + b"\n\n"
        )

    def _event(self, offset: int, chunk: dict[str, object]) -> bytes:
        body = msgspec.json.encode(chunk)
        return self._id_prefix + str(offset).encode() + b"\ndata: " + body + b"\n\n"
