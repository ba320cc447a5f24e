"""The row keys and object names of the configuration at the platform."""

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
    """Return the key of a version's history row; keys sort in order of versions."""
    return f"{HISTORY_PREFIX}{version:010}"


def object_name(digest: str) -> str:
    """Return the name of a section, index or root in the object store."""
    return OBJECT_PREFIX + digest


@dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """An accepted version, as stored in the head row and its history row.

    Parameters
    ----------
    version : int
        The version number, from 1 and increasing by 1.
    root : str
        The digest of the document's root object.
    operation_id : str
        The id from the operator's form. After a lost reply it shows whether the
        operation was carried out.
    author : str
        The operator who submitted it.
    at : float
        Wall time of acceptance, in seconds since the epoch.
    note : str
        The operator's reason for the change.
    """

    version: int
    root: str
    operation_id: str
    author: str
    at: float
    note: str = ""


def read_head(value: object, place: str) -> Result[Head, Finding]:
    """Read and check a head or history row; the platform's rows aren't trusted."""
    try:
        head = msgspec.convert(value, Head)
    except msgspec.ValidationError as exc:
        return Err(Finding(place=place, problem=f"can't be read: {exc}"))
    if head.version < 1 or not is_digest(head.root):
        return Err(Finding(place=place, problem="has no valid version and root"))
    return Ok(head)
