"""Signatures of datagrams and requests between nodes."""

from __future__ import annotations

import hmac
from collections.abc import Sequence

from ..http.messages import Request

SIGNATURE_HEADER = "x-peer-signature"
SIGNATURE_BYTES = 16


class PeerKeys:
    """Holds the shared peer keys; the first signs, all are accepted.

    Accepting several allows key rotation during a rolling restart: first every node
    accepts the new key, then every node signs with it.

    Parameters
    ----------
    keys : sequence of bytes
        At least one key; the first signs.
    """

    def __init__(self, *, keys: Sequence[bytes]) -> None:
        if not keys or not all(keys):
            raise ValueError("at least one peer key is needed, and none may be empty")
        self._keys = tuple(keys)

    def seal(self, data: bytes) -> bytes:
        """Return the data prefixed with its signature."""
        return _sign(self._keys[0], data) + data

    def open(self, sealed: bytes) -> bytes | None:
        """Return the data of a sealed datagram, or None if no key matches."""
        signature, data = sealed[:SIGNATURE_BYTES], sealed[SIGNATURE_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(_sign(key, data), signature):
                return data
        return None

    def headers(self, method: str, path: str, body: bytes) -> dict[str, str]:
        """Return the signature header of a request to another node."""
        signature = _sign(self._keys[0], _request_text(method, path, body))
        return {SIGNATURE_HEADER: signature.hex()}

    def accepts(self, req: Request) -> bool:
        """Return whether the request is signed with one of the keys."""
        given = req.headers.get(SIGNATURE_HEADER, "").encode("utf-8")
        text = _request_text(req.method, req.path, req.body)
        is_signed = False
        for key in self._keys:
            expected = _sign(key, text).hex().encode("ascii")
            is_signed |= hmac.compare_digest(expected, given)
        return is_signed


def _sign(key: bytes, data: bytes) -> bytes:
    # HMAC-SHA256 truncated to 128 bits, as RFC 2104 allows, so that a signature takes
    # only 16 bytes of every datagram.
    return hmac.digest(key, data, "sha256")[:SIGNATURE_BYTES]


def _request_text(method: str, path: str, body: bytes) -> bytes:
    return f"{method} {path}\n".encode() + body
