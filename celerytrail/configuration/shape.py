"""Turning JSON values into the document's frozen types, with every misfit reported.

A decoder that stops at its first error would have an operator mend a document one
field at a time; this walks the whole value and collects what does not fit.
"""

from __future__ import annotations

import dataclasses
import functools
import math
import sys
import types
import typing
from typing import Any, Literal, Union

from ..types import Finding

# Longer texts are digests of keys, of which no two are the same.
MAX_SHARED_CHARS = 64

_MISSING = object()


def build(kind: Any, value: object, place: str, findings: list[Finding]) -> Any:
    """Turn a JSON value into a type, adding to ``findings`` what does not fit.

    Parameters
    ----------
    kind : type
        A data class, ``tuple[X, ...]``, ``X | None``, ``Literal`` or a plain type.
    value : object
        What JSON gave.
    place : str
        Where the value stands, such as ``organisations[2].weight``; empty at the top.
    findings : list of Finding
        Where findings are added.

    Returns
    -------
    object
        The value as ``kind``. What does not fit is replaced by something harmless of
        the right type, so that later checks can go on to the rest.
    """
    if dataclasses.is_dataclass(kind):
        return _build_object(kind, value, place, findings)
    origin = typing.get_origin(kind)
    if origin is tuple:
        return build_list(typing.get_args(kind)[0], value, place, findings)
    if origin in (Union, types.UnionType):
        if value is None:
            return None
        return build(typing.get_args(kind)[0], value, place, findings)
    if origin is Literal:
        choices = typing.get_args(kind)
        if value not in choices:
            told = ", ".join(repr(choice) for choice in choices)
            findings.append(Finding(place=place, problem=f"must be one of {told}"))
            return choices[0]
        return value
    return _build_plain(kind, value, place, findings)


@functools.cache
def hints(kind: type) -> dict[str, tuple[Any, object]]:
    """Return each field of a data class with its type and default."""
    types_by_name = typing.get_type_hints(kind)
    found: dict[str, tuple[Any, object]] = {}
    for field in dataclasses.fields(kind):
        default: object = _MISSING
        if field.default is not dataclasses.MISSING:
            default = field.default
        found[field.name] = (types_by_name[field.name], default)
    return found


def is_required(kind: type, name: str) -> bool:
    """Return whether a field must be given."""
    return hints(kind)[name][1] is _MISSING


def _build_object(
    kind: Any, value: object, place: str, findings: list[Finding]
) -> object:
    if not isinstance(value, dict):
        problem = f"must be an object, not {_told(value)}"
        findings.append(Finding(place=place or "document", problem=problem))
        return build(kind, {}, place, [])
    fields = hints(kind)
    for name in value:
        if name not in fields:
            known = ", ".join(fields)
            findings.append(
                Finding(
                    place=_inside(place, str(name)),
                    problem=f"no such field; there are {known}",
                )
            )
    given: dict[str, object] = {}
    for name, (wanted, default) in fields.items():
        if name in value:
            inner = _inside(place, name)
            given[name] = build(wanted, value[name], inner, findings)
        elif default is _MISSING:
            problem = "is missing; it must be given"
            findings.append(Finding(place=_inside(place, name), problem=problem))
            given[name] = build(wanted, None, "", [])
    return kind(**given)


def build_list(
    item_kind: Any, value: object, place: str, findings: list[Finding]
) -> tuple[Any, ...]:
    """Turn a JSON list into a tuple of one type; see `build`."""
    if not isinstance(value, list):
        findings.append(
            Finding(place=place, problem=f"must be a list, not {_told(value)}")
        )
        return ()
    items = tuple(
        build(item_kind, item, f"{place}[{number}]", findings)
        for number, item in enumerate(value)
    )
    if item_kind is str and all(len(item) < MAX_SHARED_CHARS for item in items):
        return _shared(items)
    return items


@functools.lru_cache(maxsize=1024)
def _shared(items: tuple[str, ...]) -> tuple[str, ...]:
    """Return one object for equal lists: thousands of entries name the same models."""
    return items


def _build_plain(
    kind: type, value: object, place: str, findings: list[Finding]
) -> object:
    # In Python a bool is an int; in JSON true is not a number.
    if kind is str and isinstance(value, str):
        # Regions, failure domains and models repeat in thousands of entries.
        return sys.intern(value) if len(value) < MAX_SHARED_CHARS else value
    if kind is bool and isinstance(value, bool):
        return value
    if kind is int and isinstance(value, int) and not isinstance(value, bool):
        return value
    if kind is float and isinstance(value, int | float) and not isinstance(value, bool):
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        if not math.isfinite(number):
            findings.append(Finding(place=place, problem="must be a finite number"))
            return 0.0
        return number
    wanted = {str: "text", bool: "true or false", int: "a whole number"}
    findings.append(
        Finding(
            place=place,
            problem=f"must be {wanted.get(kind, 'a number')}, not {_told(value)}",
        )
    )
    return kind()


def _inside(place: str, name: str) -> str:
    return f"{place}.{name}" if place else name


def _told(value: object) -> str:
    """Say what a JSON value is, without repeating all of a large one."""
    if value is None:
        return "null"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:60]}..."
