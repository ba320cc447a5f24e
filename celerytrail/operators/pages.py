"""The console's pages: the state behind one request, and the template renderer."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import jinja2
from result import Err, Ok

from ..configuration.document import Document
from ..configuration.sections import item_key
from ..types import Finding
from .drafts import KINDS, Composed, Draft, Edit, compose, difference, to_json
from .formfields import FORMS, Form
from .forms import FormValues, show_entry
from .live import NodeStatus
from .outcomes import Loaded
from .sessions import Session

TEMPLATES = Path(__file__).parent / "templates"
MAX_ROWS = 100
MAX_SHOWN_CHARS = 300
MAX_SHOWN_FINDINGS = 200

# The columns that each list shows besides the name.
_COLUMNS = {
    "models": ("version", "n_context_tokens"),
    "adapters": ("model", "version"),
    "organisations": ("priority", "weight", "n_tokens_per_second", "n_concurrent"),
    "engines": ("model", "address", "failure_domain", "role"),
    "services": (),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class NavigationButton:
    """A button of the navigation, and the page that it opens."""

    target: str
    label: str


NAVIGATION = (
    NavigationButton(target="overview", label="Overview"),
    *(
        NavigationButton(target=f"list/{form.kind}", label=form.title)
        for form in FORMS.values()
    ),
    NavigationButton(target="review", label="Review"),
    NavigationButton(target="history", label="History"),
    NavigationButton(target="status", label="Status"),
    NavigationButton(target="raw", label="Raw JSON"),
)


class Visit:
    """Holds the accepted document and the draft for one request of an operator.

    Parameters
    ----------
    session : Session
        The logged-in operator's session.
    newest : Loaded
        The newest accepted version.
    base : Loaded
        The version that the draft is based on.
    draft : Draft
        The draft; without edits if there is none.
    """

    def __init__(
        self, *, session: Session, newest: Loaded, base: Loaded, draft: Draft
    ) -> None:
        self.session = session
        self.newest = newest
        self.base = base
        self.draft = draft
        self._composed: Composed | None = None

    @property
    def composed(self) -> Composed:
        """Return the draft applied to its base, and the outcome of validation."""
        if self._composed is None:
            if self.draft.edits:
                self._composed = compose(self.base.document, self.draft)
            else:
                self._composed = Composed(validated=Ok(self.base.document), places={})
        return self._composed

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Return the findings of the draft's validation."""
        validated = self.composed.validated
        return validated.err_value if isinstance(validated, Err) else ()

    @property
    def document(self) -> Document:
        """Return the document with the draft if that is valid, else the base."""
        validated = self.composed.validated
        return validated.ok_value if isinstance(validated, Ok) else self.base.document

    def with_draft(self, draft: Draft) -> Visit:
        """Return a copy of this visit with another draft on the same base."""
        return Visit(
            session=self.session, newest=self.newest, base=self.base, draft=draft
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Row:
    key: str
    label: str
    cells: tuple[str, ...]
    mark: str
    n_findings: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _FindingRow:
    place: str
    problem: str
    target: str
    label: str


class Pages:
    """Renders the templates, with every value escaped."""

    def __init__(self) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.FileSystemLoader(TEMPLATES),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
        )
        self._environment.filters.update(
            when=_format_time, shorten=_shorten, an=_with_article
        )

    def render_logged_out(
        self, template: str, *, title: str, token: str, **values: Any
    ) -> bytes:
        """Render a page for a client that is not logged in."""
        context = {"operator": "", "n_edits": 0, "notice": "", **values}
        return self._render(template, title=title, token=token, **context)

    def render_without_draft(
        self, template: str, *, title: str, session: Session, token: str, **values: Any
    ) -> bytes:
        """Render a page for an operator without loading the document."""
        return self._render(
            template,
            title=title,
            token=token,
            operator=session.operator,
            nav=NAVIGATION,
            target="",
            draft_text="",
            n_edits=0,
            notice="",
            **values,
        )

    def render_with_draft(
        self,
        template: str,
        visit: Visit,
        *,
        title: str,
        token: str,
        target: str = "",
        notice: str = "",
        **values: Any,
    ) -> bytes:
        """Render a page whose forms carry the visit's draft."""
        newest = visit.newest.head
        return self._render(
            template,
            title=title,
            token=token,
            operator=visit.session.operator,
            nav=NAVIGATION,
            target=target,
            draft_text=visit.draft.encode() if visit.draft.edits else "",
            n_edits=len(visit.draft.edits),
            n_findings=len(visit.findings),
            base_version=visit.draft.base_version,
            newest_version=visit.newest.version,
            newest_author=newest.author if newest is not None else "",
            notice=notice,
            **values,
        )

    def _render(self, template: str, **values: Any) -> bytes:
        return self._environment.get_template(template).render(values).encode()


def overview_values(visit: Visit) -> dict[str, Any]:
    """Return the values of the overview's template."""
    counts = []
    for form in FORMS.values():
        n_items = len(getattr(visit.base.document, form.kind))
        for edit in visit.draft.edits:
            if edit.kind == form.kind:
                n_items += int(edit.is_new) - int(edit.value is None)
        counts.append((form, n_items))
    return {"head": visit.newest.head, "counts": counts}


def list_values(visit: Visit, form: Form, q: str) -> dict[str, Any]:
    """Return the values of a list's template: the first rows that match ``q``."""
    names = _COLUMNS[form.kind]
    columns = [field for field in form.fields if field.name in names]
    edits = {edit.key: edit for edit in visit.draft.edits if edit.kind == form.kind}
    candidates: list[tuple[str, str, object, Edit | None]] = []
    for edit in edits.values():
        if edit.is_new:
            candidates.append((edit.key, edit.label, None, edit))
    for item in getattr(visit.base.document, form.kind):
        key = item_key(form.kind, item)
        candidates.append((key, key, item, edits.get(key)))
    query = q.strip().lower()
    matching = [row for row in candidates if query in row[1].lower()]
    rows = []
    for key, label, item, row_edit in matching[:MAX_ROWS]:
        entry = row_edit.value if row_edit is not None else to_json(item)
        rows.append(
            _Row(
                key=key,
                label=label,
                cells=tuple(
                    _cell((entry or {}).get(column.name)) for column in columns
                ),
                mark=_mark(row_edit),
                n_findings=_n_findings(visit, row_edit),
            )
        )
    return {
        "form": form,
        "columns": columns,
        "rows": rows,
        "n_found": len(matching),
        "q": q,
    }


def item_values(visit: Visit, form: Form, key: str) -> dict[str, Any] | None:
    """Return the values of an entry's form; None if there is no such entry."""
    edit = visit.draft.find(form.kind, key)
    entry = edit.value if edit is not None else None
    if entry is None:
        for item in getattr(visit.base.document, form.kind):
            if item_key(form.kind, item) == key:
                entry = to_json(item)
    if entry is None:
        return None
    findings = visit.composed.findings_of(form.kind, key) if edit is not None else {}
    return {
        "form": form,
        "key": key,
        "is_new": edit is not None and edit.is_new,
        "is_edited": edit is not None,
        "fields": show_entry(form, entry, visit.document, findings),
        "own_findings": findings.get("", []),
        "new_key": "",
    }


def review_values(visit: Visit, operation_id: str, note: str) -> dict[str, Any]:
    """Return the values of the review: the findings, or else the difference."""
    findings = [_finding_row(visit, finding) for finding in visit.findings]
    changes = () if findings else difference(visit.base.document, visit.document)
    return {
        "findings": findings[:MAX_SHOWN_FINDINGS],
        "changes": changes,
        "operation_id": operation_id,
        "note": note,
    }


def status_values(statuses: Iterable[NodeStatus], problem: str) -> dict[str, Any]:
    """Return the values of the status page."""
    nodes = list(statuses)
    versions = Counter(node.version for node in nodes if node.version is not None)
    by_version = sorted(versions.items(), reverse=True)
    return {"statuses": nodes, "by_version": by_version, "problem": problem}


def fields_to_repost(values: FormValues) -> list[tuple[str, str]]:
    """Return posted fields as pairs, without the token, for posting them again."""
    return [
        (name, value)
        for name, given in values.items()
        if name != "token"
        for value in given
    ]


def _finding_row(visit: Visit, finding: Finding) -> _FindingRow:
    for place, edit in visit.composed.places.items():
        if finding.place == place or finding.place.startswith(
            (f"{place}.", f"{place}[")
        ):
            rest = finding.place[len(place) :].lstrip(".")
            shown = f"{edit.kind} / {edit.label}" + (f" / {rest}" if rest else "")
            return _FindingRow(
                place=shown,
                problem=finding.problem,
                target=f"item/{edit.kind}/{edit.key}",
                label=edit.label,
            )
    # The entry itself was not edited: it refers to an entry that the draft removes.
    kind, _, rest = finding.place.partition("[")
    index = rest.partition("]")[0]
    target, label, shown = "", "", finding.place
    if kind in KINDS and index.isdecimal():
        key = _key_at(visit, kind, int(index))
        if key:
            target, label = f"item/{kind}/{key}", key
            shown = f"{kind} / {key} / {rest.partition(']')[2].lstrip('.')}"
    return _FindingRow(place=shown, problem=finding.problem, target=target, label=label)


def _key_at(visit: Visit, kind: str, index: int) -> str:
    """Return the key of the entry at an index of the list with the draft applied.

    Empty if the list is shorter.
    """
    removed = {
        edit.key
        for edit in visit.draft.edits
        if edit.kind == kind and edit.value is None
    }
    keys = [item_key(kind, item) for item in getattr(visit.base.document, kind)]
    kept = [key for key in keys if key not in removed]
    return kept[index] if index < len(kept) else ""


def _mark(edit: Edit | None) -> str:
    if edit is None:
        return ""
    if edit.value is None:
        return "removed"
    return "new" if edit.is_new else "changed"


def _n_findings(visit: Visit, edit: Edit | None) -> int:
    if edit is None:
        return 0
    findings = visit.composed.findings_of(edit.kind, edit.key)
    return sum(len(problems) for problems in findings.values())


def _cell(value: object) -> str:
    return "" if value is None else _shorten(str(value))


def _format_time(at: float) -> str:
    """Format a wall-clock time in UTC; one out of range must not break the page."""
    try:
        return time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(at))
    except (OverflowError, ValueError, OSError):
        return "at an unknown time"


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


def _with_article(noun: str) -> str:
    return f"an {noun}" if noun[0] in "aeiou" else f"a {noun}"
