"""Drafts: an operator's edits on top of an accepted version.

A draft is stored only in a hidden field of the operator's page. The console can
therefore be killed at any moment and its successor continues from the page, no draft
takes effect by itself, and the drafts of two operators can't mix.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from typing import Any, get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

from ..configuration.conversion import build
from ..configuration.document import Document
from ..configuration.sections import item_key
from ..configuration.validation import Validated, finish
from ..types import Finding

MAX_DRAFT_BYTES = 8 * 1024 * 1024
MAX_EDITS = 30_000
NEW_PREFIX = "+"
MAX_UNCOMPRESSED_BYTES = 64 * 1024
COMPRESSED_PREFIX = "z:"

_HINTS = get_type_hints(Document)
ITEM_TYPES: dict[str, Any] = {
    field.name: get_args(_HINTS[field.name])[0] for field in fields(Document)
}
KINDS = tuple(ITEM_TYPES)

JsonObject = dict[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """The new state of one entry.

    Parameters
    ----------
    kind : str
        The document's list that contains the entry, such as ``organisations``.
    key : str
        The entry's key in the base version. The key of a new entry begins with
        `NEW_PREFIX`; no name does, so it can't collide with an existing key.
    value : dict or None
        The entry as JSON, as typed and not validated; None to remove it.
    """

    kind: str
    key: str
    value: JsonObject | None = None

    @property
    def is_new(self) -> bool:
        """Return whether the entry is not in the base version."""
        return self.key.startswith(NEW_PREFIX)

    @property
    def label(self) -> str:
        """Return the entry's name for display."""
        if not self.is_new or self.value is None:
            return self.key
        return str(self.value.get("name", ""))[:100] or "(no name)"


@dataclass(frozen=True, kw_only=True, slots=True)
class Draft:
    """Edits on top of an accepted version."""

    base_version: int
    edits: tuple[Edit, ...] = ()

    def encode(self) -> str:
        """Return the text for the hidden field, compressed when it is long.

        Uncompressed, a draft that replaces all of 6,400 organisations would make pages
        of 10 MB and more, as each quotation mark is escaped in HTML.
        """
        data = msgspec.json.encode(self)
        if len(data) <= MAX_UNCOMPRESSED_BYTES:
            return data.decode()
        return COMPRESSED_PREFIX + base64.b64encode(zlib.compress(data, 6)).decode()

    def find(self, kind: str, key: str) -> Edit | None:
        """Return the edit of an entry; None where there is none."""
        for edit in self.edits:
            if edit.kind == kind and edit.key == key:
                return edit
        return None

    def put(self, edit: Edit) -> Draft:
        """Return the draft with an edit that replaces any earlier one of its entry."""
        edits: list[Edit] = []
        is_replaced = False
        for old in self.edits:
            if (old.kind, old.key) == (edit.kind, edit.key):
                edits.append(edit)
                is_replaced = True
            else:
                edits.append(old)
        if not is_replaced:
            edits.append(edit)
        return Draft(base_version=self.base_version, edits=tuple(edits))

    def new_key(self) -> str:
        """Return an unused key for a new entry."""
        numbers = [
            int(edit.key[1:])
            for edit in self.edits
            if edit.is_new and edit.key[1:].isdecimal()
        ]
        return f"{NEW_PREFIX}{max(numbers, default=0) + 1}"

    def drop(self, kind: str, key: str) -> Draft:
        """Return the draft without the edit of an entry."""
        kept = tuple(old for old in self.edits if (old.kind, old.key) != (kind, key))
        return Draft(base_version=self.base_version, edits=kept)


def decode_draft(text: str) -> Result[Draft, Finding]:
    """Parse a hidden field, which is untrusted input.

    The browser may send anything, whatever the page contained.
    """
    if len(text) > MAX_DRAFT_BYTES:
        problem = f"is over {MAX_DRAFT_BYTES} bytes; accept it in parts"
        return Err(Finding(place="draft", problem=problem))
    try:
        draft = msgspec.json.decode(_decompress(text), type=Draft)
    except (ValueError, RecursionError, zlib.error) as exc:
        return Err(Finding(place="draft", problem=f"can't be read: {exc}"))
    keys = {(edit.kind, edit.key) for edit in draft.edits}
    if len(draft.edits) > MAX_EDITS or len(keys) < len(draft.edits):
        return Err(Finding(place="draft", problem="holds too many or doubled edits"))
    if any(edit.kind not in ITEM_TYPES for edit in draft.edits):
        return Err(Finding(place="draft", problem="edits a list that does not exist"))
    return Ok(draft)


def _decompress(text: str) -> bytes:
    """Return a hidden field's JSON.

    The output is limited, so that a small text can't expand to a huge one.
    """
    if not text.startswith(COMPRESSED_PREFIX):
        return text.encode()
    decompressor = zlib.decompressobj()
    compressed = base64.b64decode(text.removeprefix(COMPRESSED_PREFIX), validate=True)
    data = decompressor.decompress(compressed, MAX_DRAFT_BYTES)
    if not decompressor.eof:
        raise ValueError(f"unpacks to more than {MAX_DRAFT_BYTES} bytes, or is cut")
    return data


@dataclass(frozen=True, kw_only=True, slots=True)
class Composed:
    """A document made by applying a draft to its base version.

    Parameters
    ----------
    validated : Result of Document or tuple of Finding
        The whole document, or all findings of its validation.
    places : Mapping
        Maps the place of each edited entry, such as ``organisations[2]``, to its edit.
    """

    validated: Validated
    places: Mapping[str, Edit]

    def findings_of(self, kind: str, key: str) -> dict[str, list[str]]:
        """Return the problems of one edited entry, keyed by the field's path."""
        if isinstance(self.validated, Ok):
            return {}
        problems: dict[str, list[str]] = {}
        for place, edit in self.places.items():
            if (edit.kind, edit.key) != (kind, key):
                continue
            for finding in self.validated.err_value:
                if finding.place.startswith((f"{place}.", f"{place}[")):
                    path = finding.place[len(place) + 1 :]
                    problems.setdefault(path, []).append(finding.problem)
                elif finding.place == place:
                    problems.setdefault("", []).append(finding.problem)
        return problems


def compose(base: Document, draft: Draft) -> Composed:
    """Apply a draft to its base version and validate the whole document."""
    findings: list[Finding] = []
    places: dict[str, Edit] = {}
    lists: dict[str, tuple[Any, ...]] = {}
    for kind in KINDS:
        lists[kind] = _compose_list(base, draft, kind, findings, places)
    return Composed(validated=finish(Document(**lists), findings), places=places)


def _compose_list(
    base: Document,
    draft: Draft,
    kind: str,
    findings: list[Finding],
    places: dict[str, Edit],
) -> tuple[Any, ...]:
    edits = {edit.key: edit for edit in draft.edits if edit.kind == kind}
    items: list[Any] = []

    def add(edit: Edit) -> None:
        if edit.value is None:
            return
        place = f"{kind}[{len(items)}]"
        places[place] = edit
        items.append(build(ITEM_TYPES[kind], edit.value, place, findings))

    for item in getattr(base, kind):
        edit = edits.get(item_key(kind, item))
        if edit is None:
            items.append(item)
        else:
            add(edit)
    # New entries are always appended, so that one whose name is taken is reported as a
    # duplicate instead of silently overwriting the existing entry.
    for edit in edits.values():
        if edit.is_new:
            add(edit)
    return tuple(items)


def to_json(item: object) -> JsonObject:
    """Return an entry as plain JSON values."""
    entry: JsonObject = msgspec.json.decode(msgspec.json.encode(item))
    return entry


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A field, or a whole entry, that differs between two documents.

    Parameters
    ----------
    kind, key : str
        The entry's list and its key.
    field : str
        The field; empty where the whole entry was added or removed.
    before, after : str
        The values as JSON; empty where there is none.
    """

    kind: str
    key: str
    field: str = ""
    before: str = ""
    after: str = ""

    @property
    def place(self) -> str:
        """Return the entry and the field as one text."""
        whole = f"{self.kind} / {self.key}"
        return f"{whole} / {self.field}" if self.field else whole


def difference(before: Document, after: Document) -> tuple[Change, ...]:
    """Return the changes from one document to another, by entry and field."""
    changes: list[Change] = []
    for kind in KINDS:
        old = {item_key(kind, item): item for item in getattr(before, kind)}
        new = {item_key(kind, item): item for item in getattr(after, kind)}
        for key in sorted(old.keys() | new.keys()):
            changes.extend(_entry_changes(kind, key, old.get(key), new.get(key)))
    return tuple(changes)


def _entry_changes(kind: str, key: str, old: Any, new: Any) -> Iterable[Change]:
    if old == new:
        return
    if old is None or new is None:
        yield Change(kind=kind, key=key, before=_json_text(old), after=_json_text(new))
        return
    for field in fields(old):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if old_value != new_value:
            yield Change(
                kind=kind,
                key=key,
                field=field.name,
                before=_json_text(old_value),
                after=_json_text(new_value),
            )


def _json_text(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def draft_from_difference(
    before: Document, after: Document, base_version: int
) -> Draft:
    """Return the draft whose edits turn one document into another."""
    edits: list[Edit] = []
    for kind in KINDS:
        old = {item_key(kind, item): item for item in getattr(before, kind)}
        new = {item_key(kind, item): item for item in getattr(after, kind)}
        for key, item in new.items():
            if old.get(key) != item:
                edit_key = key if key in old else NEW_PREFIX + key
                edits.append(Edit(kind=kind, key=edit_key, value=to_json(item)))
        for key in old.keys() - new.keys():
            edits.append(Edit(kind=kind, key=key))
    return Draft(base_version=base_version, edits=tuple(edits))


@dataclass(frozen=True, kw_only=True, slots=True)
class RebasedDraft:
    """A draft rebased on a newer version.

    Parameters
    ----------
    draft : Draft
        The edits. Fields that only the other operator changed have the values of the
        newer version.
    conflicts : tuple of Change
        Fields that both changed: ``before`` is the value in the newer version,
        ``after`` the value in the draft.
    """

    draft: Draft
    conflicts: tuple[Change, ...]


def rebase(
    draft: Draft, base: Document, newer: Document, newer_version: int
) -> RebasedDraft:
    """Rebase a draft on a newer version, field by field."""
    edits: list[Edit] = []
    conflicts: list[Change] = []
    for edit in draft.edits:
        base_item = _find_item(base, edit)
        newer_item = _find_item(newer, edit)
        if base_item == newer_item or edit.is_new:
            edits.append(edit)
            continue
        if newer_item is None:
            if edit.value is not None:
                # The other operator removed the entry; keeping the edit adds it again.
                conflicts.append(
                    Change(kind=edit.kind, key=edit.key, after=_json_text(edit.value))
                )
                new_key = NEW_PREFIX + edit.key
                edits.append(Edit(kind=edit.kind, key=new_key, value=edit.value))
            continue
        if edit.value is None or base_item is None:
            conflicts.append(
                Change(
                    kind=edit.kind,
                    key=edit.key,
                    before=_json_text(newer_item),
                    after=_json_text(edit.value),
                )
            )
            edits.append(edit)
            continue
        edits.append(
            _rebase_entry(edit, to_json(base_item), to_json(newer_item), conflicts)
        )
    rebased = Draft(base_version=newer_version, edits=tuple(edits))
    return RebasedDraft(draft=rebased, conflicts=tuple(conflicts))


def _rebase_entry(
    edit: Edit, base_entry: JsonObject, newer_entry: JsonObject, conflicts: list[Change]
) -> Edit:
    """Return the edit merged with the newer version, and collect the conflicts."""
    assert edit.value is not None
    value = dict(edit.value)
    for name, accepted in newer_entry.items():
        typed = value.get(name, base_entry[name])
        if accepted == base_entry[name] or typed == accepted:
            continue
        if typed == base_entry[name]:
            value[name] = accepted
            continue
        conflicts.append(
            Change(
                kind=edit.kind,
                key=edit.key,
                field=name,
                before=_json_text(accepted),
                after=_json_text(typed),
            )
        )
    return Edit(kind=edit.kind, key=edit.key, value=value)


def _find_item(document: Document, edit: Edit) -> Any:
    for item in getattr(document, edit.kind):
        if item_key(edit.kind, item) == edit.key:
            return item
    return None
