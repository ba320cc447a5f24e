"""An operator at the console, through its forms as a browser would send them."""

from __future__ import annotations

import asyncio
import re
from html.parser import HTMLParser
from urllib.parse import urlencode

from result import Err

from celerytrail.configuration.document import Document, encode
from celerytrail.exceptions import CelerytrailError
from celerytrail.http.client import HttpClient
from celerytrail.http.messages import Response
from celerytrail.types import Address

FORM_TYPE = "application/x-www-form-urlencoded"
ANSWER_SECONDS = 20.0


class OperatorError(CelerytrailError):
    """The console did not take what was entered."""


class _HiddenFields(HTMLParser):
    """Collects the hidden fields of each form that has a certain button."""

    def __init__(self, *, button: str) -> None:
        super().__init__()
        self._button = button
        self._form: dict[str, str] = {}
        self.found: dict[str, str] | None = None

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        fields = {name: value or "" for name, value in attrs}
        if tag == "form":
            self._form = {}
        elif tag == "input" and fields.get("type") == "hidden":
            self._form[fields["name"]] = fields.get("value", "")
        elif tag == "button" and fields.get("value", "") == self._button:
            self.found = self.found or self._form


class Operator:
    """One operator with a session of their own.

    Parameters
    ----------
    console : Address
        Where the console listens.
    """

    def __init__(self, *, console: Address) -> None:
        self._console = console
        self._client = HttpClient(process="operator")
        self._cookie = ""

    async def log_in(self, name: str, password: str) -> None:
        """Log in by the form."""
        page = await self._send("GET", "/login")
        typed = {"name": name, "password": password}
        answer = await self._press(page, "", "/login", typed)
        if not self._cookie:
            raise OperatorError(f"not logged in: status {answer.status}")

    async def submit(self, document: Document, *, note: str) -> int:
        """Enter a whole document, review it and accept it; returns its version."""
        page = await self._send("GET", "/raw")
        typed = {"text": encode(document).decode()}
        review = await self._press(page, "raw", "/draft", typed)
        if review.status != 200:
            raise OperatorError(f"refused: {_text(review)}")
        accepted = await self._press(review, "accept", "/draft", {"note": note})
        found = re.search(r"[Vv]ersion (\d+)", _text(accepted))
        if accepted.status != 200 or found is None:
            raise OperatorError(f"not accepted: {_text(accepted)}")
        return int(found.group(1))

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _press(
        self, page: Response, button: str, path: str, typed: dict[str, str]
    ) -> Response:
        """Send the form that has a button, with what was typed into it."""
        parser = _HiddenFields(button=button)
        parser.feed(page.body.decode())
        if parser.found is None:
            raise OperatorError(f"no button {button!r} in: {_text(page)}")
        fields = {**parser.found, **typed}
        if button:
            fields["do"] = button
        return await self._send("POST", path, urlencode(fields).encode())

    async def _send(self, method: str, path: str, body: bytes = b"") -> Response:
        headers = {"cookie": self._cookie, "content-type": FORM_TYPE}
        deadline = asyncio.get_running_loop().time() + ANSWER_SECONDS
        answer = await self._client.request(
            self._console, method, path, body=body, headers=headers, deadline=deadline
        )
        if isinstance(answer, Err):
            raise OperatorError(str(answer.err_value))
        cookie = answer.ok_value.headers.get("set-cookie")
        if cookie is not None:
            self._cookie = cookie.partition(";")[0]
        return answer.ok_value


def _text(page: Response) -> str:
    """Return a page's words without its tags."""
    return " ".join(re.sub(r"<[^>]*>", " ", page.body.decode()).split())
