"""Hashes of a prompt's leading blocks, for prefix cache affinity.

Engines report the content of their prefix caches by the same hashes, so both sides
must divide the prompt into the same blocks.
"""

from __future__ import annotations

import hashlib

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 16
DIGEST_BYTES = 8
CHARACTERS_PER_TOKEN = 4


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return a hash for each prefix of whole blocks, shortest prefix first."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hashes = []
    n_blocks = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for block_index in range(n_blocks):
        start = block_index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        digest.update(block.encode("utf-8", "replace"))
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)


def estimate_tokens(prompt: str) -> int:
    """Estimate the tokens of a prompt; only its engine can count them."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)
