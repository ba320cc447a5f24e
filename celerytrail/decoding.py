"""Decoding of bytes that other programs wrote."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Annotated, ParamSpec, TypeVar

import msgspec
from result import Err, Ok, Result

P = ParamSpec("P")
T = TypeVar("T")

# An error may quote the whole of a value, and is logged.
MAX_PROBLEM_LENGTH = 300
# JSON may state integers of any size. Larger ones than these are no exact JSON numbers
# everywhere, and neither fit into the nodes' own messages nor into floating-point
# numbers, so that an error would follow wherever they are used.
MAX_INTEGER = 2**53 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Longest time that another program may state, in milliseconds.
MAX_MILLISECONDS = 1e12
Milliseconds = Annotated[float, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]


def contained(decode: Callable[P, Result[T, str]]) -> Callable[P, Result[T, str]]:
    """Return a decoder from which no error escapes, whatever the bytes are.

    An error would end the task that reads them. No list of exceptions is complete: JSON
    that is nested deeper than Python's recursion limit raises `RecursionError`.
    """

    @functools.wraps(decode)
    def decode_or_describe(*args: P.args, **kwargs: P.kwargs) -> Result[T, str]:
        try:
            return decode(*args, **kwargs)
        except Exception as exc:
            return Err(f"{type(exc).__name__}: {exc}"[:MAX_PROBLEM_LENGTH])

    return decode_or_describe


@contained
def decode_json(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode JSON of a type; the error says what is wrong with it."""
    return Ok(msgspec.json.decode(data, type=kind))
