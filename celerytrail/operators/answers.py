"""What a button or a link leads to, and how it goes out as a page."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ..http.server import Responder
from ..types import Finding
from .pages import Pages, Visit
from .sessions import Session, Sessions

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


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What an action leads to: a page by its target, or a template with its values.

    Parameters
    ----------
    status : int
        The HTTP status.
    target : str
        The page to show; empty where ``template`` is given.
    visit : Visit or None
        The visit with its new draft; None where it stays.
    notice : str
        A sentence on top of the page.
    template, title, values
        The template, the page's heading and what else it shows.
    message, findings, fields, button, is_problem
        For ``again.html``: what to say, and the fields to post again.
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


class Screen:
    """Sends answers as pages, each with the token of its session.

    Parameters
    ----------
    pages : Pages
        Renders the templates.
    sessions : Sessions
        Makes the tokens.
    """

    def __init__(self, *, pages: Pages, sessions: Sessions) -> None:
        self._pages = pages
        self._sessions = sessions

    async def send(
        self, res: Responder, visit: Visit, answer: Answer, target: str = ""
    ) -> None:
        """Send an answer that has a template; ``target`` marks the navigation."""
        if answer.template == "again.html":
            await self.send_plain(res, visit.session, answer)
            return
        page = self._pages.visit(
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
        """Send an answer by ``again.html``, for which no document is needed."""
        page = self._pages.plain(
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
