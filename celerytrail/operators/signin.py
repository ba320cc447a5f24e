"""Login and logout, and the refusal of forged forms."""

from __future__ import annotations

import msgspec
from eliot import log_message

from ..clock import Clock
from ..http.messages import Request
from ..http.routes import Params, Router
from ..http.server import Responder
from .answers import HTML, Answer, PageSender
from .forms import FormValues, first, parse_form
from .pages import Pages, fields_to_repost
from .sessions import Accounts, Session, Sessions


class SignIn:
    """Authenticates operators and their forms.

    Parameters
    ----------
    accounts : Accounts
        The accounts that may log in.
    sessions : Sessions
        Signs and verifies cookies and form tokens.
    pages : Pages
        Renders the login form.
    page_sender : PageSender
        Sends pages to operators who are logged in.
    clock : Clock
        Gives monotonic time for the rate limit on guessing passwords.
    """

    def __init__(
        self,
        *,
        accounts: Accounts,
        sessions: Sessions,
        pages: Pages,
        page_sender: PageSender,
        clock: Clock,
    ) -> None:
        self._accounts = accounts
        self._sessions = sessions
        self._pages = pages
        self._page_sender = page_sender
        self._clock = clock

    def add_routes(self, router: Router) -> None:
        """Add the routes for logging in and out."""
        router.add("GET", "/login", self._get_login)
        router.add("POST", "/login", self._post_login)
        router.add("POST", "/logout", self._post_logout)

    def session_of(self, req: Request) -> Session | None:
        """Return the session of a request; None without a login or its account."""
        session = self._sessions.read(req.headers.get("cookie", ""))
        if session is None or not self._accounts.has_account(session.operator):
            return None
        return session

    def is_genuine(self, req: Request, session: Session, values: FormValues) -> bool:
        """Return whether a form was sent from a page of this session."""
        if _is_cross_site(req):
            return False
        return self._sessions.is_form_token(session, first(values, "token"))

    async def send_session_expired(
        self, req: Request, res: Responder, values: FormValues | None
    ) -> None:
        """Send the login form, which carries the typed values of an expired session."""
        expired = self._sessions.read_ignoring_expiry(req.headers.get("cookie", ""))
        resume = ""
        if expired is not None and values and self.is_genuine(req, expired, values):
            # Only the operator's own form is carried over, and it is signed. Otherwise
            # a forged form would await the operator's confirmation after the login.
            fields = msgspec.json.encode(fields_to_repost(values))
            resume = self._sessions.sign_text(fields.decode())
        await self._send_login(res, 403, resume=resume)

    async def refuse_forged_form(
        self, req: Request, res: Responder, session: Session
    ) -> None:
        """Refuse a form that another site may have made the browser send."""
        log_message("console:forged", operator=session.operator, peer=req.peer)
        answer = Answer(
            status=403,
            template="again.html",
            title="This form was not sent from our page",
            message="Nothing was done. If you logged in anew in another window, load"
            " the page again and repeat the change.",
            is_problem=True,
        )
        await self._page_sender.send_plain(res, session, answer)

    async def _get_login(self, req: Request, res: Responder, _: Params) -> None:
        await self._send_login(res, 200)

    async def _send_login(
        self, res: Responder, status: int, *, problem: str = "", resume: str = ""
    ) -> None:
        page = self._pages.render_logged_out(
            "login.html",
            title="Log in",
            token=self._sessions.login_token(),
            problem=problem,
            resume=resume,
        )
        await res.send(status, page, HTML)

    async def _post_login(self, req: Request, res: Responder, _: Params) -> None:
        values = parse_form(req.body)
        if values is None or _is_cross_site(req):
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
        if not self._accounts.verify_password(name, first(values, "password")):
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
        resume_page = Answer(
            template="again.html",
            title="Go on",
            message="You are logged in again.",
            button="Go on with what I typed",
            fields=msgspec.json.decode(fields, type=list[tuple[str, str]]),
        )
        await self._page_sender.send_plain(res, session, resume_page, headers)

    async def _post_logout(self, req: Request, res: Responder, _: Params) -> None:
        session = self.session_of(req)
        values = parse_form(req.body) or {}
        if session is not None and not self.is_genuine(req, session, values):
            await self.refuse_forged_form(req, res, session)
            return
        headers = {**HTML, "set-cookie": self._sessions.clear_cookie()}
        await res.send(303, b"", {**headers, "location": "/login"})


def _is_cross_site(req: Request) -> bool:
    """Return whether the browser reports that another site sent the form."""
    return req.headers.get("sec-fetch-site", "same-origin") not in (
        "same-origin",
        "none",
    )
