"""The steps that a scenario is made of, each with the line it stands on."""

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
    """Start a whole system and put a first document in force."""

    n_nodes: int
    n_engines: int
    n_endpoints: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOne(Step):
    """Start one more process, such as ``node-4``."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskDraft(Step):
    """Ask for a streamed generation; it goes on while further steps run."""

    organisation: str
    node: str
    draft: str
    n_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class File(Step):
    """Make a call that may not be repeated; it goes on while further steps run."""

    organisation: str
    node: str
    call: str
    key: str
    body: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AskStatus(Step):
    """Ask a node what became of a key."""

    organisation: str
    node: str
    call: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Resume(Step):
    """Take up a draft at another node, behind its last event."""

    draft: str
    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Cancel(Step):
    """Cancel a draft through a node."""

    draft: str
    node: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Disconnect(Step):
    """Let a draft's caller go away without a word."""

    draft: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeDocument(Step):
    """Let an operator change an organisation's priority in the document."""

    operator: str
    change: str
    organisation: str
    priority: int
    base: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainEngine(Step):
    """Let an operator set an engine's or endpoint's role to drain."""

    operator: str
    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Signal(Step):
    """Kill, freeze, thaw or stop a process, as signals do."""

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
    """Take all cuts away."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DropDatagrams(Step):
    """Drop a share of all datagrams between nodes."""

    percent: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault(Step):
    """Switch on a stand-in's fault by name; what it is called says its page."""

    process: str
    fault: str
    value: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClearFaults(Step):
    """Switch off all faults of a stand-in."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ListLeaving(Step):
    """Let the platform's VM list say that a process's VM is leaving."""

    process: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SayLeaving(Step):
    """Let an engine or endpoint report that it will leave."""

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Jump(Step):
    """Let a node's wall clock jump."""

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Pass(Step):
    """Let time pass."""

    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitTokens(Step):
    """Wait until a draft's caller has so many tokens."""

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
    is empty where any will do.
    """

    name: str
    outcome: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectRuns(Step):
    """Check how often the endpoints ran what a call asked for."""

    call: str
    comparison: Comparison
    n_runs: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectTokens(Step):
    """Check how many tokens a draft's caller got."""

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
    """Check whether the address answers of all running nodes name a node."""

    process: str
    is_listed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectNoNewWork(Step):
    """Check that an engine or endpoint began no work after a time since it left."""

    process: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A whole scenario."""

    name: str
    title: str
    steps: tuple[Step, ...]
