"""Operators' accounts, sessions and the protection of forms; nothing is kept.

A session is a signed cookie, so any console process with the same secret takes it and
a console that was killed loses nobody's login.
"""

from __future__ import annotations

import hmac
import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from ..accounts import Hashes, PasswordHash, scrypt_digest
from ..clock import Clock

SESSION_SECONDS = 8 * 3600.0
LOGIN_FORM_SECONDS = 3600.0
MIN_KEY_BYTES = 16
MAX_PASSWORD_CHARS = 1_000
COOKIE_NAME = "celerytrail_session"


FAILURES_BEFORE_WAIT = 5
WAIT_SECONDS = 30.0
MAX_TRACKED_NAMES = 1_000


class Accounts:
    """Who may log in, with a brake on guessing.

    Parameters
    ----------
    hashes : Mapping
        Operators' names to their hashes, as `parse_accounts` gives them.
    clock : Clock
        Tells when a name may be tried again.
    """

    def __init__(self, *, hashes: Hashes, clock: Clock) -> None:
        self._hashes = dict(hashes)
        self._clock = clock
        self._failures: dict[str, tuple[int, float]] = {}
        self._nobody = PasswordHash(salt=b"celerytrail", digest=bytes(32))

    def knows(self, name: str) -> bool:
        """Return whether there is such an account."""
        return name in self._hashes

    def check(self, name: str, password: str) -> bool:
        """Return whether a name and password belong together."""
        if len(password) > MAX_PASSWORD_CHARS:
            return False
        # An unknown name costs the same time as a known one, so that the time does
        # not tell which names exist.
        wanted = self._hashes.get(name, self._nobody)
        digest = scrypt_digest(password, wanted.salt)
        is_same = hmac.compare_digest(digest, wanted.digest)
        is_good = is_same and name in self._hashes
        if is_good:
            self._failures.pop(name, None)
        else:
            self._note_failure(name)
        return is_good

    def retry_at(self, name: str) -> float:
        """Return the monotonic time from which a name may be tried."""
        n_failures, at = self._failures.get(name, (0, 0.0))
        if n_failures < FAILURES_BEFORE_WAIT:
            return 0.0
        return at + WAIT_SECONDS

    def _note_failure(self, name: str) -> None:
        n_failures, _ = self._failures.pop(name, (0, 0.0))
        while len(self._failures) >= MAX_TRACKED_NAMES:
            del self._failures[next(iter(self._failures))]
        self._failures[name] = (n_failures + 1, self._clock.monotonic())


@dataclass(frozen=True, kw_only=True, slots=True)
class Session:
    """Who is logged in, until when, and the nonce their forms are bound to."""

    operator: str
    expires_at: float
    nonce: str


class Sessions:
    """Signs and reads session cookies and the tokens in forms.

    Parameters
    ----------
    keys : sequence of bytes
        The same for all consoles; the first signs, all are accepted, so that a key
        can be replaced without logging everybody out.
    clock : Clock
        Its wall time decides what has expired.
    is_secure : bool
        Whether the cookie may travel over TLS only.
    """

    def __init__(
        self, *, keys: Sequence[bytes], clock: Clock, is_secure: bool = False
    ) -> None:
        if not keys or min(len(key) for key in keys) < MIN_KEY_BYTES:
            raise ValueError(f"a key of {MIN_KEY_BYTES} bytes or more is needed")
        self._keys = tuple(keys)
        self._clock = clock
        self._is_secure = is_secure

    def open(self, operator: str) -> Session:
        """Begin a session."""
        return Session(
            operator=operator,
            expires_at=float(int(self._clock.wall() + SESSION_SECONDS)),
            nonce=secrets.token_hex(16),
        )

    def set_cookie(self, session: Session) -> str:
        """Return the ``set-cookie`` header that holds a session."""
        expires_at = int(session.expires_at)
        text = f"{session.operator}|{expires_at}|{session.nonce}"
        value = f"{text}|{self._sign('session', text)}".encode().hex()
        return self._cookie(value, int(SESSION_SECONDS))

    def clear_cookie(self) -> str:
        """Return the ``set-cookie`` header that ends a session."""
        return self._cookie("", 0)

    def read(self, cookie_header: str) -> Session | None:
        """Return the session in a ``cookie`` header, where it is genuine."""
        session = self.read_ended(cookie_header)
        if session is None or session.expires_at <= self._clock.wall():
            return None
        return session

    def read_ended(self, cookie_header: str) -> Session | None:
        """Return the genuine session in a ``cookie`` header, also when it ended."""
        for part in cookie_header.split(";"):
            name, _, value = part.strip().partition("=")
            if name == COOKIE_NAME:
                return self._read(value)
        return None

    def sign_text(self, text: str) -> str:
        """Return a text with a signature, to be read by `read_signed`."""
        return f"{self._sign('text', text)}.{text}"

    def read_signed(self, signed: str) -> str | None:
        """Return the text that `sign_text` signed, where it is genuine."""
        signature, _, text = signed.partition(".")
        return text if self._is_signed("text", text, signature) else None

    def form_token(self, session: Session) -> str:
        """Return what each form of a session must carry.

        Another site can make a browser post a form here with the operator's cookie;
        it can't read this token out of our pages, so the post is told apart.
        """
        return self._sign("form", session.nonce)

    def is_form_token(self, session: Session, token: str) -> bool:
        """Return whether a form carried its session's token."""
        return self._is_signed("form", session.nonce, token)

    def login_token(self) -> str:
        """Return what the login form, which has no session yet, must carry."""
        expires_at = str(int(self._clock.wall() + LOGIN_FORM_SECONDS))
        return f"{expires_at}.{self._sign('login', expires_at)}"

    def is_login_token(self, token: str) -> bool:
        """Return whether a login form came from here, lately."""
        expires_at, _, signature = token.partition(".")
        if not self._is_signed("login", expires_at, signature):
            return False
        return int(expires_at) > self._clock.wall()

    def _read(self, value: str) -> Session | None:
        try:
            text = bytes.fromhex(value).decode()
            text, _, signature = text.rpartition("|")
            operator, expires_at, nonce = text.split("|")
        except ValueError:
            return None
        if not self._is_signed("session", text, signature):
            return None
        return Session(operator=operator, expires_at=float(expires_at), nonce=nonce)

    def _sign(self, purpose: str, text: str) -> str:
        return _signature(self._keys[0], purpose, text)

    def _is_signed(self, purpose: str, text: str, signature: str) -> bool:
        given = signature.encode()
        is_signed = False
        for key in self._keys:
            wanted = _signature(key, purpose, text).encode()
            is_signed |= hmac.compare_digest(wanted, given)
        return is_signed

    def _cookie(self, value: str, max_age: int) -> str:
        parts = [
            f"{COOKIE_NAME}={value}",
            "Path=/",
            f"Max-Age={max_age}",
            "HttpOnly",
            "SameSite=Strict",
        ]
        if self._is_secure:
            parts.append("Secure")
        return "; ".join(parts)


def _signature(key: bytes, purpose: str, text: str) -> str:
    # The purpose keeps one kind of token from passing for another.
    return hmac.digest(key, f"{purpose}|{text}".encode(), "sha256").hex()
