"""Loading of a version's tree from trees in memory and fetched objects."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from result import Err, Ok, Result

from ..types import Finding
from .sections import ROOT, Section, Tree, read_index, read_section

N_PARALLEL = 8

E = TypeVar("E")
GetObject = Callable[[str], Awaitable[Result[bytes, E]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class InvalidObject:
    """An object matches its digest but its content is invalid, so no retry helps."""

    findings: tuple[Finding, ...]


class TreeLoader(Generic[E]):
    """Loads one tree and reuses the objects it shares with trees in memory.

    Parameters
    ----------
    get : callable
        Returns an object's bytes by its digest.
    cached_trees : sequence of Tree
        Trees that are already in memory.
    """

    def __init__(self, *, get: GetObject[E], cached_trees: Sequence[Tree] = ()) -> None:
        self._fetch_object = get
        self._cached_trees = cached_trees

    async def load(self, root: str) -> Result[Tree, E | InvalidObject]:
        """Load the tree with this root."""
        indexes = await self._load_index(ROOT, root)
        if isinstance(indexes, Err):
            return Err(indexes.err_value)
        digests: dict[str, str] = {}
        for name, digest in indexes.ok_value.items():
            index = await self._load_index(name, digest)
            if isinstance(index, Err):
                return Err(index.err_value)
            digests.update(index.ok_value)
        sections = await self._load_sections(digests)
        if isinstance(sections, Err):
            return Err(sections.err_value)
        tree = Tree(sections=sections.ok_value)
        if tree.root != root:
            # This node couldn't serve these objects to peers under their digests.
            problem = "its root names indexes that are not in canonical form"
            return Err(
                InvalidObject(
                    findings=(Finding(place=f"object {root}", problem=problem),)
                )
            )
        return Ok(tree)

    async def _load_index(
        self, name: str, digest: str
    ) -> Result[dict[str, str], E | InvalidObject]:
        data = await self._get_object(digest)
        if isinstance(data, Err):
            return Err(data.err_value)
        index = read_index(data.ok_value, name, digest)
        if isinstance(index, Err):
            return Err(InvalidObject(findings=index.err_value))
        return Ok(dict(index.ok_value.digests))

    async def _load_sections(
        self, digests: dict[str, str]
    ) -> Result[dict[str, Section], E | InvalidObject]:
        sections: dict[str, Section] = {}
        missing: list[tuple[str, str]] = []
        for name, digest in digests.items():
            cached = self._cached_section(digest)
            if cached is not None and cached.name == name:
                sections[name] = cached
            else:
                missing.append((name, digest))
        for start in range(0, len(missing), N_PARALLEL):
            batch = missing[start : start + N_PARALLEL]
            loads = [self._load_section(name, digest) for name, digest in batch]
            for made in await asyncio.gather(*loads):
                if isinstance(made, Err):
                    return Err(made.err_value)
                sections[made.ok_value.name] = made.ok_value
        return Ok(sections)

    async def _load_section(
        self, name: str, digest: str
    ) -> Result[Section, E | InvalidObject]:
        data = await self._get_object(digest)
        if isinstance(data, Err):
            return Err(data.err_value)
        section = read_section(data.ok_value, name, digest)
        if isinstance(section, Err):
            return Err(InvalidObject(findings=section.err_value))
        return Ok(section.ok_value)

    def _cached_section(self, digest: str) -> Section | None:
        for tree in self._cached_trees:
            section = tree.section(digest)
            if section is not None:
                return section
        return None

    async def _get_object(self, digest: str) -> Result[bytes, E]:
        for tree in self._cached_trees:
            data = tree.get(digest)
            if data is not None:
                return Ok(data)
        return await self._fetch_object(digest)
