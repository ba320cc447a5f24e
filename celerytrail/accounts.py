"""Operators' accounts in the settings: names and password hashes."""

from __future__ import annotations

import hashlib
import re
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from .types import Finding

# Each attempt takes some tens of milliseconds and 16 MB, which slows down guessing.
SCRYPT_N = 2**14
SCRYPT_R = 8
SCRYPT_P = 1


def make_account(name: str, password: str, *, salt: bytes | None = None) -> str:
    """Return an account as ``NAME:SALT:HASH``, the format of the settings."""
    salt = secrets.token_bytes(16) if salt is None else salt
    return f"{name}:{salt.hex()}:{scrypt_digest(password, salt).hex()}"


Hashes = Mapping[str, "PasswordHash"]

_ACCOUNT = re.compile(
    r"([A-Za-z0-9._-]{1,64}):((?:[0-9a-f]{2}){8,32}):((?:[0-9a-f]{2}){32})"
)


def scrypt_digest(password: str, salt: bytes) -> bytes:
    """Return the scrypt hash of a password."""
    return hashlib.scrypt(
        password.encode(), salt=salt, n=SCRYPT_N, r=SCRYPT_R, p=SCRYPT_P, dklen=32
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PasswordHash:
    """Holds a salt and the scrypt hash of it and a password."""

    salt: bytes
    digest: bytes


def parse_accounts(text: str, place: str) -> Result[Hashes, tuple[Finding, ...]]:
    """Parse comma-separated accounts of the form ``NAME:SALT:HASH``.

    Parameters
    ----------
    text : str
        The setting's value.
    place : str
        The setting's name, used in findings.
    """
    findings: list[Finding] = []
    hashes: dict[str, PasswordHash] = {}
    for number, part in enumerate(text.split(","), 1):
        match = _ACCOUNT.fullmatch(part.strip())
        # The text contains hashes, so messages give its number instead.
        if match is None:
            problem = f"account {number} is not NAME:SALT:HASH as made by the command"
            findings.append(Finding(place=place, problem=problem))
            continue
        name, salt, digest = match.groups()
        if name in hashes:
            problem = f"account {number} has the name of an earlier one"
            findings.append(Finding(place=place, problem=problem))
        hashes[name] = PasswordHash(
            salt=bytes.fromhex(salt), digest=bytes.fromhex(digest)
        )
    return Err(tuple(findings)) if findings else Ok(hashes)
