"""The platform's object store: its interface and its client."""

from __future__ import annotations

import abc

from result import Err, Ok, Result

from . import storewire
from .client import Exchanger, Unavailable


class ObjectStore(abc.ABC):
    """Keeps bytes by name; ``deadline`` is monotonic, in seconds.

    Names are meant to be made from the content, so that putting an object twice does
    no harm and a put whose reply was lost may simply be repeated.
    """

    @abc.abstractmethod
    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Keep an object; after a failure it may or may not be kept."""

    @abc.abstractmethod
    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Return an object, or None where there is none of that name."""


class HttpObjectStore(ObjectStore):
    """The object store over HTTP."""

    def __init__(self, *, exchanger: Exchanger) -> None:
        self._exchanger = exchanger

    async def put(
        self, name: str, data: bytes, deadline: float
    ) -> Result[None, Unavailable]:
        """Keep an object."""
        made = await self._exchanger.fetch(
            "put_object",
            "PUT",
            storewire.put_object_path(name),
            body=data,
            deadline=deadline,
            allowed=(200, 204),
        )
        return made.map(lambda _: None)

    async def get(
        self, name: str, deadline: float
    ) -> Result[bytes | None, Unavailable]:
        """Return an object, or None."""
        made = await self._exchanger.fetch(
            "get_object",
            "GET",
            storewire.get_object_path(name),
            deadline=deadline,
            allowed=(200, 404),
        )
        if isinstance(made, Err):
            return Err(made.err_value)
        res = made.ok_value
        return Ok(None if res.status == 404 else res.body)
