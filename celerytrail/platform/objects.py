"""The platform's object store: its interface and its HTTP client."""

from __future__ import annotations

import abc

from result import Err, Ok, Result

from . import storewire
from .client import Exchanger, Unavailable


class ObjectStore(abc.ABC):
    """Stores bytes by name; ``deadline`` is monotonic, in seconds.

    Names should be derived from the content. Putting an object twice then does no
    harm, and a put whose reply was lost can be repeated.
    """

    @abc.abstractmethod
    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Store an object; after a failure it may or may not be stored."""

    @abc.abstractmethod
    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if there is none with that name."""


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Store an object."""
        result = await self._exchanger.fetch(
            "put_object",
            "PUT",
            storewire.put_object_path(name),
            body=data,
            deadline=deadline,
            allowed=(200, 204),
        )
        return result.map(lambda _: None)

    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Return an object, or None if there is none with that name."""
        result = await self._exchanger.fetch(
            "get_object",
            "GET",
            storewire.get_object_path(name),
            deadline=deadline,
            allowed=(200, 404),
        )
        if isinstance(result, Err):
            return Err(result.err_value)
        res = result.ok_value
        return Ok(None if res.status == 404 else res.body)
