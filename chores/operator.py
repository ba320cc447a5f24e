"""A client of the console that submits its forms as a browser does."""

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
ANSWER_TIMEOUT_SECONDS = 20.0


class OperatorError(CelerytrailError):
    """The console does not answer, or refuses what was submitted."""


class _HiddenFields(HTMLParser):
    """Collects the hidden fields of the first form with a given button."""

    def __init__(self, *, button: str) -> None:
        super().__init__()
        self._button = button
        self._form_fields: dict[str, str] = {}
        self.found: dict[str, str] | None = None

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        attributes = {name: value or "" for name, value in attrs}
        if tag == "form":
            self._form_fields = {}
        elif tag == "input" and attributes.get("type") == "hidden":
            self._form_fields[attributes["name"]] = attributes.get("value", "")
        elif tag == "button" and attributes.get("value", "") == self._button:
            self.found = self.found or self._form_fields


class Operator:
    """A console session of one operator.

    Parameters
    ----------
    console : Address
        Address at which the console listens.
    """

    def __init__(self, *, console: Address) -> None:
        self._console = console
        self._client = HttpClient(process="operator")
        self._cookie = ""

    async def log_in(self, name: str, password: str) -> None:
        """Log in through the login form.

        Raises
        ------
        OperatorError
            When the console sets no session cookie.
        """
        page = await self._request("GET", "/login")
        entered = {"name": name, "password": password}
        answer = await self._submit_form(page, "", "/login", entered)
        if not self._cookie:
            raise OperatorError(f"login failed: status {answer.status}")

    async def submit(self, document: Document, *, note: str) -> int:
        """Enter a whole document, review and accept it; return its version.

        Raises
        ------
        OperatorError
            When the console refuses the document or does not accept it.
        """
        page = await self._request("GET", "/raw")
        entered = {"text": encode(document).decode()}
        review = await self._submit_form(page, "raw", "/draft", entered)
        if review.status != 200:
            raise OperatorError(f"document refused: {_page_text(review)}")
        accepted = await self._submit_form(review, "accept", "/draft", {"note": note})
        version_match = re.search(r"[Vv]ersion (\d+)", _page_text(accepted))
        if accepted.status != 200 or version_match is None:
            raise OperatorError(f"document not accepted: {_page_text(accepted)}")
        return int(version_match.group(1))

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _submit_form(
        self, page: Response, button: str, path: str, entered: dict[str, str]
    ) -> Response:
        """Submit the form that has the button, with the entered fields."""
        parser = _HiddenFields(button=button)
        parser.feed(page.body.decode())
        if parser.found is None:
            raise OperatorError(
                f"no form with button {button!r} in: {_page_text(page)}"
            )
        fields = {**parser.found, **entered}
        if button:
            fields["do"] = button
        return await self._request("POST", path, urlencode(fields).encode())

    async def _request(self, method: str, path: str, body: bytes = b"") -> Response:
        headers = {"cookie": self._cookie, "content-type": FORM_TYPE}
        deadline = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_SECONDS
        answer = await self._client.request(
            self._console, method, path, body=body, headers=headers, deadline=deadline
        )
        if isinstance(answer, Err):
            raise OperatorError(str(answer.err_value))
        cookie = answer.ok_value.headers.get("set-cookie")
        if cookie is not None:
            self._cookie = cookie.partition(";")[0]
        return answer.ok_value


def _page_text(page: Response) -> str:
    """Return the text of a page without its tags."""
    return " ".join(re.sub(r"<[^>]*>", " ", page.body.decode()).split())
