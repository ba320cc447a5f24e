"""Operators' accounts, sessions and the protection of forms against forgery.

Sessions aren't stored. A session is a signed cookie that any console process with the
same key accepts, so logins survive a restart of the console.
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

N_FAILURES_TO_LOCK = 5
LOCKOUT_SECONDS = 30.0
MAX_TRACKED_NAMES = 1_000


class Accounts:
    """Operators' accounts, with a rate limit on guessing passwords.

    Parameters
    ----------
    hashes : Mapping
        Maps operators' names to password hashes, as `parse_accounts` returns them.
    clock : Clock
        Gives the monotonic time for the rate limit.
    """

    def __init__(self, *, hashes: Hashes, clock: Clock) -> None:
        self._hashes = dict(hashes)
        self._clock = clock
        self._failures: dict[str, tuple[int, float]] = {}
        self._dummy_hash = PasswordHash(salt=b"celerytrail", digest=bytes(32))

    def has_account(self, name: str) -> bool:
        """Return whether an account of this name exists."""
        return name in self._hashes

    def verify_password(self, name: str, password: str) -> bool:
        """Return whether the password is that of the account."""
        if len(password) > MAX_PASSWORD_CHARS:
            return False
        # An unknown name takes the same time as a known one, so that the response time
        # doesn't reveal which names exist.
        expected = self._hashes.get(name, self._dummy_hash)
        digest = scrypt_digest(password, expected.salt)
        is_same = hmac.compare_digest(digest, expected.digest)
        is_valid = is_same and name in self._hashes
        if is_valid:
            self._failures.pop(name, None)
        else:
            self._record_failure(name)
        return is_valid

    def retry_at(self, name: str) -> float:
        """Return the monotonic time from which a login under this name is allowed."""
        n_failures, last_failed_at = self._failures.get(name, (0, 0.0))
        if n_failures < N_FAILURES_TO_LOCK:
            return 0.0
        return last_failed_at + LOCKOUT_SECONDS

    def _record_failure(self, name: str) -> None:
        n_failures, _ = self._failures.pop(name, (0, 0.0))
        while len(self._failures) >= MAX_TRACKED_NAMES:
            del self._failures[next(iter(self._failures))]
        self._failures[name] = (n_failures + 1, self._clock.monotonic())


@dataclass(frozen=True, kw_only=True, slots=True)
class Session:
    """An operator's login: the name, the expiry (wall time) and a nonce for forms."""

    operator: str
    expires_at: float
    nonce: str


class Sessions:
    """Signs and verifies session cookies and form tokens.

    Parameters
    ----------
    keys : sequence of bytes
        Signing keys, the same for all consoles. The first one signs and all are
        accepted, so that a key can be rotated without logging everybody out.
    clock : Clock
        Gives the wall time for expiry checks.
    is_secure : bool
        Whether browsers may send the cookie over TLS only.
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
        """Start a session."""
        return Session(
            operator=operator,
            expires_at=float(int(self._clock.wall() + SESSION_SECONDS)),
            nonce=secrets.token_hex(16),
        )

    def set_cookie(self, session: Session) -> str:
        """Return the ``set-cookie`` header that stores a session."""
        expires_at = int(session.expires_at)
        text = f"{session.operator}|{expires_at}|{session.nonce}"
        value = f"{text}|{self._sign('session', text)}".encode().hex()
        return self._format_cookie(value, int(SESSION_SECONDS))

    def clear_cookie(self) -> str:
        """Return the ``set-cookie`` header that ends a session."""
        return self._format_cookie("", 0)

    def read(self, cookie_header: str) -> Session | None:
        """Return the session in a ``cookie`` header; None if forged or expired."""
        session = self.read_ignoring_expiry(cookie_header)
        if session is None or session.expires_at <= self._clock.wall():
            return None
        return session

    def read_ignoring_expiry(self, cookie_header: str) -> Session | None:
        """Return the session in a ``cookie`` header even if expired; None if forged."""
        for part in cookie_header.split(";"):
            name, _, value = part.strip().partition("=")
            if name == COOKIE_NAME:
                return self._parse_cookie(value)
        return None

    def sign_text(self, text: str) -> str:
        """Return a text with its signature, for `read_signed`."""
        return f"{self._sign('text', text)}.{text}"

    def read_signed(self, signed: str) -> str | None:
        """Return the text that `sign_text` signed; None if the signature is wrong."""
        signature, _, text = signed.partition(".")
        return text if self._is_signed("text", text, signature) else None

    def form_token(self, session: Session) -> str:
        """Return the token that every form of a session must contain.

        It protects against cross-site request forgery: another site can make a browser
        post a form here with the operator's cookie, but can't read the token from our
        pages.
        """
        return self._sign("form", session.nonce)

    def is_form_token(self, session: Session, token: str) -> bool:
        """Return whether a form's token belongs to the session."""
        return self._is_signed("form", session.nonce, token)

    def login_token(self) -> str:
        """Return the token for the login form, which has no session yet."""
        expires_at = str(int(self._clock.wall() + LOGIN_FORM_SECONDS))
        return f"{expires_at}.{self._sign('login', expires_at)}"

    def is_login_token(self, token: str) -> bool:
        """Return whether a login form's token is genuine and has not expired."""
        expires_at, _, signature = token.partition(".")
        if not self._is_signed("login", expires_at, signature):
            return False
        return int(expires_at) > self._clock.wall()

    def _parse_cookie(self, value: str) -> Session | None:
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
        signature_bytes = signature.encode()
        is_signed = False
        for key in self._keys:
            expected = _signature(key, purpose, text).encode()
            is_signed |= hmac.compare_digest(expected, signature_bytes)
        return is_signed

    def _format_cookie(self, value: str, max_age: int) -> str:
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
    # The purpose prevents one kind of token from being accepted as another.
    return hmac.digest(key, f"{purpose}|{text}".encode(), "sha256").hex()
