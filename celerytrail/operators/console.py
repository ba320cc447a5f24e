"""The operators' console: forms over HTTP that lead to one accepted document.

The console keeps nothing. A draft is carried in the operator's page, a session in a
signed cookie, and acceptance is one transaction with an operation id from the form.
So a console that is killed at any step leaves either no trace or a whole version, and
the same page sent to another console goes on from there.
"""

from __future__ import annotations

from urllib.parse import parse_qs

import msgspec
from eliot import log_message
from result import Err, Ok, Result

from ..clock import Clock
from ..document import encode
from ..http import Request
from ..httpserver import Responder
from ..routes import Params, Router
from .actions import Actions, Answer
from .drafts import Draft, decode_draft
from .formfields import FORMS
from .forms import FormValues, blank_entry, first, parse_form, show_entry
from .live import LiveView
from .outcomes import LoadError
from .pages import (
    TEMPLATES,
    Pages,
    Visit,
    fields_again,
    item_values,
    list_values,
    overview_values,
    status_values,
)
from .sessions import Accounts, Session, Sessions
from .store import DocumentStore
from .upload import parse_upload

LOAD_SECONDS = 8.0
HISTORY_LENGTH = 50

# No script is allowed at all, so that a text which were shown unescaped by mistake
# still could not act in an operator's name.
SECURITY_HEADERS = {
    "content-security-policy": "default-src 'none'; style-src 'self';"
    " form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    "x-content-type-options": "nosniff",
    "referrer-policy": "same-origin",
    "cache-control": "no-store",
}
HTML = {"content-type": "text/html; charset=utf-8", **SECURITY_HEADERS}


class Console:
    """Serves the forms.

    Parameters
    ----------
    store : DocumentStore
        Keeps the document.
    accounts : Accounts
        Who may log in.
    sessions : Sessions
        Signs cookies and forms.
    live : LiveView
        Asks the nodes.
    clock : Clock
        Monotonic time for deadlines.
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
        self._accounts = accounts
        self._sessions = sessions
        self._live = live
        self._clock = clock
        self._pages = Pages()
        self._actions = Actions(store=store, live=live, clock=clock)
        self._style = (TEMPLATES / "style.css").read_bytes()

    def add_routes(self, router: Router) -> None:
        """Add all of the console's routes."""
        router.add("GET", "/style.css", self._get_style)
        router.add("GET", "/login", self._get_login)
        router.add("POST", "/login", self._post_login)
        router.add("POST", "/logout", self._post_logout)
        router.add("GET", "/document.json", self._get_document)
        router.add("POST", "/draft", self._post_draft)
        router.add("GET", "/", self._get_page)
        router.add("GET", "/{target+}", self._get_page)

    # Logging in and out.

    async def _get_style(self, req: Request, res: Responder, _: Params) -> None:
        headers = {"content-type": "text/css", "cache-control": "max-age=300"}
        await res.send(200, self._style, headers)

    async def _get_login(self, req: Request, res: Responder, _: Params) -> None:
        await self._send_login(res, 200)

    async def _send_login(
        self, res: Responder, status: int, *, problem: str = "", resume: str = ""
    ) -> None:
        page = self._pages.bare(
            "login.html",
            title="Log in",
            token=self._sessions.login_token(),
            problem=problem,
            resume=resume,
        )
        await res.send(status, page, HTML)

    async def _post_login(self, req: Request, res: Responder, _: Params) -> None:
        values = parse_form(req.body)
        if values is None or _is_foreign(req):
            await self._send_login(res, 403, problem="That was not our login form.")
            return
        resume = first(values, "resume")
        if not self._sessions.is_login_token(first(values, "token")):
            problem = "This form was too old. Please log in again."
            await self._send_login(res, 403, problem=problem, resume=resume)
            return
        name = first(values, "name")[:100]
        if self._accounts.retry_at(name) > self._clock.monotonic():
            problem = "Too many wrong passwords for this name. Try again in 30 seconds."
            await self._send_login(res, 429, problem=problem, resume=resume)
            return
        if not self._accounts.check(name, first(values, "password")):
            log_message("console:login_refused", operator=name, peer=req.peer)
            problem = "The name and password do not belong together."
            await self._send_login(res, 403, problem=problem, resume=resume)
            return
        log_message("console:login", operator=name, peer=req.peer)
        session = self._sessions.open(name)
        headers = {**HTML, "set-cookie": self._sessions.set_cookie(session)}
        fields = self._sessions.read_signed(resume) if resume else None
        if fields is None:
            await res.send(303, b"", {**headers, "location": "/"})
            return
        again = Answer(
            status=200,
            template="again.html",
            title="Go on",
            message="You are logged in again.",
            button="Go on with what I typed",
            fields=msgspec.json.decode(fields, type=list[tuple[str, str]]),
        )
        await res.send(200, self._plain(session, again), headers)

    async def _post_logout(self, req: Request, res: Responder, _: Params) -> None:
        session = self._sessions.read(req.headers.get("cookie", ""))
        values = parse_form(req.body) or {}
        if session is not None and not self._is_genuine(req, session, values):
            await self._send_forged(req, res, session)
            return
        headers = {**HTML, "set-cookie": self._sessions.clear_cookie()}
        await res.send(303, b"", {**headers, "location": "/login"})

    # Pages by link, without a draft.

    async def _get_page(self, req: Request, res: Responder, params: Params) -> None:
        session = self._sessions.read(req.headers.get("cookie", ""))
        if session is None:
            await res.send(303, b"", {**HTML, "location": "/login"})
            return
        opened = await self._open(session, None)
        if isinstance(opened, Err):
            await self._send_unavailable(res, session, opened.err_value, {})
            return
        values = parse_qs(req.query, keep_blank_values=True)
        target = params.get("target") or "overview"
        await self._send_page(res, opened.ok_value, target, values)

    async def _get_document(self, req: Request, res: Responder, _: Params) -> None:
        session = self._sessions.read(req.headers.get("cookie", ""))
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

    # Forms, which carry the draft.

    async def _post_draft(self, req: Request, res: Responder, _: Params) -> None:
        values = parse_upload(req.headers.get("content-type", ""), req.body)
        cookie = req.headers.get("cookie", "")
        session = self._sessions.read(cookie)
        if session is None:
            await self._send_session_ended(req, res, values)
            return
        if values is None or not self._is_genuine(req, session, values):
            await self._send_forged(req, res, session)
            return
        draft: Draft | None = None
        if first(values, "draft"):
            decoded = decode_draft(first(values, "draft"))
            if isinstance(decoded, Err):
                finding = decoded.err_value
                answer = Answer(
                    status=400,
                    template="again.html",
                    title="The draft can't be read",
                    message=str(finding),
                    is_problem=True,
                )
                await res.send(400, self._plain(session, answer), HTML)
                return
            draft = decoded.ok_value
        opened = await self._open(session, draft)
        if isinstance(opened, Err):
            await self._send_unavailable(res, session, opened.err_value, values)
            return
        visit = opened.ok_value
        if not first(values, "do"):
            await self._send_page(res, visit, first(values, "go"), values)
            return
        answer = await self._actions.act(first(values, "do"), visit, values)
        await self._send_answer(res, visit, answer, values)

    async def _send_answer(
        self, res: Responder, visit: Visit, answer: Answer, values: FormValues
    ) -> None:
        if answer.visit is not None:
            visit = answer.visit
        if answer.target:
            await self._send_page(
                res, visit, answer.target, values, answer.notice, answer.status
            )
            return
        if answer.template == "again.html":
            await res.send(answer.status, self._plain(visit.session, answer), HTML)
            return
        page = self._pages.visit(
            answer.template,
            visit,
            title=answer.title,
            token=self._sessions.form_token(visit.session),
            notice=answer.notice,
            **answer.values,
        )
        await res.send(answer.status, page, HTML)

    async def _send_page(
        self,
        res: Responder,
        visit: Visit,
        target: str,
        values: FormValues,
        notice: str = "",
        status: int = 200,
    ) -> None:
        """Send the page that a link or a button names."""
        kind, _, rest = target.partition("/")
        made: Answer | None
        if kind == "overview":
            made = Answer(
                template="overview.html",
                title="Overview",
                values=overview_values(visit),
            )
        elif kind == "list" and rest in FORMS:
            q = first(values, "q")[:100]
            made = Answer(
                template="list.html",
                title=FORMS[rest].title,
                values=list_values(visit, FORMS[rest], q),
            )
        elif kind == "item":
            made = self._item_page(visit, rest)
        elif kind == "new" and rest in FORMS:
            made = self._new_page(visit, rest)
        elif kind == "review":
            made = self._actions.review(visit)
        elif kind == "raw":
            made = self._actions.raw(visit)
        elif kind == "status":
            made = await self._status_page(visit)
        elif kind in ("history", "history-before"):
            made = await self._history_page(visit, kind, rest, values)
        else:
            made = None
        if made is None:
            made = Answer(
                status=404,
                template="again.html",
                title="No such page",
                message="There is nothing here. It may have been removed.",
                fields=(("draft", visit.draft.encode()), ("go", "overview")),
                button="Back to the overview",
                is_problem=True,
            )
        if made.template == "again.html":
            await res.send(made.status, self._plain(visit.session, made), HTML)
            return
        page = self._pages.visit(
            made.template,
            visit,
            title=made.title,
            token=self._sessions.form_token(visit.session),
            target=target,
            notice=notice,
            **made.values,
        )
        await res.send(max(status, made.status), page, HTML)

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
        number = int(rest) if rest.isdecimal() and len(rest) < 10 else None
        if kind == "history" and number is not None:
            return await self._actions.version(visit, number)
        heads = await self._store.history(
            self._deadline(), before=number, limit=HISTORY_LENGTH
        )
        if isinstance(heads, Err):
            return self._actions.unavailable(heads.err_value, values)
        return Answer(
            template="history.html", title="History", values={"heads": heads.ok_value}
        )

    # What pages have in common.

    async def _open(
        self, session: Session, draft: Draft | None
    ) -> Result[Visit, LoadError]:
        """Load the newest version and the one that the draft stands on."""
        loaded = await self._store.load(self._deadline())
        if isinstance(loaded, Err):
            return Err(loaded.err_value)
        newest = loaded.ok_value
        if draft is None or not draft.edits:
            empty = Draft(base_version=newest.version)
            return Ok(Visit(session=session, newest=newest, base=newest, draft=empty))
        base = newest
        if draft.base_version != newest.version:
            found = await self._store.load(self._deadline(), draft.base_version)
            if isinstance(found, Err):
                return Err(found.err_value)
            base = found.ok_value
        if base.version > newest.version:
            # The read of the newest version was served stale.
            newest = base
        return Ok(Visit(session=session, newest=newest, base=base, draft=draft))

    def _is_genuine(self, req: Request, session: Session, values: FormValues) -> bool:
        if _is_foreign(req):
            return False
        return self._sessions.is_form_token(session, first(values, "token"))

    async def _send_session_ended(
        self, req: Request, res: Responder, values: FormValues | None
    ) -> None:
        """Ask to log in again without losing the typing."""
        ended = self._sessions.read_ended(req.headers.get("cookie", ""))
        resume = ""
        if ended is not None and values and self._is_genuine(req, ended, values):
            # Only the operator's own form is carried on, and signed, or else a forged
            # post would be waiting behind the login for the operator to confirm.
            fields = msgspec.json.encode(fields_again(values))
            resume = self._sessions.sign_text(fields.decode())
        await self._send_login(res, 403, resume=resume)

    async def _send_forged(
        self, req: Request, res: Responder, session: Session
    ) -> None:
        log_message("console:forged", operator=session.operator, peer=req.peer)
        answer = Answer(
            status=403,
            template="again.html",
            title="This form was not sent from our page",
            message="Nothing was done. If you logged in anew in another window, load"
            " the page again and repeat the change.",
            is_problem=True,
        )
        await res.send(403, self._plain(session, answer), HTML)

    async def _send_unavailable(
        self, res: Responder, session: Session, error: LoadError, values: FormValues
    ) -> None:
        answer = self._actions.unavailable(error, values)
        await res.send(answer.status, self._plain(session, answer), HTML)

    def _plain(self, session: Session, answer: Answer) -> bytes:
        return self._pages.plain(
            "again.html",
            title=answer.title,
            session=session,
            token=self._sessions.form_token(session),
            message=answer.message,
            findings=answer.findings,
            fields=answer.fields,
            button=answer.button,
            is_problem=answer.is_problem,
        )

    def _deadline(self) -> float:
        return self._clock.monotonic() + LOAD_SECONDS


def _is_foreign(req: Request) -> bool:
    """Return whether the browser says that another site sent the form."""
    return req.headers.get("sec-fetch-site", "same-origin") not in (
        "same-origin",
        "none",
    )
