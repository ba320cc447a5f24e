"""A node's entry in the membership table."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..types import Address


class State(enum.IntEnum):
    """A member's state; at equal incarnation the higher number takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Holds a node's name, addresses, location and state.

    Parameters
    ----------
    node : str
        The unique name.
    incarnation : int
        Rises at each start, with each refuted suspicion and each change of the node's
        own state.
    state : State
        Alive, leaving, suspect or dead.
    caller : Address
        Address for callers.
    peer : Address
        Address for other nodes: HTTP, and datagrams at the same port.
    vm, failure_domain, region : str
        Where the node runs.
    link_mbps : int
        Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    version : int
        The configuration version in force according to the member's last datagram to
        this node; 0 if there was none. Updates don't carry it, as keeping it up to date
        for all members at all nodes would take too many bytes.
    """

    node: str
    incarnation: int
    caller: Address
    peer: Address
    state: State = State.ALIVE
    vm: str = ""
    failure_domain: str = ""
    region: str = ""
    link_mbps: int = 0
    version: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether the node accepts callers and may be a home."""
        return self.state is State.ALIVE
