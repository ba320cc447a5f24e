"""The interface between scenarios and the processes, links and callers they act on."""

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
        One of the outcomes that ``ExpectOutcome`` lists.
    reason : str
        Stable code of the cause; may be empty.
    """

    kind: str
    reason: str = ""


class Driver(abc.ABC):
    """Starts, stops, disturbs and observes the processes of one scenario."""

    callers: Callers
    newest_version: int = 0

    @abc.abstractmethod
    async def start_all(self, n_nodes: int, n_engines: int, n_endpoints: int) -> None:
        """Start all processes; nodes are named ``node-1``, ``node-2`` and so on."""

    @abc.abstractmethod
    async def start_one(self, name: str) -> None:
        """Start one more process, or restart a dead one."""

    @abc.abstractmethod
    async def signal(self, name: str, action: str) -> None:
        """Kill, freeze, thaw or stop a process."""

    @abc.abstractmethod
    async def cut(self, sender: str, receiver: str, *, is_both_ways: bool) -> None:
        """Hold what one process sends to another."""

    @abc.abstractmethod
    async def heal(self) -> None:
        """Remove all cuts."""

    @abc.abstractmethod
    async def drop_datagrams(self, share: float) -> None:
        """Drop a share, from 0 to 1, of the nodes' datagrams."""

    @abc.abstractmethod
    async def shift_clock(self, name: str, seconds: float) -> None:
        """Shift a node's wall clock by ``seconds``."""

    @abc.abstractmethod
    async def fault(self, name: str, fault: str, value: float | None) -> None:
        """Enable a fault of a stand-in."""

    @abc.abstractmethod
    async def clear_faults(self, name: str) -> None:
        """Disable all faults of a stand-in."""

    @abc.abstractmethod
    async def list_leaving(self, name: str) -> None:
        """Mark a process's VM as leaving in the platform's VM list."""

    @abc.abstractmethod
    async def announce_leaving(self, name: str, seconds: float) -> None:
        """Make an engine or endpoint report that it leaves in ``seconds``."""

    @abc.abstractmethod
    async def change_priority(
        self, operator: str, change: str, organisation: str, priority: int, base: str
    ) -> None:
        """Change an organisation's priority as an operator.

        The change builds on the base of the change named ``base``, or on the current
        document where ``base`` is empty.
        """

    @abc.abstractmethod
    async def drain(self, operator: str, name: str) -> None:
        """Set the role of an engine or endpoint to drain, as an operator."""

    @abc.abstractmethod
    def address(self, name: str) -> Address:
        """Return the address of a node for callers."""

    @abc.abstractmethod
    def outcome(self, name: str) -> Outcome:
        """Return how a draft, call or change ended."""

    @abc.abstractmethod
    async def n_runs(self, call: str) -> int:
        """Return how often the endpoints ran a call."""

    @abc.abstractmethod
    async def versions(self) -> dict[str, int]:
        """Return the version in force at each running node."""

    @abc.abstractmethod
    async def listed_nodes(self) -> dict[str, set[str]]:
        """Return the nodes that each running node lists in its address answer."""

    @abc.abstractmethod
    async def work_start_times(self, name: str) -> list[float]:
        """Return the wall-clock times at which an engine or endpoint began work."""

    @abc.abstractmethod
    def leaving_announced_at(self, name: str) -> float:
        """Return the earliest wall-clock time at which a leaving could be known."""

    @abc.abstractmethod
    def has_ended(self, name: str) -> bool:
        """Return whether a process has exited."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop all processes and close all connections."""
