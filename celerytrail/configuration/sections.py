"""The document as a tree of content-addressed objects.

Entries are assigned to sections by a hash of their key, sections to indexes, and
indexes to one root. An object's name is the SHA-256 of its bytes. A change of one
organisation makes one new section, index and root, and 330 nodes fetch these three
objects instead of a document of several megabytes. The encoding of sections is
canonical (sorted by key), so nodes keep no encoded sections: they encode one again when
a peer requests it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any, get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

from ..types import Finding
from .conversion import build_list
from .document import Document

FORMAT = 1
SECTIONS_PER_INDEX = 16
# The bytes sent for one change are fewest if the number of sections is near the square
# root of the number of entries.
N_SECTIONS = {
    "models": 16,
    "adapters": 64,
    "organisations": 256,
    "engines": 64,
    "services": 16,
}

_FIELD_TYPES = get_type_hints(Document)
_ITEM_TYPES: dict[str, Any] = {
    field.name: get_args(_FIELD_TYPES[field.name])[0] for field in fields(Document)
}


# Sort key of each list in a document; faster than `item_key`.
_SORT_KEYS: dict[str, Callable[[Any], Any]] = {
    kind: attrgetter("name") for kind in _ITEM_TYPES
}
_SORT_KEYS["adapters"] = attrgetter("model", "name")


def digest_of(data: bytes) -> str:
    """Return the name of an object: the SHA-256 of its bytes, in hex."""
    return hashlib.sha256(data).hexdigest()


def item_key(kind: str, item: Any) -> str:
    """Return the key of an entry, unique within its kind."""
    if kind == "adapters":
        return f"{item.model}:{item.name}"
    return str(item.name)


def section_name(kind: str, key: str) -> str:
    """Return the section an entry belongs to, such as ``organisations/17``."""
    number = int.from_bytes(hashlib.sha256(key.encode()).digest()[:4], "big")
    return f"{kind}/{number % N_SECTIONS[kind]}"


def index_name(section: str) -> str:
    """Return the index a section belongs to, such as ``organisations/1``."""
    kind, _, number = section.partition("/")
    return f"{kind}/{int(number) // SECTIONS_PER_INDEX}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """The entries of one kind that share a hash bucket, sorted by key.

    Parameters
    ----------
    name : str
        Such as ``organisations/17``.
    digest : str
        SHA-256 of its encoding, in hex.
    items : tuple
        The entries.
    """

    name: str
    digest: str
    items: tuple[Any, ...]

    @property
    def kind(self) -> str:
        """Return the kind of the entries, such as ``organisations``."""
        return self.name.partition("/")[0]

    def encode(self) -> bytes:
        """Return the canonical encoding, the same on every node."""
        return msgspec.json.encode({"section": self.name, "items": self.items})


@dataclass(frozen=True, kw_only=True, slots=True)
class Index:
    """The digests of a group of sections or, in the root, of all indexes."""

    name: str
    digests: Mapping[str, str]

    def encode(self) -> bytes:
        """Return the canonical encoding, the same on every node."""
        digests = dict(sorted(self.digests.items()))
        value = {"index": self.name, "format": FORMAT, "digests": digests}
        return msgspec.json.encode(value)


ROOT = "root"


class Tree:
    """A document's sections, their indexes and the root.

    Parameters
    ----------
    sections : Mapping
        Section names to sections; empty sections are left out.
    """

    def __init__(self, *, sections: Mapping[str, Section]) -> None:
        self.sections = dict(sections)
        self._by_digest = {
            section.digest: section for section in self.sections.values()
        }
        grouped: dict[str, dict[str, str]] = {}
        for name, section in self.sections.items():
            grouped.setdefault(index_name(name), {})[name] = section.digest
        self._indexes: dict[str, bytes] = {}
        self.index_digests: dict[str, str] = {}
        for name, digests in grouped.items():
            data = Index(name=name, digests=digests).encode()
            self.index_digests[name] = digest_of(data)
            self._indexes[self.index_digests[name]] = data
        root = Index(name=ROOT, digests=self.index_digests).encode()
        self.root = digest_of(root)
        self._indexes[self.root] = root

    @classmethod
    def of(cls, document: Document) -> Tree:
        """Split a document into sections."""
        grouped: dict[str, dict[str, Any]] = {}
        for kind in _ITEM_TYPES:
            for item in getattr(document, kind):
                key = item_key(kind, item)
                grouped.setdefault(section_name(kind, key), {})[key] = item
        sections = {}
        for name, by_key in grouped.items():
            items = tuple(by_key[key] for key in sorted(by_key))
            sections[name] = make_section(name, items)
        return cls(sections=sections)

    def document(self) -> Document:
        """Assemble the document, each list sorted by name."""
        lists: dict[str, list[Any]] = {kind: [] for kind in _ITEM_TYPES}
        for section in self.sections.values():
            lists[section.kind].extend(section.items)
        for kind, items in lists.items():
            items.sort(key=_SORT_KEYS[kind])
        return Document(**{kind: tuple(items) for kind, items in lists.items()})

    def changed_since(self, older: Tree) -> dict[str, list[Any]]:
        """Return the added and modified entries by kind.

        A kind whose entries were only removed is included with an empty list.
        """
        changed: dict[str, list[Any]] = {}
        for name in self.sections.keys() | older.sections.keys():
            new, old = self.sections.get(name), older.sections.get(name)
            if new is not None and old is not None and new.digest == old.digest:
                continue
            entries = changed.setdefault(name.partition("/")[0], [])
            if new is not None:
                old_items = set(old.items) if old is not None else set()
                entries.extend(item for item in new.items if item not in old_items)
        return changed

    def get(self, digest: str) -> bytes | None:
        """Return an object's bytes by its digest, or None."""
        data = self._indexes.get(digest)
        if data is not None:
            return data
        section = self._by_digest.get(digest)
        return section.encode() if section is not None else None

    def section(self, digest: str) -> Section | None:
        """Return a section by its digest, or None."""
        return self._by_digest.get(digest)

    def digests(self) -> Iterator[str]:
        """Yield the digests of all objects, the root's last."""
        yield from self._by_digest
        yield from self._indexes


def make_section(name: str, items: tuple[Any, ...]) -> Section:
    """Make a section from entries sorted by key."""
    without_digest = Section(name=name, digest="", items=items)
    return Section(name=name, digest=digest_of(without_digest.encode()), items=items)


def read_index(
    data: bytes, name: str, digest: str
) -> Result[Index, tuple[Finding, ...]]:
    """Decode an index or the root, and check its digest and name."""
    value = _decode_object(data, digest, f"object {digest}")
    if isinstance(value, Err):
        return value
    match value.ok_value:
        case {
            "index": found_name,
            "format": int(found_format),
            "digests": dict(digests),
        }:
            if found_format != FORMAT:
                return _object_error(
                    digest, f"has format {found_format}; this program reads {FORMAT}"
                )
            if found_name != name:
                return _object_error(
                    digest, f"is index {found_name!r}, where {name!r} was expected"
                )
            if all(
                _is_valid_child(name, child, child_digest)
                for child, child_digest in digests.items()
            ):
                return Ok(Index(name=name, digests=digests))
    return _object_error(digest, "is not an index")


def read_section(
    data: bytes, name: str, digest: str
) -> Result[Section, tuple[Finding, ...]]:
    """Decode a section, and check its digest, its name and each of its entries."""
    value = _decode_object(data, digest, f"section {name}")
    if isinstance(value, Err):
        return value
    match value.ok_value:
        case {"section": found_name, "items": list(raw)} if found_name == name:
            pass
        case _:
            return _object_error(digest, f"is not section {name}")
    kind = name.partition("/")[0]
    findings: list[Finding] = []
    items = build_list(_ITEM_TYPES[kind], raw, kind, findings)
    if findings:
        return Err(tuple(findings))
    section = make_section(name, items)
    keys = [item_key(kind, item) for item in items]
    if section.digest != digest or keys != sorted(set(keys)):
        # A section that this program encodes differently couldn't be served to peers
        # under its digest, and one of a newer program could lose fields here.
        return _object_error(digest, f"section {name} is not in canonical form")
    if any(section_name(kind, key) != name for key in keys):
        return _object_error(digest, f"section {name} holds entries of other sections")
    return Ok(section)


def _decode_object(
    data: bytes, digest: str, place: str
) -> Result[Any, tuple[Finding, ...]]:
    if digest_of(data) != digest:
        problem = f"its content does not have the digest {digest}"
        return Err((Finding(place=place, problem=problem),))
    try:
        return Ok(msgspec.json.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err((Finding(place=place, problem=f"is not JSON: {exc}"),))


def _is_valid_child(index: str, child: object, digest: object) -> bool:
    """Return whether an index may contain this child (section or index) and digest."""
    if not isinstance(child, str) or not is_digest(digest):
        return False
    kind, _, number = child.partition("/")
    if kind not in N_SECTIONS or not number.isdecimal() or len(number) > 4:
        return False
    if not int(number) < N_SECTIONS[kind] or number != str(int(number)):
        return False
    return index == ROOT or index_name(child) == index


def is_digest(value: object) -> bool:
    """Return whether a value has the form of a SHA-256 in hex."""
    if not isinstance(value, str) or len(value) != 64:
        return False
    return all(char in "0123456789abcdef" for char in value)


def _object_error(digest: str, problem: str) -> Err[tuple[Finding, ...]]:
    return Err((Finding(place=f"object {digest}", problem=problem),))
