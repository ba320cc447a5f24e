"""A member: another node as this one knows it."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..types import Address


class State(enum.IntEnum):
    """A member's state; at one incarnation a higher number goes before a lower."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A node as this one knows it.

    Parameters
    ----------
    node : str
        Its name, unique among the nodes.
    incarnation : int
        Rises with each start, with each refuted suspicion, and when it leaves.
    state : State
        Alive, leaving, suspect or dead.
    caller : Address
        Where callers reach it.
    peer : Address
        Where nodes reach it: by HTTP, and by datagrams at the same port.
    vm, failure_domain, region : str
        Where it runs.
    version : int
        The configuration version it had in force when last heard directly; 0 where
        this node has not heard it by itself. Too many bytes to keep for all at all
        nodes, so it is only as fresh as that.
    """

    node: str
    incarnation: int
    caller: Address
    peer: Address
    state: State = State.ALIVE
    vm: str = ""
    failure_domain: str = ""
    region: str = ""
    version: int = 0

    @property
    def is_live(self) -> bool:
        """Return whether callers may be sent to it and homes may be at it."""
        return self.state is State.ALIVE
