"""Pools: groups of engines that are scheduled by one home."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..configuration.document import Document, EngineSpec

# A home polls each engine twice a second, which costs 0.22% of a core per engine
# (docs/CAPACITY.md), and forecasts over all engines of the pool for each request. This
# bound keeps a pool within the 4.8% of a core that a node may spend on control.
MAX_POOL_ENGINES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Engines of one model in one region that are scheduled by one home.

    Parameters
    ----------
    key : str
        Identifies the pool; the same at all nodes that have the same document.
    model, region : str
        The model that it serves and the region of its engines.
    engines : tuple of EngineSpec
        Sorted by name.
    """

    key: str
    model: str
    region: str
    engines: tuple[EngineSpec, ...]


def pools_of(document: Document) -> dict[str, Pool]:
    """Split a document's engines into pools and return these by key."""
    groups: dict[tuple[str, str], list[EngineSpec]] = {}
    for engine in document.engines:
        groups.setdefault((engine.model, engine.region), []).append(engine)
    pools = {}
    for (model, region), engines in groups.items():
        for number, shard in enumerate(_split_by_hash(engines)):
            key = f"{model}/{region}/{number}"
            pools[key] = Pool(
                key=key,
                model=model,
                region=region,
                engines=tuple(sorted(shard, key=lambda engine: engine.name)),
            )
    return pools


def _split_by_hash(engines: list[EngineSpec]) -> Iterable[list[EngineSpec]]:
    """Split engines by a hash of their names, so that an added engine moves few."""
    n_shards = math.ceil(len(engines) / MAX_POOL_ENGINES)
    while True:
        shards: list[list[EngineSpec]] = [[] for _ in range(n_shards)]
        for engine in engines:
            shards[_shard_number(engine.name, n_shards)].append(engine)
        if all(len(shard) <= MAX_POOL_ENGINES for shard in shards):
            return [shard for shard in shards if shard]
        n_shards += 1


def _shard_number(name: str, n_shards: int) -> int:
    def weight(number: int) -> bytes:
        text = f"{number} {name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return max(range(n_shards), key=weight)
