"""Drafts: an operator's edits on top of an accepted version, and their differences.

A draft lives in a hidden field of the operator's page and nowhere else. The console
can then be killed at any moment, and the next one goes on from the page; nothing of
a draft can take effect by itself, and two operators' drafts can't mix.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from typing import Any, get_args, get_type_hints

import msgspec
from result import Err, Ok, Result

from ..configuration.document import Document
from ..configuration.sections import item_key
from ..configuration.shape import build
from ..configuration.validation import Validated, finish
from ..types import Finding

MAX_DRAFT_BYTES = 8 * 1024 * 1024
MAX_EDITS = 30_000
NEW_PREFIX = "+"
MAX_PLAIN_BYTES = 64 * 1024
PACKED_MARK = "z:"

_HINTS = get_type_hints(Document)
ITEM_TYPES: dict[str, Any] = {
    field.name: get_args(_HINTS[field.name])[0] for field in fields(Document)
}
KINDS = tuple(ITEM_TYPES)

JsonObject = dict[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """One entry as it should become.

    Parameters
    ----------
    kind : str
        The list it stands in, such as ``organisations``.
    key : str
        The key of the entry in the base version; a new one has a key that begins
        with `NEW_PREFIX`, which no name does, so it can't meet another entry's.
    value : dict or None
        The entry as JSON, as typed, right or wrong; None to remove it.
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
        """Return what a person calls the entry."""
        if not self.is_new or self.value is None:
            return self.key
        return str(self.value.get("name", ""))[:100] or "(no name)"


@dataclass(frozen=True, kw_only=True, slots=True)
class Draft:
    """Edits on top of a version."""

    base_version: int
    edits: tuple[Edit, ...] = ()

    def encode(self) -> str:
        """Return the text for the hidden field; a long one is packed.

        A draft that replaces all of 6,400 organisations would otherwise make pages of
        10 MB and more, as each quotation mark is escaped in HTML.
        """
        data = msgspec.json.encode(self)
        if len(data) <= MAX_PLAIN_BYTES:
            return data.decode()
        return PACKED_MARK + base64.b64encode(zlib.compress(data, 6)).decode()

    def find(self, kind: str, key: str) -> Edit | None:
        """Return the edit of an entry, where there is one."""
        for edit in self.edits:
            if edit.kind == kind and edit.key == key:
                return edit
        return None

    def put(self, edit: Edit) -> Draft:
        """Return the draft with an edit added, in place of one of the same entry."""
        kept: list[Edit] = []
        is_placed = False
        for old in self.edits:
            if (old.kind, old.key) == (edit.kind, edit.key):
                kept.append(edit)
                is_placed = True
            else:
                kept.append(old)
        if not is_placed:
            kept.append(edit)
        return Draft(base_version=self.base_version, edits=tuple(kept))

    def new_key(self) -> str:
        """Return a key for one more new entry."""
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
    """Read a hidden field; it comes from outside, whatever we wrote into it."""
    if len(text) > MAX_DRAFT_BYTES:
        problem = f"is over {MAX_DRAFT_BYTES} bytes; accept it in parts"
        return Err(Finding(place="draft", problem=problem))
    try:
        draft = msgspec.json.decode(_unpack(text), type=Draft)
    except (ValueError, RecursionError, zlib.error) as exc:
        return Err(Finding(place="draft", problem=f"can't be read: {exc}"))
    keys = {(edit.kind, edit.key) for edit in draft.edits}
    if len(draft.edits) > MAX_EDITS or len(keys) < len(draft.edits):
        return Err(Finding(place="draft", problem="holds too many or doubled edits"))
    if any(edit.kind not in ITEM_TYPES for edit in draft.edits):
        return Err(Finding(place="draft", problem="edits a list that does not exist"))
    return Ok(draft)


def _unpack(text: str) -> bytes:
    """Return a hidden field's JSON; a small text may not unpack to a huge one."""
    if not text.startswith(PACKED_MARK):
        return text.encode()
    unpacker = zlib.decompressobj()
    packed = base64.b64decode(text.removeprefix(PACKED_MARK), validate=True)
    data = unpacker.decompress(packed, MAX_DRAFT_BYTES)
    if not unpacker.eof:
        raise ValueError(f"unpacks to more than {MAX_DRAFT_BYTES} bytes, or is cut")
    return data


@dataclass(frozen=True, kw_only=True, slots=True)
class Composed:
    """A draft put together with its base.

    Parameters
    ----------
    validated : Result of Document or tuple of Finding
        The whole document, or all that is wrong with it.
    places : Mapping
        The place of each edited entry, such as ``organisations[2]``, to its edit.
    """

    validated: Validated
    places: Mapping[str, Edit]

    def findings_of(self, kind: str, key: str) -> dict[str, list[str]]:
        """Return the problems of one edited entry by the path of the field."""
        if isinstance(self.validated, Ok):
            return {}
        found: dict[str, list[str]] = {}
        for place, edit in self.places.items():
            if (edit.kind, edit.key) != (kind, key):
                continue
            for finding in self.validated.err_value:
                if finding.place.startswith((f"{place}.", f"{place}[")):
                    path = finding.place[len(place) + 1 :]
                    found.setdefault(path, []).append(finding.problem)
                elif finding.place == place:
                    found.setdefault("", []).append(finding.problem)
        return found


def compose(base: Document, draft: Draft) -> Composed:
    """Apply a draft to its base and check the whole."""
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
    # A new entry under a name that is taken then shows as doubled; were it put in the
    # other's place, it would silently overwrite it.
    for edit in edits.values():
        if edit.is_new:
            add(edit)
    return tuple(items)


def to_json(item: object) -> JsonObject:
    """Return an entry as plain JSON values."""
    found: JsonObject = msgspec.json.decode(msgspec.json.encode(item))
    return found


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One field, or one whole entry, that differs between two documents.

    Parameters
    ----------
    kind, key : str
        The entry.
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
        """Return the entry and field in one text."""
        whole = f"{self.kind} / {self.key}"
        return f"{whole} / {self.field}" if self.field else whole


def difference(before: Document, after: Document) -> tuple[Change, ...]:
    """Return what changed from one document to another, by entry and field."""
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
        yield Change(kind=kind, key=key, before=_text(old), after=_text(new))
        return
    for field in fields(old):
        was, now = getattr(old, field.name), getattr(new, field.name)
        if was != now:
            yield Change(
                kind=kind,
                key=key,
                field=field.name,
                before=_text(was),
                after=_text(now),
            )


def _text(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def draft_of(before: Document, after: Document, base_version: int) -> Draft:
    """Return the edits that lead from one document to another."""
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
class Rebased:
    """A draft moved on to a newer version.

    Parameters
    ----------
    draft : Draft
        The edits; fields that only the other operator changed are as accepted.
    clashes : tuple of Change
        Fields that both changed: ``before`` is what the other accepted, ``after``
        what the draft says.
    """

    draft: Draft
    clashes: tuple[Change, ...]


def rebase(
    draft: Draft, base: Document, newer: Document, newer_version: int
) -> Rebased:
    """Move a draft on to a newer version, field by field."""
    edits: list[Edit] = []
    clashes: list[Change] = []
    for edit in draft.edits:
        was = _find(base, edit)
        now = _find(newer, edit)
        if was == now or edit.is_new:
            edits.append(edit)
            continue
        if now is None:
            if edit.value is not None:
                # The other operator removed it; keeping the typing adds it anew.
                clashes.append(
                    Change(kind=edit.kind, key=edit.key, after=_text(edit.value))
                )
                added = NEW_PREFIX + edit.key
                edits.append(Edit(kind=edit.kind, key=added, value=edit.value))
            continue
        if edit.value is None or was is None:
            clashes.append(
                Change(
                    kind=edit.kind,
                    key=edit.key,
                    before=_text(now),
                    after=_text(edit.value),
                )
            )
            edits.append(edit)
            continue
        edits.append(_rebase_entry(edit, to_json(was), to_json(now), clashes))
    moved = Draft(base_version=newer_version, edits=tuple(edits))
    return Rebased(draft=moved, clashes=tuple(clashes))


def _rebase_entry(
    edit: Edit, was: JsonObject, now: JsonObject, clashes: list[Change]
) -> Edit:
    assert edit.value is not None
    value = dict(edit.value)
    for name, accepted in now.items():
        typed = value.get(name, was[name])
        if accepted == was[name] or typed == accepted:
            continue
        if typed == was[name]:
            value[name] = accepted
            continue
        clashes.append(
            Change(
                kind=edit.kind,
                key=edit.key,
                field=name,
                before=_text(accepted),
                after=_text(typed),
            )
        )
    return Edit(kind=edit.kind, key=edit.key, value=value)


def _find(document: Document, edit: Edit) -> Any:
    for item in getattr(document, edit.kind):
        if item_key(edit.kind, item) == edit.key:
            return item
    return None
