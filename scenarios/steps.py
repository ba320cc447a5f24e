"""The steps of a scenario, each with its line in the file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

Comparison = Literal["exactly", "at most", "at least"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One sentence of a scenario; ``line`` counts from 1."""

    line: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartAll(Step):
    """Start a whole system and bring an initial document into force."""

    n_nodes: int
    n_engines: int
    n_endpoints: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOne(Step):
    """Start one more process, such as ``node-4``."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskDraft(Step):
    """Request a streamed generation, which continues while further steps run."""

    organisation: str
    node: str
    draft: str
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class File(Step):
    """Make a non-idempotent call, which continues while further steps run."""

    organisation: str
    node: str
    call: str
    key: str
    body: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskStatus(Step):
    """Request the status of an idempotency key from a node."""

    organisation: str
    node: str
    call: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Resume(Step):
    """Resume a draft at another node, after its last event."""

    draft: str
    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel(Step):
    """Cancel a draft through a node."""

    draft: str
    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Disconnect(Step):
    """Close the connection of a draft's caller without cancelling the draft."""

    draft: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeDocument(Step):
    """Change an organisation's priority in the document, as an operator."""

    operator: str
    change: str
    organisation: str
    priority: int
    base: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainEngine(Step):
    """Set the role of an engine or endpoint to drain, as an operator."""

    operator: str
    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Signal(Step):
    """Kill, freeze, thaw or stop a process, as by a signal."""

    process: str
    action: Literal["kill", "freeze", "thaw", "stop"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut(Step):
    """Hold what one process sends to another, without breaking the connection."""

    sender: str
    receiver: str
    is_both_ways: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Heal(Step):
    """Remove all cuts."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DropDatagrams(Step):
    """Drop a share of all datagrams between nodes."""

    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault(Step):
    """Enable a stand-in's fault by its name in ``faultnames.FAULTS``."""

    process: str
    fault: str
    value: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClearFaults(Step):
    """Disable all faults of a stand-in."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ListLeaving(Step):
    """Mark a process's VM as leaving in the platform's VM list."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SayLeaving(Step):
    """Make an engine or endpoint report that it leaves in ``seconds``."""

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Jump(Step):
    """Shift a node's wall clock by ``seconds``."""

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Pass(Step):
    """Wait for ``seconds``."""

    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitTokens(Step):
    """Wait until a draft's caller has at least ``n_tokens`` tokens."""

    draft: str
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitEnd(Step):
    """Wait until a draft or call has ended, or a process has exited."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectOutcome(Step):
    """Check how a draft or call ended.

    ``outcome`` is ``whole``, ``cut``, ``answered``, ``replayed``, ``not run``,
    ``unknown``, ``in progress``, ``refused``, ``accepted`` or ``conflict``; ``reason``
    is empty where any reason is accepted.
    """

    name: str
    outcome: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectRuns(Step):
    """Check how often the endpoints ran a call."""

    call: str
    comparison: Comparison
    n_runs: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectTokens(Step):
    """Check how many tokens a draft's caller received."""

    draft: str
    comparison: Comparison
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectVersion(Step):
    """Check that a node, or every running one, has the newest accepted version."""

    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectEnded(Step):
    """Check whether a process has exited."""

    process: str
    has_ended: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectListed(Step):
    """Check whether all running nodes list a node in their address answers."""

    process: str
    is_listed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectNoNewWork(Step):
    """Check that an engine or endpoint that leaves stops receiving new work.

    The last work may begin ``seconds`` after its leaving could first be known.
    """

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A scenario's file name, title and steps."""

    name: str
    title: str
    steps: tuple[Step, ...]
