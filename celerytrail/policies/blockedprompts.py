"""Prompts that no endpoint gets any more, by the parts that they hold.

The load pattern: hardly any block exists, and each request asks for one that it meets.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..model import OWN_MARK, Prompt

# How long a block lasts unless it is lifted, in seconds. A part may be sound again with
# the next software version; if it isn't, one more crash blocks it again.
BLOCK_SECONDS = 3_600.0
# The same for a block on a single request: as long as its caller may repeat it.
OWN_BLOCK_SECONDS = 60.0
# Blocks held at most, those lifted or ended included; the oldest are dropped.
MAX_BLOCKS = 256

BlockKey = tuple[str, frozenset[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Block:
    """A statement on the prompts of a service that hold all of some parts.

    Parameters
    ----------
    service : str
        The service.
    parts : frozenset of str
        Ids of the parts, at least one, marked as in `Prompt.parts`.
    revision : int
        Orders the statements on the same parts; the highest holds.
    ends_at : float
        Loop time at which it ends.
    is_lifted : bool
        Whether such prompts are allowed again.
    is_ordered : bool
        Whether an operator ordered it; no evidence changes it then.
    """

    service: str
    parts: frozenset[str]
    revision: int
    ends_at: float
    is_lifted: bool = False
    is_ordered: bool = False

    @property
    def key(self) -> BlockKey:
        """Return what the block is on."""
        return (self.service, self.parts)

    @property
    def is_on_one_request(self) -> bool:
        """Return whether it blocks one request or session only."""
        return any(part.startswith(OWN_MARK) for part in self.parts)

    @property
    def _precedence(self) -> tuple[int, bool]:
        return (self.revision, not self.is_lifted)

    def supersedes(self, other: Block | None) -> bool:
        """Return whether this statement replaces another one on the same parts."""
        return other is None or self._precedence > other._precedence


class BlockedPrompts:
    """Holds the newest statement on each set of parts.

    Parameters
    ----------
    n_max : int
        Statements held at most.
    """

    def __init__(self, *, n_max: int = MAX_BLOCKS) -> None:
        self._n_max = n_max
        self._blocks: dict[BlockKey, Block] = {}

    def put(self, block: Block) -> bool:
        """Take a statement over if it is newer; return whether it was."""
        if not block.parts or not block.supersedes(self._blocks.get(block.key)):
            return False
        self._blocks.pop(block.key, None)
        self._blocks[block.key] = block
        while len(self._blocks) > self._n_max:
            del self._blocks[next(iter(self._blocks))]
        return True

    def next_revision(self, key: BlockKey) -> int:
        """Return the revision of a new statement."""
        known = self._blocks.get(key)
        return known.revision + 1 if known else 1

    def find(self, prompt: Prompt, now: float) -> Block | None:
        """Return a block that a prompt meets at a loop time, if there is one."""
        if not self._blocks:
            return None
        parts = prompt.parts
        for block in self._blocks.values():
            if (
                block.service == prompt.service
                and not block.is_lifted
                and now < block.ends_at
                and block.parts <= parts
            ):
                return block
        return None

    def has_ended(self, key: BlockKey, now: float) -> bool:
        """Return whether a block on these parts has ended without being lifted."""
        known = self._blocks.get(key)
        return known is not None and not known.is_lifted and now >= known.ends_at

    def lift_on_requests(self, service: str, now: float) -> None:
        """Lift the blocks on single requests of a service.

        Each node does so when it learns which part it was, so nobody needs to be told.
        """
        for block in self.in_force(now):
            if block.service == service and block.is_on_one_request:
                self.put(replace(block, revision=block.revision + 1, is_lifted=True))

    def in_force(self, now: float) -> list[Block]:
        """Return the blocks that hold at a loop time."""
        return [
            block
            for block in self._blocks.values()
            if not block.is_lifted and now < block.ends_at
        ]

    def all(self) -> list[Block]:
        """Return all statements, lifted and ended ones included, oldest first."""
        return list(self._blocks.values())
