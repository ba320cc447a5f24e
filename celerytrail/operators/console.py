"""The operators' console: HTTP forms to edit the document and have it accepted.

The console is stateless. The operator's page carries the draft, a signed cookie the
session, and acceptance is one transaction under an operation id from the form. A
console that is killed at any step therefore leaves either nothing or a complete
version, and the same form can be posted to another console.
"""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import parse_qs

import msgspec
from result import Err, Ok, Result

from ..clock import Clock
from ..configuration.document import encode
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from .actions import Actions
from .answers import HTML, SECURITY_HEADERS, Answer, PageSender
from .drafts import Draft, decode_draft
from .forms import FormValues, first
from .live import LiveView
from .outcomes import LoadError
from .pages import TEMPLATES, Pages, Visit
from .sessions import Accounts, Session, Sessions
from .signin import SignIn
from .store import DocumentStore
from .upload import parse_upload
from .views import LOAD_SECONDS, Views


class Console:
    """Serves the console's pages and forms.

    Parameters
    ----------
    store : DocumentStore
        Loads and accepts versions of the document.
    accounts : Accounts
        The operators' accounts.
    sessions : Sessions
        Signs session cookies and form tokens.
    live : LiveView
        Queries the nodes.
    clock : Clock
        Supplies monotonic time for deadlines.
    """

    def __init__(
        self,
        *,
        store: DocumentStore,
        accounts: Accounts,
        sessions: Sessions,
        live: LiveView,
        clock: Clock,
    ) -> None:
        self._store = store
        self._clock = clock
        pages = Pages()
        self._page_sender = PageSender(pages=pages, sessions=sessions)
        self._sign_in = SignIn(
            accounts=accounts,
            sessions=sessions,
            pages=pages,
            page_sender=self._page_sender,
            clock=clock,
        )
        self._actions = Actions(store=store, live=live, clock=clock)
        self._views = Views(store=store, actions=self._actions, live=live, clock=clock)
        self._style = (TEMPLATES / "style.css").read_bytes()

    def add_routes(self, router: Router) -> None:
        """Add all of the console's routes."""
        self._sign_in.add_routes(router)
        router.add("GET", "/style.css", self._get_style)
        router.add("GET", "/document.json", self._get_document)
        router.add("POST", "/draft", self._post_draft)
        router.add("GET", "/", self._get_page)
        router.add("GET", "/{target+}", self._get_page)

    async def _get_style(self, req: Request, res: Responder, _: Params) -> None:
        headers = {"content-type": "text/css", "cache-control": "max-age=300"}
        await res.send(200, self._style, headers)

    # Pages requested by a link, which carries no draft.

    async def _get_page(self, req: Request, res: Responder, params: Params) -> None:
        session = self._sign_in.session_of(req)
        if session is None:
            await res.send(303, b"", {**HTML, "location": "/login"})
            return
        opened = await self._load_visit(session, None)
        if isinstance(opened, Err):
            await self._send_unavailable(res, session, opened.err_value, {})
            return
        values = parse_qs(req.query, keep_blank_values=True)
        target = params.get("target") or "overview"
        visit = opened.ok_value
        answer = await self._views.show(visit, target, values)
        await self._page_sender.send(res, visit, answer, target)

    async def _get_document(self, req: Request, res: Responder, _: Params) -> None:
        session = self._sign_in.session_of(req)
        if session is None:
            await res.send(303, b"", {**HTML, "location": "/login"})
            return
        text = first(parse_qs(req.query), "version")
        version = int(text) if text.isdecimal() and len(text) < 10 else None
        loaded = await self._store.load(self._deadline(), version)
        if isinstance(loaded, Err):
            await self._send_unavailable(res, session, loaded.err_value, {})
            return
        name = f"document-{loaded.ok_value.version}.json"
        headers = {
            **SECURITY_HEADERS,
            "content-type": "application/json",
            "content-disposition": f'attachment; filename="{name}"',
        }
        body = msgspec.json.format(encode(loaded.ok_value.document), indent=2)
        await res.send(200, body, headers)

    # Posted forms, which carry the draft.

    async def _post_draft(self, req: Request, res: Responder, _: Params) -> None:
        values = parse_upload(req.headers.get("content-type", ""), req.body)
        session = self._sign_in.session_of(req)
        if session is None:
            await self._sign_in.send_session_expired(req, res, values)
            return
        if values is None or not self._sign_in.is_genuine(req, session, values):
            await self._sign_in.refuse_forged_form(req, res, session)
            return
        draft: Draft | None = None
        if first(values, "draft"):
            decoded = decode_draft(first(values, "draft"))
            if isinstance(decoded, Err):
                finding = decoded.err_value
                refusal = Answer(
                    status=400,
                    template="again.html",
                    title="The draft can't be read",
                    message=str(finding),
                    is_problem=True,
                )
                await self._page_sender.send_plain(res, session, refusal)
                return
            draft = decoded.ok_value
        opened = await self._load_visit(session, draft)
        if isinstance(opened, Err):
            await self._send_unavailable(res, session, opened.err_value, values)
            return
        visit = opened.ok_value
        if first(values, "do"):
            answer = await self._actions.act(first(values, "do"), visit, values)
        else:
            answer = Answer(target=first(values, "go"))
        visit = answer.visit or visit
        if answer.target:
            page = await self._views.show(visit, answer.target, values)
            status = max(answer.status, page.status)
            page = replace(page, notice=answer.notice, status=status)
            await self._page_sender.send(res, visit, page, answer.target)
            return
        await self._page_sender.send(res, visit, answer)

    # Shared by links and forms.

    async def _load_visit(
        self, session: Session, draft: Draft | None
    ) -> Result[Visit, LoadError]:
        """Load the newest version and the one that the draft is based on."""
        loaded = await self._store.load(self._deadline())
        if isinstance(loaded, Err):
            return Err(loaded.err_value)
        newest = loaded.ok_value
        if draft is None or not draft.edits:
            empty = Draft(base_version=newest.version)
            return Ok(Visit(session=session, newest=newest, base=newest, draft=empty))
        base = newest
        if draft.base_version != newest.version:
            loaded_base = await self._store.load(self._deadline(), draft.base_version)
            if isinstance(loaded_base, Err):
                return Err(loaded_base.err_value)
            base = loaded_base.ok_value
        if base.version > newest.version:
            # The read of the newest version returned a stale one.
            newest = base
        return Ok(Visit(session=session, newest=newest, base=base, draft=draft))

    async def _send_unavailable(
        self, res: Responder, session: Session, error: LoadError, values: FormValues
    ) -> None:
        answer = self._actions.unavailable(error, values)
        await self._page_sender.send_plain(res, session, answer)

    def _deadline(self) -> float:
        return self._clock.monotonic() + LOAD_SECONDS
