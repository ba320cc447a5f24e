"""Operators' accounts as the settings hold them: names, and hashes of passwords."""

from __future__ import annotations

import hashlib
import re
import secrets
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from .types import Finding

# Some tens of milliseconds and 16 MB for each try, which makes guessing slow.
SCRYPT_N = 2**14
SCRYPT_R = 8
SCRYPT_P = 1


def make_account(name: str, password: str, *, salt: bytes | None = None) -> str:
    """Return an account as the settings hold it: ``NAME:SALT:HASH`` by scrypt."""
    salt = secrets.token_bytes(16) if salt is None else salt
    return f"{name}:{salt.hex()}:{scrypt_digest(password, salt).hex()}"


Hashes = Mapping[str, "PasswordHash"]

_ACCOUNT = re.compile(
    r"([A-Za-z0-9._-]{1,64}):((?:[0-9a-f]{2}){8,32}):((?:[0-9a-f]{2}){32})"
)


def scrypt_digest(password: str, salt: bytes) -> bytes:
    """Return the hash of a password."""
    return hashlib.scrypt(
        password.encode(), salt=salt, n=SCRYPT_N, r=SCRYPT_R, p=SCRYPT_P, dklen=32
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class PasswordHash:
    """A salt and what scrypt made of it and the password."""

    salt: bytes
    digest: bytes


def parse_accounts(text: str, place: str) -> Result[Hashes, tuple[Finding, ...]]:
    """Read accounts: ``NAME:SALT:HASH``, several with commas between them.

    Parameters
    ----------
    text : str
        The setting.
    place : str
        The setting's name, for the findings.
    """
    findings: list[Finding] = []
    hashes: dict[str, PasswordHash] = {}
    for number, part in enumerate(text.split(","), 1):
        match = _ACCOUNT.fullmatch(part.strip())
        # The text holds hashes, so messages tell the number and never repeat it.
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
