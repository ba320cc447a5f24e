"""Typed outcomes of loading and accepting a document."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration.document import Document
from ..configuration.records import Head
from ..platform.client import Unavailable
from ..types import Finding


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The document failed validation; nothing took effect."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another version was accepted first; this one had no effect.

    Parameters
    ----------
    head : Head
        The newest version.
    document : Document or None
        The newest version's document; None where it could not be loaded.
    """

    head: Head
    document: Document | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptInDoubt:
    """The version may or may not take effect.

    A retry with the same operation id resolves the doubt.
    """

    operation_id: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Damaged:
    """The platform returned something other than what was written to it."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Loaded:
    """An accepted version with its document.

    Before the first version, there is no head and the document is empty.
    """

    head: Head | None
    document: Document

    @property
    def version(self) -> int:
        """Return the version number; 0 before the first version."""
        return self.head.version if self.head is not None else 0


LoadError = Unavailable | Damaged
AcceptError = Invalid | Conflict | AcceptInDoubt | LoadError
