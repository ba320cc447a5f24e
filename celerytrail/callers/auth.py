"""Identification of organisations by API key."""

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
    """The reason why a request can't be authenticated; it never contains the key.

    Parameters
    ----------
    reason : str
        ``no_key``, ``bad_scheme`` or ``unknown_key``.
    message : str
        Human-readable explanation.
    """

    reason: str
    message: str


class Authenticator:
    """Finds the organisation to which a request's API key belongs.

    Parameters
    ----------
    configuration : Configuration
        Its document holds the SHA-256 digest of each key.
    """

    def __init__(self, *, configuration: Configuration) -> None:
        self._organisations_by_digest: dict[str, OrganisationSpec] = {}
        self._index_keys(configuration.current)
        configuration.subscribe(self._index_keys)

    def authenticate(self, req: Request) -> Result[OrganisationSpec, AuthError]:
        """Return the organisation, or the reason why the request has none."""
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
        organisation = self._organisations_by_digest.get(digest)
        if organisation is None or not _has_digest(organisation, digest):
            message = "no organisation has this key"
            return Err(AuthError(reason="unknown_key", message=message))
        return Ok(organisation)

    def _index_keys(self, versioned: VersionedDocument) -> None:
        self._organisations_by_digest = {
            digest.lower(): organisation
            for organisation in versioned.document.organisations
            for digest in organisation.key_digests
        }


def _has_digest(organisation: OrganisationSpec, digest: str) -> bool:
    """Check in constant time that a digest belongs to an organisation.

    The dictionary lookup before it compares digests, whose prefix a caller can't
    choose, so its timing reveals nothing about a key. This comparison is an additional
    safeguard.
    """
    is_match = False
    for known_digest in organisation.key_digests:
        is_match |= hmac.compare_digest(known_digest.lower().encode(), digest.encode())
    return is_match
