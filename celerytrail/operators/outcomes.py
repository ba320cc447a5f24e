"""How loading or accepting a document can end, typed."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration.document import Document
from ..configuration.records import Head
from ..platform.client import Unavailable
from ..types import Finding


@dataclass(frozen=True, kw_only=True, slots=True)
class Invalid:
    """The document was not taken; nothing took effect."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Somebody else's version came first; nothing of one's own took effect.

    Parameters
    ----------
    head : Head
        The newest version.
    document : Document or None
        Its document; None where it could not be loaded just now.
    """

    head: Head
    document: Document | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptInDoubt:
    """May or may not take effect; ask again with the same operation id."""

    operation_id: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Damaged:
    """What the platform returned is not what was written there."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Loaded:
    """An accepted version with its document; no head before the first one."""

    head: Head | None
    document: Document

    @property
    def version(self) -> int:
        """Return the version; 0 before the first one."""
        return self.head.version if self.head is not None else 0


LoadError = Unavailable | Damaged
AcceptError = Invalid | Conflict | AcceptInDoubt | LoadError
