"""Runs a node as a process: reads its settings, and obeys signals."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

from eliot import log_message
from result import Err

from ..log import log_to_output
from ..platform import nodefile
from ..platform.nodefile import RelaySettings
from ..types import Finding
from .node import RelayNode

EXIT_FINDINGS = 2
# Between two looks whether the settings file has changed, in seconds: it may change
# without a signal.
FILE_SECONDS = 2.0


def load_settings(path: str) -> RelaySettings | list[Finding]:
    """Read and check the settings file."""
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        return [Finding(place=path, problem=str(exc))]
    read = nodefile.read_settings(data)
    if isinstance(read, Err):
        return read.err_value
    cfg = read.ok_value
    needed = {
        "callers": cfg.callers,
        "peers": cfg.peers,
        "store": cfg.store,
    }
    missing = [name for name, address in needed.items() if address is None]
    if missing:
        return [Finding(place=name, problem="no address is set") for name in missing]
    return cfg


def run_relay_node(path: str) -> int:
    """Run a node by the platform's settings file until it is told to stop."""
    cfg = load_settings(path)
    if isinstance(cfg, list):
        for finding in cfg:
            print(f"error: {finding}", file=sys.stderr)
        return EXIT_FINDINGS
    log_to_output(cfg.node)
    gc.freeze()
    asyncio.run(_run(cfg, path))
    return 0


async def _run(cfg: RelaySettings, path: str) -> None:
    node = RelayNode(cfg=cfg)
    told_to_stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
    await node.start()
    watching = loop.create_task(_watch_file(node, path))
    await told_to_stop.wait()
    watching.cancel()
    await node.stop()
    # Whatever still hangs on a silent peer must not keep the process.
    os._exit(0)


async def _watch_file(node: RelayNode, path: str) -> None:
    known = _stamp(path)
    while True:
        await asyncio.sleep(FILE_SECONDS)
        found = _stamp(path)
        if found != known:
            known = found
            _reload(node, path)


def _stamp(path: str) -> tuple[int, int] | None:
    try:
        found = os.stat(path)
    except OSError:
        # It is being replaced; the next look finds the new one.
        return None
    return found.st_mtime_ns, found.st_size


def _reload(node: RelayNode, path: str) -> None:
    cfg = load_settings(path)
    if isinstance(cfg, list):
        log_message("relay:node:settings_bad", findings=[str(one) for one in cfg])
        return
    node.apply_settings(cfg)
