"""The rows and object names under which the platform keeps the configuration."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..types import Finding
from .sections import is_digest

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
OBJECT_PREFIX = "config/sections/"
MAX_NOTE_CHARS = 500
MAX_NAME_CHARS = 100


def history_key(version: int) -> str:
    """Return the key of a version's row; keys sort as versions do."""
    return f"{HISTORY_PREFIX}{version:010}"


def object_name(digest: str) -> str:
    """Return the name of a section, index or root in the object store."""
    return OBJECT_PREFIX + digest


@dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """An accepted version: what the head row and its history row say.

    Parameters
    ----------
    version : int
        1 for the first accepted document, then one more for each.
    root : str
        The digest of the document's root object.
    operation_id : str
        The id that the operator's form carried; by it a lost reply is settled.
    author : str
        The operator who had it accepted.
    at : float
        Wall time of acceptance, in seconds since the epoch.
    note : str
        Why, in the operator's words.
    """

    version: int
    root: str
    operation_id: str
    author: str
    at: float
    note: str = ""


def read_head(value: object, place: str) -> Result[Head, Finding]:
    """Read a head or history row; rows come from outside and are checked."""
    try:
        head = msgspec.convert(value, Head)
    except msgspec.ValidationError as exc:
        return Err(Finding(place=place, problem=f"can't be read: {exc}"))
    if head.version < 1 or not is_digest(head.root):
        return Err(Finding(place=place, problem="has no valid version and root"))
    return Ok(head)
