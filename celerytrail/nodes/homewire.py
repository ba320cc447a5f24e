"""What entry nodes and pool homes say to each other, in JSON over HTTP."""

from __future__ import annotations

from dataclasses import dataclass

from ..policies.grants import AdmitRequest, GenerationEnd, Grant
from ..policies.reports import EngineReport
from ..types import NotRun

ADMIT_PATH = "/peer/v1/admit"
PROGRESS_PATH = "/peer/v1/progress"


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitBody:
    """An entry node asks a home to let a generation in.

    Parameters
    ----------
    pool : str
        The pool's key.
    sender : str
        The entry node.
    req : AdmitRequest
        What is asked; its ``queue_deadline`` means nothing at the home.
    sent_at, queue_deadline_at : float
        Wall times of the entry node. The home takes their difference: were the second
        held against its own wall clock, one VM whose clock is half a minute ahead
        would refuse every request as late.
    """

    pool: str
    sender: str
    req: AdmitRequest
    sent_at: float
    queue_deadline_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmitAnswer:
    """A home's answer: a grant, a refusal, or that it isn't the home (neither)."""

    grant: Grant | None = None
    refusal: NotRun | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """A generation that has ended."""

    grant_id: str
    n_tokens: int
    end: GenerationEnd


@dataclass(frozen=True, kw_only=True, slots=True)
class Adopted:
    """A running generation that the home doesn't know yet."""

    grant: Grant
    req: AdmitRequest
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProgressBody:
    """What became of an entry node's generations since its last batch.

    Parameters
    ----------
    pool, sender : str
        The pool's key and the entry node.
    progress : tuple of (str, int)
        Grant ids and all tokens produced so far.
    ended : tuple of Ended
        Generations that ended.
    cancelled : tuple of str
        Request ids that are no longer asked for.
    adopted : tuple of Adopted
        What an earlier answer said the home doesn't know.
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
        Whether the node took the batch as the pool's home.
    unknown : tuple of str
        Grant ids to send as adopted.
    reports : tuple of EngineReport
        Where they were asked for; without the lists of what runs.
    ages : tuple of float
        Seconds since each report was true.
    """

    is_home: bool
    unknown: tuple[str, ...] = ()
    reports: tuple[EngineReport, ...] = ()
    ages: tuple[float, ...] = ()
