"""Grants, each of which permits one generation on one engine, and who issues them."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Literal

from result import Result

from ..types import NotRun

GenerationEnd = Literal["answered", "cancelled", "not_run", "lost"]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitRequest:
    """A request to admit one generation.

    Parameters
    ----------
    request_id : str
        Unique per request; a request with the same id replaces the earlier one.
    organisation, model, adapter : str
        The organisation it runs for, and the model and adapter it needs; ``adapter``
        is empty for none.
    n_prompt_tokens : int
        Tokens in the prompt, estimated where only the engine can count them.
    n_max_tokens : int
        The most tokens the caller allows; the actual number is unknown.
    priority : int
        0 to 9, from the document.
    weight : float
        The organisation's weight, from the document.
    prefixes : tuple of str
        Hashes of the prompt's leading blocks, shortest first, to find a cached
        prefix.
    queue_deadline : float
        Monotonic time at which it is refused if it still waits.
    excluded : tuple of str
        Engines that already failed to run it.
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
    """Permission to start a generation on an engine.

    Parameters
    ----------
    grant_id : str
        Identifies the grant to the node that issued it; also the generation's id.
    engine : str
        The engine's name in the document.
    home : str
        The node that issued it; empty if the entry node chose the engine itself.
    """

    grant_id: str
    engine: str
    home: str = ""


class Admitter(abc.ABC):
    """Decides when and where a generation starts."""

    @abc.abstractmethod
    async def admit(self, req: AdmitRequest) -> Result[Grant, NotRun]:
        """Wait for a grant until the request's queue deadline, or return a refusal."""

    @abc.abstractmethod
    def progress(self, grant: Grant, n_tokens: int) -> None:
        """Record how many tokens a granted generation has produced.

        This is called often and must be cheap.
        """

    @abc.abstractmethod
    def finish(self, grant: Grant, n_tokens: int, end: GenerationEnd) -> None:
        """Record that a granted generation has ended, which frees its place."""
