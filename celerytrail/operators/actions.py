"""The actions of the console's buttons, from editing a draft to accepting it."""

from __future__ import annotations

import hashlib
import re
import secrets
from collections.abc import Callable, Sequence

import msgspec
from eliot import log_message
from result import Err, Ok

from ..clock import Clock
from ..configuration.document import Document, encode
from ..configuration.records import MAX_NOTE_CHARS, Head
from ..configuration.validation import validate
from ..platform.client import Unavailable
from ..types import Finding
from .answers import Answer
from .drafts import Draft, Edit, difference, draft_from_difference, rebase
from .formfields import FORMS
from .forms import FormValues, first, read_entry
from .live import LiveView
from .outcomes import (
    AcceptError,
    AcceptInDoubt,
    Conflict,
    Damaged,
    Invalid,
    Loaded,
    LoadError,
)
from .pages import Visit, fields_to_repost, item_values, review_values
from .store import DocumentStore

ACCEPT_SECONDS = 8.0
API_KEY_PREFIX = "ct-"
# Larger documents are uploaded as a file: browsers are slow with such a text field.
MAX_RAW_TEXT_BYTES = 512 * 1024
_OPERATION_ID = re.compile(r"[0-9a-f]{32}")


class Actions:
    """Carries out the actions of the console's buttons.

    Parameters
    ----------
    store : DocumentStore
        Loads the document and accepts new versions.
    live : LiveView
        Is notified of each accepted version.
    clock : Clock
        Gives monotonic time for deadlines.
    """

    def __init__(self, *, store: DocumentStore, live: LiveView, clock: Clock) -> None:
        self._store = store
        self._live = live
        self._clock = clock

    async def act(self, name: str, visit: Visit, values: FormValues) -> Answer:
        """Carry out the action of the button with this name."""
        handlers: dict[str, Callable[[Visit, FormValues], Answer]] = {
            "save": self._save,
            "more": self._add_rows,
            "new-key": self._add_api_key,
            "delete": self._delete,
            "undo": self._undo,
            "discard": self._discard,
            "raw": self._raw,
        }
        if name in handlers:
            return handlers[name](visit, values)
        if name == "accept":
            return await self._accept(visit, values)
        if name == "rebase":
            return self._rebase(visit)
        if name == "revert":
            return await self._revert(visit, values)
        return Answer(target="overview", notice="That button is not known.")

    # Actions on entries.

    def _save(self, visit: Visit, values: FormValues) -> Answer:
        updated = _put_typed_entry(visit, values)
        if updated is None:
            return Answer(target="overview", notice="That entry is not known.")
        visit, edit = updated
        if visit.composed.findings_of(edit.kind, edit.key):
            return Answer(
                status=422,
                visit=visit,
                target=f"item/{edit.kind}/{edit.key}",
                notice="Kept in your draft, with findings: see beside the fields.",
            )
        notice = f"Kept in your draft: {edit.label}. Nothing is in force yet."
        return Answer(visit=visit, target=f"list/{edit.kind}", notice=notice)

    def _add_rows(self, visit: Visit, values: FormValues) -> Answer:
        """Show the entry's form again, which adds blank rows to its tables."""
        updated = _put_typed_entry(visit, values)
        if updated is None:
            return Answer(target="overview", notice="That entry is not known.")
        visit, edit = updated
        return Answer(visit=visit, target=f"item/{edit.kind}/{edit.key}")

    def _add_api_key(self, visit: Visit, values: FormValues) -> Answer:
        """Create an API key for an organisation.

        The key is shown in this answer only; the draft stores its digest.
        """
        updated = _put_typed_entry(visit, values)
        if updated is None or updated[1].kind != "organisations":
            return Answer(target="overview", notice="That entry is not known.")
        visit, edit = updated
        key = API_KEY_PREFIX + secrets.token_urlsafe(32)
        digest = hashlib.sha256(key.encode()).hexdigest()
        entry = dict(edit.value or {})
        entry["key_digests"] = [*entry["key_digests"], digest]
        visit = visit.with_draft(
            visit.draft.put(Edit(kind=edit.kind, key=edit.key, value=entry))
        )
        page_values = item_values(visit, FORMS[edit.kind], edit.key)
        assert page_values is not None
        title = f"Organisation {edit.label}"
        return Answer(
            visit=visit,
            template="item.html",
            title=title,
            values={**page_values, "new_key": key},
        )

    def _delete(self, visit: Visit, values: FormValues) -> Answer:
        kind, key = first(values, "kind"), first(values, "key")
        if kind not in FORMS:
            return Answer(target="overview", notice="That entry is not known.")
        draft = visit.draft.drop(kind, key)
        edit = Edit(kind=kind, key=key)
        if not edit.is_new:
            draft = draft.put(edit)
        notice = f"Removed in your draft: {key}. It stays in force until you accept."
        return Answer(
            visit=visit.with_draft(draft), target=f"list/{kind}", notice=notice
        )

    def _undo(self, visit: Visit, values: FormValues) -> Answer:
        kind, key = first(values, "kind"), first(values, "key")
        if kind not in FORMS:
            return Answer(target="overview", notice="That entry is not known.")
        return Answer(
            visit=visit.with_draft(visit.draft.drop(kind, key)),
            target=f"list/{kind}",
            notice="Your change of this entry was taken out of the draft.",
        )

    def _discard(self, visit: Visit, values: FormValues) -> Answer:
        newest = visit.newest
        empty = Draft(base_version=newest.version)
        new_visit = Visit(
            session=visit.session, newest=newest, base=newest, draft=empty
        )
        return Answer(visit=new_visit, target="overview", notice="The draft is gone.")

    # Actions on whole documents.

    def raw(
        self, visit: Visit, text: str | None = None, findings: Sequence[Finding] = ()
    ) -> Answer:
        """Return the page with the document as JSON text."""
        is_large = False
        if text is None:
            data = msgspec.json.format(encode(visit.document), indent=2)
            is_large = len(data) > MAX_RAW_TEXT_BYTES
            text = "" if is_large else data.decode()
        return Answer(
            status=422 if findings else 200,
            template="raw.html",
            title="Raw JSON",
            values={"text": text, "findings": findings, "is_large": is_large},
        )

    def _raw(self, visit: Visit, values: FormValues) -> Answer:
        text = first(values, "text")
        validated = validate(text)
        if isinstance(validated, Err):
            return self.raw(visit, text, validated.err_value)
        base = visit.base
        draft = draft_from_difference(
            base.document, validated.ok_value, visit.draft.base_version
        )
        return Answer(
            visit=visit.with_draft(draft),
            target="review",
            notice="The document was checked and is now your draft.",
        )

    async def version(self, visit: Visit, number: int) -> Answer | None:
        """Return the page of an accepted version; None where it does not exist."""
        versions: list[Loaded] = []
        for version in (number, number - 1):
            loaded = await self._store.load(self._deadline(), version)
            if isinstance(loaded, Err):
                return self.unavailable(loaded.err_value, {})
            versions.append(loaded.ok_value)
        shown, previous = versions
        if shown.head is None:
            return None
        return Answer(
            template="version.html",
            title=f"Version {number}",
            values={
                "head": shown.head,
                "changes": difference(previous.document, shown.document),
                "back": difference(visit.newest.document, shown.document),
            },
        )

    async def _revert(self, visit: Visit, values: FormValues) -> Answer:
        text = first(values, "version")
        number = int(text) if text.isdecimal() and len(text) < 10 else 0
        loaded = await self._store.load(self._deadline(), number)
        if isinstance(loaded, Err):
            return self.unavailable(loaded.err_value, values)
        newest = visit.newest
        draft = draft_from_difference(
            newest.document, loaded.ok_value.document, newest.version
        )
        new_visit = Visit(
            session=visit.session, newest=newest, base=newest, draft=draft
        )
        return self.review(new_visit, note=f"Return to version {number}")

    # Review and acceptance.

    def review(self, visit: Visit, *, note: str = "", operation_id: str = "") -> Answer:
        """Return the page with the draft's changes, or with all findings."""
        # The operation id is part of the page, so that a form sent twice, by a double
        # click or a browser's retry, counts as one operation.
        page_values = review_values(visit, operation_id or secrets.token_hex(16), note)
        return Answer(
            status=422 if page_values["findings"] else 200,
            visit=visit,
            template="review.html",
            title="Review",
            values=page_values,
        )

    async def _accept(self, visit: Visit, values: FormValues) -> Answer:
        note = " ".join(first(values, "note").split())[:MAX_NOTE_CHARS]
        operation_id = first(values, "operation_id")
        if not _OPERATION_ID.fullmatch(operation_id) or not visit.draft.edits:
            return self.review(visit, note=note)
        validated = visit.composed.validated
        if isinstance(validated, Err):
            return self.review(visit, note=note, operation_id=operation_id)
        accepted = await self._store.accept(
            validated.ok_value,
            base_version=visit.draft.base_version,
            operation_id=operation_id,
            author=visit.session.operator,
            note=note,
            deadline=self._clock.monotonic() + ACCEPT_SECONDS,
        )
        if isinstance(accepted, Err):
            return self._not_accepted(visit, accepted.err_value, values)
        return await self._accepted(visit, accepted.ok_value, validated.ok_value)

    async def _accepted(self, visit: Visit, head: Head, document: Document) -> Answer:
        """Return the page of a new version, after notifying a few nodes."""
        log_message(
            "console:accepted",
            operator=visit.session.operator,
            version=head.version,
            operation=head.operation_id,
        )
        await self._live.send_hint(head)
        newest = Loaded(head=head, document=document)
        new_visit = Visit(
            session=visit.session,
            newest=newest,
            base=newest,
            draft=Draft(base_version=head.version),
        )
        return Answer(
            visit=new_visit,
            template="accepted.html",
            title=f"Version {head.version} is accepted",
            values={"head": head},
        )

    def _not_accepted(
        self, visit: Visit, error: AcceptError, values: FormValues
    ) -> Answer:
        """Return the page that explains why a draft was not accepted."""
        if isinstance(error, Invalid):
            return self.review(visit)
        if isinstance(error, Conflict):
            return self._conflict(visit, error, values)
        if isinstance(error, AcceptInDoubt):
            return Answer(
                status=503,
                template="again.html",
                title="Not yet known whether it was accepted",
                message="The platform did not answer, so the version may or may not"
                " have been accepted. Ask again: if it was, you are told so; if not,"
                " it is tried anew. It can't be accepted twice.",
                fields=fields_to_repost(values),
                button="Ask again",
                is_problem=True,
            )
        return self.unavailable(error, values)

    def _conflict(self, visit: Visit, error: Conflict, values: FormValues) -> Answer:
        if error.document is None:
            return Answer(
                status=503,
                template="again.html",
                title="Another version came first",
                message=f"Version {error.head.version} by {error.head.author} came"
                " first; nothing of yours took effect. It can't be loaded just now.",
                fields=fields_to_repost(values),
                button="Try again",
                is_problem=True,
            )
        newest = Loaded(head=error.head, document=error.document)
        return self._rebase(
            Visit(
                session=visit.session,
                newest=newest,
                base=visit.base,
                draft=visit.draft,
            ),
            is_refused=True,
        )

    def _rebase(self, visit: Visit, *, is_refused: bool = False) -> Answer:
        """Rebase the draft on the newest version and show the differences."""
        head = visit.newest.head
        if head is None or head.version == visit.draft.base_version:
            return Answer(target="review")
        rebased = rebase(
            visit.draft, visit.base.document, visit.newest.document, head.version
        )
        new_visit = Visit(
            session=visit.session,
            newest=visit.newest,
            base=visit.newest,
            draft=rebased.draft,
        )
        own_changes = None
        if isinstance(new_visit.composed.validated, Ok):
            own_changes = difference(
                new_visit.base.document, new_visit.composed.validated.ok_value
            )
        return Answer(
            status=409 if is_refused else 200,
            visit=new_visit,
            template="conflict.html",
            title="Another version came first",
            values={
                "head": head,
                "old_version": visit.draft.base_version,
                "theirs": difference(visit.base.document, visit.newest.document),
                "clashes": rebased.conflicts,
                "mine": own_changes,
                "is_refused": is_refused,
            },
        )

    def unavailable(self, error: LoadError, values: FormValues) -> Answer:
        """Return the page that reports a platform failure and keeps the form."""
        findings: Sequence[Finding] = ()
        if isinstance(error, Damaged):
            findings = error.findings
            message = "What the platform returned is damaged, and nothing was done."
        else:
            assert isinstance(error, Unavailable)
            message = (
                f"The platform does not answer ({error.reason}), and nothing was done."
                " What is in force stays in force. Try again in a few seconds."
            )
        return Answer(
            status=503,
            template="again.html",
            title="Not done",
            message=message,
            findings=findings,
            fields=fields_to_repost(values),
            button="Try again",
            is_problem=True,
        )

    def _deadline(self) -> float:
        return self._clock.monotonic() + ACCEPT_SECONDS


def _put_typed_entry(visit: Visit, values: FormValues) -> tuple[Visit, Edit] | None:
    """Return the visit with the typed entry in its draft, and the edit.

    None where the form names no known list or no key.
    """
    form = FORMS.get(first(values, "kind"))
    key = first(values, "key")[:200]
    if form is None or not key:
        return None
    edit = Edit(kind=form.kind, key=key, value=read_entry(form, values))
    return visit.with_draft(visit.draft.put(edit)), edit
