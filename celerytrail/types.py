"""Types that several parts of the package share."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

_PORT = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One problem found in an input, with its place.

    Parameters
    ----------
    place : str
        An option's name, a path in a document, a header or a line of a file.
    problem : str
        What is wrong there and what would be accepted.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """Where a process listens: an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``.

        Raises
        ------
        ValueError
            If the text is not an IP address and a port.
        """
        host, separator, port = text.rpartition(":")
        is_number = _PORT.fullmatch(port) is not None and 0 < int(port) < 65536
        # A scope has a meaning at one machine only, and may be any text.
        if not separator or not is_number or "%" in host:
            raise ValueError(f"{text[:80]!r} is not IP:PORT, such as 127.0.0.1:7100")
        host = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(host)
        return cls(host=host, port=int(port))


@dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The request was certainly not run: never sent, or refused by the endpoint.

    Parameters
    ----------
    reason : str
        A stable code for the cause, such as ``connect_refused`` or ``shed``.
    detail : str
        An explanation in plain text.
    retry_after : float or None
        Seconds from now after which to retry; None if the same request can't succeed.
    """

    reason: str
    detail: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The request may or may not have run; its outcome is not known yet.

    Parameters
    ----------
    reason : str
        A stable code for the cause, such as ``reply_lost``.
    detail : str
        An explanation in plain text.
    status_path : str or None
        The path at which the outcome can be queried.
    """

    reason: str
    detail: str = ""
    status_path: str | None = None
