"""Hashes of a prompt's leading blocks, by which a warm cache is found.

Engines that serve us name what their cache holds by the same hashes, so both sides
must cut the prompt alike.
"""

from __future__ import annotations

import hashlib

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 16
DIGEST_BYTES = 8
CHARACTERS_PER_TOKEN = 4


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return a hash for each leading run of whole blocks, shortest run first."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    found = []
    n_blocks = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for number in range(n_blocks):
        start = number * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        digest.update(block.encode("utf-8", "replace"))
        found.append(digest.copy().hexdigest())
    return tuple(found)


def estimate_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has; only its engine can count them."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)
