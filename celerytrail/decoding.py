"""Decoding of bytes that other programs wrote."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import ParamSpec, TypeVar

import msgspec
from result import Err, Ok, Result

P = ParamSpec("P")
T = TypeVar("T")


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
            return Err(f"{type(exc).__name__}: {exc}")

    return decode_or_describe


@contained
def decode_json(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode JSON of a type; the error says what is wrong with it."""
    return Ok(msgspec.json.decode(data, type=kind))
