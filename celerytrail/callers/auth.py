"""Which organisation a request comes from, by its API key."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from result import Err, Ok, Result

from ..configuration.current import Configuration
from ..configuration.document import OrganisationSpec, VersionedDocument
from ..http.messages import Request

MAX_KEY_CHARACTERS = 512
SCHEME = "bearer"


@dataclass(frozen=True, kw_only=True, slots=True)
class AuthError:
    """Why a request has no organisation; it never holds the key.

    Parameters
    ----------
    reason : str
        ``no_key``, ``bad_scheme`` or ``unknown_key``.
    message : str
        A sentence for a person.
    """

    reason: str
    message: str


class Authenticator:
    """Finds the organisation whose key a request carries.

    Parameters
    ----------
    configuration : Configuration
        Its document holds the SHA-256 of each key.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._by_digest: dict[str, OrganisationSpec] = {}
        self._index(configuration.current)
        configuration.subscribe(self._index)

    def authenticate(self, req: Request) -> Result[OrganisationSpec, AuthError]:
        """Return the organisation, or why there is none."""
        header = req.headers.get("authorization")
        if header is None:
            message = "send your API key as 'Authorization: Bearer KEY'"
            return Err(AuthError(reason="no_key", message=message))
        scheme, _, key = header.partition(" ")
        key = key.strip()
        if scheme.lower() != SCHEME or not key or len(key) > MAX_KEY_CHARACTERS:
            message = "the header must be 'Authorization: Bearer KEY'"
            return Err(AuthError(reason="bad_scheme", message=message))
        digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        organisation = self._by_digest.get(digest)
        if organisation is None or not _holds(organisation, digest):
            message = "no organisation has this key"
            return Err(AuthError(reason="unknown_key", message=message))
        return Ok(organisation)

    def _index(self, versioned: VersionedDocument) -> None:
        self._by_digest = {
            digest.lower(): organisation
            for organisation in versioned.document.organisations
            for digest in organisation.key_digests
        }


def _holds(organisation: OrganisationSpec, digest: str) -> bool:
    """Compare in constant time.

    The look-up before compares digests, of which a caller can't choose a prefix, so
    its timing tells nothing of a key; this makes sure of it.
    """
    is_held = False
    for known in organisation.key_digests:
        is_held |= hmac.compare_digest(known.lower().encode(), digest.encode())
    return is_held
