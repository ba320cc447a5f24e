"""The console's pages by name, as links and navigation buttons request them."""

from __future__ import annotations

from result import Err

from ..clock import Clock
from .actions import Actions
from .answers import Answer
from .formfields import FORMS
from .forms import FormValues, blank_entry, first, show_entry
from .live import LiveView
from .pages import Visit, item_values, list_values, overview_values, status_values
from .store import DocumentStore

LOAD_SECONDS = 8.0
N_HISTORY_ROWS = 50


class Views:
    """Builds the pages that have a name.

    Parameters
    ----------
    store : DocumentStore
        Lists the versions.
    actions : Actions
        Builds the pages that are also answers to actions.
    live : LiveView
        Queries the nodes.
    clock : Clock
        Supplies monotonic time for deadlines.
    """

    def __init__(
        self, *, store: DocumentStore, actions: Actions, live: LiveView, clock: Clock
    ) -> None:
        self._store = store
        self._actions = actions
        self._live = live
        self._clock = clock

    async def show(self, visit: Visit, target: str, values: FormValues) -> Answer:
        """Return the page of a name such as ``item/models/contracts``."""
        kind, _, rest = target.partition("/")
        answer = None
        if kind in ("list", "new", "item"):
            answer = self._entry_page(visit, kind, rest, values)
        elif kind == "overview":
            page_values = overview_values(visit)
            answer = Answer(
                template="overview.html", title="Overview", values=page_values
            )
        elif kind == "review":
            answer = self._actions.review(visit)
        elif kind == "raw":
            answer = self._actions.raw(visit)
        elif kind == "status":
            answer = await self._status_page(visit)
        elif kind in ("history", "history-before"):
            answer = await self._history_page(visit, kind, rest, values)
        return answer or _no_such_page(visit)

    def _entry_page(
        self, visit: Visit, kind: str, rest: str, values: FormValues
    ) -> Answer | None:
        if kind == "item":
            return self._item_page(visit, rest)
        if rest not in FORMS:
            return None
        if kind == "new":
            return self._new_page(visit, rest)
        form, q = FORMS[rest], first(values, "q")[:100]
        page_values = list_values(visit, form, q)
        return Answer(template="list.html", title=form.title, values=page_values)

    def _item_page(self, visit: Visit, rest: str) -> Answer | None:
        kind, _, key = rest.partition("/")
        form = FORMS.get(kind)
        values = item_values(visit, form, key) if form is not None else None
        if form is None or values is None:
            return None
        edit = visit.draft.find(kind, key)
        label = edit.label if edit is not None else key
        title = f"{form.one.capitalize()} {label}"
        return Answer(template="item.html", title=title, values=values)

    def _new_page(self, visit: Visit, kind: str) -> Answer:
        form = FORMS[kind]
        entry = blank_entry(form, visit.document)
        values = {
            "form": form,
            "key": visit.draft.new_key(),
            "is_new": True,
            "is_edited": False,
            "fields": show_entry(form, entry, visit.document, {}),
            "own_findings": [],
            "new_key": "",
        }
        return Answer(template="item.html", title=f"New {form.one}", values=values)

    async def _status_page(self, visit: Visit) -> Answer:
        statuses = await self._live.fetch()
        return Answer(
            template="status.html", title="Status", values=status_values(statuses, "")
        )

    async def _history_page(
        self, visit: Visit, kind: str, rest: str, values: FormValues
    ) -> Answer | None:
        version = int(rest) if rest.isdecimal() and len(rest) < 10 else None
        if kind == "history" and version is not None:
            return await self._actions.version(visit, version)
        heads = await self._store.history(
            self._clock.monotonic() + LOAD_SECONDS, before=version, limit=N_HISTORY_ROWS
        )
        if isinstance(heads, Err):
            return self._actions.unavailable(heads.err_value, values)
        return Answer(
            template="history.html", title="History", values={"heads": heads.ok_value}
        )


def _no_such_page(visit: Visit) -> Answer:
    return Answer(
        status=404,
        template="again.html",
        title="No such page",
        message="There is nothing here. It may have been removed.",
        fields=(("draft", visit.draft.encode()), ("go", "overview")),
        button="Back to the overview",
        is_problem=True,
    )
