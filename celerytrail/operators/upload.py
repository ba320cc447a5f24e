"""Parses posted forms, with or without a file."""

from __future__ import annotations

from email.errors import MessageError
from email.parser import BytesParser
from email.policy import HTTP

from .forms import FormValues, parse_form

MULTIPART = "multipart/form-data"


def parse_upload(content_type: str, body: bytes) -> FormValues | None:
    """Parse a form's body; a file's content becomes the value of its field.

    Parameters
    ----------
    content_type : str
        The request's ``content-type`` header.
    body : bytes
        The request's body.

    Returns
    -------
    FormValues or None
        The values by field name; None if the body is not a form.
    """
    if not content_type.lower().startswith(MULTIPART):
        return parse_form(body)
    head = f"Content-Type: {content_type}\r\n\r\n".encode("latin-1", "replace")
    try:
        message = BytesParser(policy=HTTP).parsebytes(head + body)
        if not message.is_multipart():
            return None
        values: dict[str, list[str]] = {}
        for part in message.iter_parts():
            name = part.get_param("name", header="content-disposition")
            content = part.get_payload(decode=True)
            if isinstance(name, str) and isinstance(content, bytes):
                values.setdefault(name, []).append(content.decode())
    except (MessageError, UnicodeError, LookupError, ValueError):
        return None
    return values
