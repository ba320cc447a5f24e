"""What a scenario acts on: processes, links, callers and what can be seen of them."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerytrail.types import Address

if TYPE_CHECKING:
    from .callers import Callers


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How a draft, call or change ended.

    Parameters
    ----------
    kind : str
        One of the outcomes that the language names.
    reason : str
        The stable word for its cause; may be empty.
    """

    kind: str
    reason: str = ""


class Driver(abc.ABC):
    """Starts, ends, disturbs and watches the processes of one scenario."""

    callers: Callers
    newest_version: int = 0

    @abc.abstractmethod
    async def start_all(self, n_nodes: int, n_engines: int, n_endpoints: int) -> None:
        """Start everything; nodes are ``node-1``, ``node-2`` and so on."""

    @abc.abstractmethod
    async def start_one(self, name: str) -> None:
        """Start one more process, or a dead one anew."""

    @abc.abstractmethod
    async def signal(self, name: str, action: str) -> None:
        """Kill, freeze, thaw or stop a process."""

    @abc.abstractmethod
    async def cut(self, sender: str, receiver: str, *, is_both_ways: bool) -> None:
        """Hold what goes from one process to another."""

    @abc.abstractmethod
    async def heal(self) -> None:
        """Take all cuts away."""

    @abc.abstractmethod
    async def drop_datagrams(self, share: float) -> None:
        """Drop a share of the nodes' datagrams."""

    @abc.abstractmethod
    async def jump(self, name: str, seconds: float) -> None:
        """Move a node's wall clock."""

    @abc.abstractmethod
    async def fault(self, name: str, fault: str, value: float | None) -> None:
        """Switch on a stand-in's fault."""

    @abc.abstractmethod
    async def clear_faults(self, name: str) -> None:
        """Switch off a stand-in's faults."""

    @abc.abstractmethod
    async def list_leaving(self, name: str) -> None:
        """Let the platform's VM list say that a process's VM is leaving."""

    @abc.abstractmethod
    async def say_leaving(self, name: str, seconds: float) -> None:
        """Let an engine or endpoint report that it leaves."""

    @abc.abstractmethod
    async def change_priority(
        self, operator: str, change: str, organisation: str, priority: int, base: str
    ) -> None:
        """Let an operator change the document, from another change's base or now."""

    @abc.abstractmethod
    async def drain(self, operator: str, name: str) -> None:
        """Let an operator set the role of an engine or endpoint to drain."""

    @abc.abstractmethod
    def address(self, name: str) -> Address:
        """Return where callers find a node."""

    @abc.abstractmethod
    def outcome(self, name: str) -> Outcome:
        """Return how a draft, call or change ended."""

    @abc.abstractmethod
    async def n_runs(self, call: str) -> int:
        """Return how often endpoints ran a call."""

    @abc.abstractmethod
    async def versions(self) -> dict[str, int]:
        """Return the version in force at each running node."""

    @abc.abstractmethod
    async def listed(self) -> dict[str, set[str]]:
        """Return, for each running node, which nodes its address answer names."""

    @abc.abstractmethod
    async def work_times(self, name: str) -> list[float]:
        """Return when an engine or endpoint began work, on the wall clock."""

    @abc.abstractmethod
    def left_at(self, name: str) -> float:
        """Return when it first could be known that a process is leaving."""

    @abc.abstractmethod
    def has_ended(self, name: str) -> bool:
        """Return whether a process has exited."""

    @abc.abstractmethod
    async def close(self) -> None:
        """End everything that was started."""
