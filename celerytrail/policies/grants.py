"""Grants: the leave to start one generation on one engine, and who gives it."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Literal

from result import Result

from ..types import NotRun

GenerationEnd = Literal["answered", "cancelled", "not_run", "lost"]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitRequest:
    """A generation that asks to be let in.

    Parameters
    ----------
    request_id : str
        Unique for each asking; asking again with the same id replaces the former.
    organisation, model, adapter : str
        Whose it is and what it wants; ``adapter`` is empty for none.
    n_prompt_tokens : int
        Tokens in the prompt, estimated where the engine alone can count them.
    n_max_tokens : int
        The most tokens the caller allows; the real number is unknown.
    priority : int
        0 to 9, from the document.
    weight : float
        The organisation's share, from the document.
    prefixes : tuple of str
        Hashes of the prompt's leading blocks, shortest first, to find a warm cache.
    queue_deadline : float
        Monotonic time until which it may wait; then it is refused.
    excluded : tuple of str
        Engines already tried in vain.
    """

    request_id: str
    organisation: str
    model: str
    adapter: str = ""
    n_prompt_tokens: int
    n_max_tokens: int
    priority: int = 5
    weight: float = 1.0
    prefixes: tuple[str, ...] = ()
    queue_deadline: float
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Leave to start a generation on an engine.

    Parameters
    ----------
    grant_id : str
        Names the grant towards whoever gave it; also the generation's id.
    engine : str
        The engine's name in the document.
    home : str
        The node that gave it; empty where the entry node chose by itself.
    """

    grant_id: str
    engine: str
    home: str = ""


class Admitter(abc.ABC):
    """Decides when and where a generation starts."""

    @abc.abstractmethod
    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Wait for a grant, until the request's queue deadline at the latest."""

    @abc.abstractmethod
    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Note how many tokens a granted generation has produced; cheap."""

    @abc.abstractmethod
    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Note that a granted generation has ended, which frees its place."""
