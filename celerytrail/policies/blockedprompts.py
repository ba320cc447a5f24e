"""Requests that no endpoint gets any more, by the parts of their prompts or alone.

The load pattern: hardly any block exists, and each request asks for one that it meets.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..model import REQUEST_MARK, Prompt

# How long a block lasts unless it is lifted, in seconds. What it blocks may be sound
# again with the next software version; if it isn't, one more crash blocks it again.
BLOCK_SECONDS = 3_600.0
# Blocks on parts and on single requests held at most, those lifted or ended included;
# the oldest are dropped.
MAX_BLOCKS = 256
MAX_REQUEST_BLOCKS = 1_024

BlockKey = tuple[str, frozenset[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Block:
    """A statement on the prompts of a service that hold all of some parts, or on one.

    Parameters
    ----------
    service : str
        The service.
    parts : frozenset of str
        Ids of the parts, at least one; or only a request's marked digest.
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
        """Return whether it is on a single request."""
        (part, *others) = self.parts
        return part.startswith(REQUEST_MARK) and not others

    def is_in_force(self, now: float) -> bool:
        """Return whether it holds at a loop time."""
        return not self.is_lifted and now < self.ends_at

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
    n_max, n_max_requests : int
        Statements on parts, and on single requests, held at most.
    """

    def __init__(
        self, *, n_max: int = MAX_BLOCKS, n_max_requests: int = MAX_REQUEST_BLOCKS
    ) -> None:
        self._n_max = n_max
        self._n_max_requests = n_max_requests
        self._on_parts: dict[BlockKey, Block] = {}
        self._on_requests: dict[BlockKey, Block] = {}

    def put(self, block: Block) -> bool:
        """Take a statement over if it is newer; return whether it was."""
        if not block.parts or not block.supersedes(self.get(block.key)):
            return False
        blocks, n_max = self._on_parts, self._n_max
        if block.is_on_one_request:
            blocks, n_max = self._on_requests, self._n_max_requests
        blocks.pop(block.key, None)
        blocks[block.key] = block
        while len(blocks) > n_max:
            del blocks[next(iter(blocks))]
        return True

    def get(self, key: BlockKey) -> Block | None:
        """Return the statement on some parts, whether it holds or not."""
        return self._on_parts.get(key) or self._on_requests.get(key)

    def next_revision(self, key: BlockKey) -> int:
        """Return the revision of a new statement."""
        known = self.get(key)
        return known.revision + 1 if known else 1

    def find(self, prompt: Prompt, now: float) -> Block | None:
        """Return a block that a prompt meets at a loop time, if there is one."""
        if self._on_requests and prompt.digest:
            found = self._on_requests.get(request_block_key(prompt))
            if found is not None and found.is_in_force(now):
                return found
        if not self._on_parts:
            return None
        for block in self._on_parts.values():
            if (
                block.service == prompt.service
                and block.is_in_force(now)
                and block.parts.issubset(prompt.shared_parts)
            ):
                return block
        return None

    def has_ended(self, key: BlockKey, now: float) -> bool:
        """Return whether a block on these parts has ended without being lifted."""
        known = self.get(key)
        return known is not None and not known.is_lifted and now >= known.ends_at

    def in_force(self, now: float) -> list[Block]:
        """Return the blocks that hold at a loop time."""
        return [block for block in self.all() if block.is_in_force(now)]

    def all(self) -> list[Block]:
        """Return all statements, lifted and ended ones included, oldest first."""
        return [*self._on_parts.values(), *self._on_requests.values()]


def request_block_key(prompt: Prompt) -> BlockKey:
    """Return the key of a block on a single request."""
    return (prompt.service, frozenset({prompt.request}))
