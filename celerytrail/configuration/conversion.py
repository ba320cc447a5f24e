"""Conversion of JSON values into the document's frozen types, with all errors reported.

With a decoder that stops at the first error, an operator would have to correct a
document one field at a time. This one walks the whole value and collects the findings.
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

# Texts of this length and more are digests of keys, which are all different, so
# interning them would save nothing.
MAX_INTERNED_CHARS = 64

_MISSING = object()


def build(target: Any, value: object, place: str, findings: list[Finding]) -> Any:
    """Convert a JSON value into a type, adding mismatches to ``findings``.

    Parameters
    ----------
    target : type
        A data class, ``tuple[X, ...]``, ``X | None``, ``Literal`` or a plain type.
    value : object
        The decoded JSON value.
    place : str
        The value's place, such as ``organisations[2].weight``; empty at the top.
    findings : list of Finding
        The list to which findings are added.

    Returns
    -------
    object
        The value as ``target``. A mismatch is replaced by a harmless value of
        the right type, so that later checks can cover the rest.
    """
    if dataclasses.is_dataclass(target):
        return _build_object(target, value, place, findings)
    origin = typing.get_origin(target)
    if origin is tuple:
        return build_list(typing.get_args(target)[0], value, place, findings)
    if origin in (Union, types.UnionType):
        if value is None:
            return None
        return build(typing.get_args(target)[0], value, place, findings)
    if origin is Literal:
        choices = typing.get_args(target)
        if value not in choices:
            allowed = ", ".join(repr(choice) for choice in choices)
            findings.append(Finding(place=place, problem=f"must be one of {allowed}"))
            return choices[0]
        return value
    return _build_plain(target, value, place, findings)


@functools.cache
def typed_fields(data_class: type) -> dict[str, tuple[Any, object]]:
    """Return the type and default of each field of a data class."""
    types_by_name = typing.get_type_hints(data_class)
    fields: dict[str, tuple[Any, object]] = {}
    for field in dataclasses.fields(data_class):
        default: object = _MISSING
        if field.default is not dataclasses.MISSING:
            default = field.default
        fields[field.name] = (types_by_name[field.name], default)
    return fields


def is_required(data_class: type, name: str) -> bool:
    """Return whether a field has no default."""
    return typed_fields(data_class)[name][1] is _MISSING


def _build_object(
    target: Any, value: object, place: str, findings: list[Finding]
) -> object:
    if not isinstance(value, dict):
        problem = f"must be an object, not {_describe(value)}"
        findings.append(Finding(place=place or "document", problem=problem))
        return build(target, {}, place, [])
    fields = typed_fields(target)
    for name in value:
        if name not in fields:
            known = ", ".join(fields)
            findings.append(
                Finding(
                    place=_join_place(place, str(name)),
                    problem=f"no such field; there are {known}",
                )
            )
    given: dict[str, object] = {}
    for name, (field_type, default) in fields.items():
        if name in value:
            inner = _join_place(place, name)
            given[name] = build(field_type, value[name], inner, findings)
        elif default is _MISSING:
            problem = "is missing; it must be given"
            findings.append(Finding(place=_join_place(place, name), problem=problem))
            given[name] = build(field_type, None, "", [])
    return target(**given)


def build_list(
    item_type: Any, value: object, place: str, findings: list[Finding]
) -> tuple[Any, ...]:
    """Convert a JSON list into a tuple of one type; see `build`."""
    if not isinstance(value, list):
        findings.append(
            Finding(place=place, problem=f"must be a list, not {_describe(value)}")
        )
        return ()
    items = tuple(
        build(item_type, item, f"{place}[{number}]", findings)
        for number, item in enumerate(value)
    )
    if item_type is str and all(len(item) < MAX_INTERNED_CHARS for item in items):
        return _deduplicate(items)
    return items


@functools.lru_cache(maxsize=1024)
def _deduplicate(items: tuple[str, ...]) -> tuple[str, ...]:
    """Return the same object for equal lists.

    Thousands of entries name the same models.
    """
    return items


def _build_plain(
    target: type, value: object, place: str, findings: list[Finding]
) -> object:
    # In Python a bool is an int, but in JSON ``true`` is not a number.
    if target is str and isinstance(value, str):
        # Regions, failure domains and models repeat in thousands of entries.
        return sys.intern(value) if len(value) < MAX_INTERNED_CHARS else value
    if target is bool and isinstance(value, bool):
        return value
    if target is int and isinstance(value, int) and not isinstance(value, bool):
        return value
    if (
        target is float
        and isinstance(value, int | float)
        and not isinstance(value, bool)
    ):
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        if not math.isfinite(number):
            findings.append(Finding(place=place, problem="must be a finite number"))
            return 0.0
        return number
    names = {str: "text", bool: "true or false", int: "a whole number"}
    findings.append(
        Finding(
            place=place,
            problem=f"must be {names.get(target, 'a number')}, not {_describe(value)}",
        )
    )
    return target()


def _join_place(place: str, name: str) -> str:
    return f"{place}.{name}" if place else name


def _describe(value: object) -> str:
    """Return a short description of a JSON value."""
    if value is None:
        return "null"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:60]}..."
