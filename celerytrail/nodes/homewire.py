"""Messages between entry nodes and pool homes, in JSON over HTTP."""

from __future__ import annotations

from dataclasses import dataclass

from ..policies.grants import AdmitRequest, GenerationEnd, Grant
from ..policies.loadreports import EngineReport
from ..types import NotRun

ADMIT_PATH = "/peer/v1/admit"
PROGRESS_PATH = "/peer/v1/progress"


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitBody:
    """A request of an entry node to a home to admit a generation.

    Parameters
    ----------
    pool : str
        The pool's key.
    sender : str
        The entry node.
    req : AdmitRequest
        The request; its ``queue_deadline`` is monotonic time of the entry node and has
        no meaning at the home.
    sent_at, queue_deadline_at : float
        Wall times of the entry node. The home uses their difference only. If it
        compared the second with its own wall clock, a VM whose clock is half a minute
        ahead would refuse every request as late.
    """

    pool: str
    sender: str
    req: AdmitRequest
    sent_at: float
    queue_deadline_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitAnswer:
    """A home's answer: a grant, a refusal, or neither where it isn't the home."""

    grant: Grant | None = None
    refusal: NotRun | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """A generation that has ended, with its total of tokens."""

    grant_id: str
    n_tokens: int
    end: GenerationEnd


@dataclass(frozen=True, kw_only=True, slots=True)
class Adopted:
    """A running generation, sent in full because the home doesn't know it yet."""

    grant: Grant
    req: AdmitRequest
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressBody:
    """A batch: the changes of an entry node's generations since its last batch.

    Parameters
    ----------
    pool, sender : str
        The pool's key and the entry node.
    progress : tuple of (str, int)
        Grant ids and the total of tokens produced so far.
    ended : tuple of Ended
        Generations that ended.
    cancelled : tuple of str
        Ids of requests that were cancelled.
    adopted : tuple of Adopted
        Generations that an earlier answer listed as unknown.
    wants_reports : bool
        Whether to answer with the engines' last reports.
    """

    pool: str
    sender: str
    progress: tuple[tuple[str, int], ...] = ()
    ended: tuple[Ended, ...] = ()
    cancelled: tuple[str, ...] = ()
    adopted: tuple[Adopted, ...] = ()
    wants_reports: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressAnswer:
    """A home's answer to a batch.

    Parameters
    ----------
    is_home : bool
        Whether the node applied the batch as the pool's home.
    unknown : tuple of str
        Ids of grants that the home doesn't know; to be sent as ``adopted``.
    reports : tuple of EngineReport
        The engines' last reports where ``wants_reports`` was set, with ``running``
        left empty.
    ages : tuple of float
        Age of each report in seconds.
    """

    is_home: bool
    unknown: tuple[str, ...] = ()
    reports: tuple[EngineReport, ...] = ()
    ages: tuple[float, ...] = ()
