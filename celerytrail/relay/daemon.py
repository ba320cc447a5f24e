"""Runs a node as a process: reads its settings and handles signals."""

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
from ..platform import nodesettings
from ..platform.nodesettings import RelaySettings
from ..types import Finding
from .node import RelayNode

EXIT_FINDINGS = 2
# Interval between two checks of the settings file, in seconds: it may change without a
# signal.
FILE_CHECK_SECONDS = 2.0


def load_settings(path: str) -> RelaySettings | list[Finding]:
    """Read and check the settings file."""
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        return [Finding(place=path, problem=str(exc))]
    read = nodesettings.read_settings(data)
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
    """Run a node with the platform's settings file until it gets a stop signal."""
    cfg = load_settings(path)
    if isinstance(cfg, list):
        for finding in cfg:
            print(f"error: {finding}", file=sys.stderr)
        return EXIT_FINDINGS
    log_to_output(cfg.node)
    gc.freeze()
    gc.enable()
    asyncio.run(_run(cfg, path))
    return 0


async def _run(cfg: RelaySettings, path: str) -> None:
    node = RelayNode(cfg=cfg)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path)
    await node.start()
    node.supervisor.start("settings file", lambda: _watch_file(node, path))
    await stop_requested.wait()
    await node.stop()
    # A task that still waits for a silent peer must not delay the exit.
    os._exit(0)


async def _watch_file(node: RelayNode, path: str) -> None:
    known = _file_stamp(path)
    while True:
        await asyncio.sleep(FILE_CHECK_SECONDS)
        current = _file_stamp(path)
        if current != known:
            known = current
            _reload(node, path)


def _file_stamp(path: str) -> tuple[int, int] | None:
    try:
        stat = os.stat(path)
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return None
    return stat.st_mtime_ns, stat.st_size


def _reload(node: RelayNode, path: str) -> None:
    cfg = load_settings(path)
    if isinstance(cfg, list):
        log_message(
            "relay:node:settings_bad", findings=[str(finding) for finding in cfg]
        )
        return
    node.apply_settings(cfg)
