"""The answer to a button or a link, and how it is sent as a page."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ..http.server import Responder
from ..types import Finding
from .pages import Pages, Visit
from .sessions import Session, Sessions

# No script is allowed at all: a text that a fault leaves unescaped can't act in an
# operator's name.
SECURITY_HEADERS = {
    "content-security-policy": "default-src 'none'; style-src 'self';"
    " form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    "x-content-type-options": "nosniff",
    "referrer-policy": "same-origin",
    "cache-control": "no-store",
}
HTML = {"content-type": "text/html; charset=utf-8", **SECURITY_HEADERS}


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The answer to a request: a page by its target, or a template with its values.

    Parameters
    ----------
    status : int
        The HTTP status.
    target : str
        The page to show; empty if ``template`` is given.
    visit : Visit or None
        The visit with its new draft; None if the draft is unchanged.
    notice : str
        A sentence shown at the top of the page.
    template, title, values
        The template, the page's heading and the template's other values.
    message, findings, fields, button, is_problem
        For ``again.html``: the message, the findings, and the fields and the button of
        the form that reposts them.
    """

    status: int = 200
    target: str = ""
    visit: Visit | None = None
    notice: str = ""
    template: str = ""
    title: str = ""
    values: dict[str, Any] = field(default_factory=dict)
    message: str = ""
    findings: Sequence[Finding] = ()
    fields: Sequence[tuple[str, str]] = ()
    button: str = ""
    is_problem: bool = False


class PageSender:
    """Sends answers as pages, with the form token of the session.

    Parameters
    ----------
    pages : Pages
        Renders the templates.
    sessions : Sessions
        Makes the form tokens.
    """

    def __init__(self, *, pages: Pages, sessions: Sessions) -> None:
        self._pages = pages
        self._sessions = sessions

    async def send(
        self, res: Responder, visit: Visit, answer: Answer, target: str = ""
    ) -> None:
        """Send an answer that has a template; ``target`` is the current page."""
        if answer.template == "again.html":
            await self.send_plain(res, visit.session, answer)
            return
        page = self._pages.render_with_draft(
            answer.template,
            visit,
            title=answer.title,
            token=self._sessions.form_token(visit.session),
            target=target,
            notice=answer.notice,
            **answer.values,
        )
        await res.send(answer.status, page, HTML)

    async def send_plain(
        self,
        res: Responder,
        session: Session,
        answer: Answer,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send an answer by ``again.html``, which needs no document."""
        page = self._pages.render_without_draft(
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
        await res.send(answer.status, page, {**HTML, **(headers or {})})
