"""Requests that crash each stand-in worker that runs them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# Crashes when it reads the request, before it runs.
AT_READING = -1


@dataclass(frozen=True, kw_only=True)
class RequestCrashes:
    """Which requests crash a worker, and at which moment of their runs.

    Parameters
    ----------
    paths : frozenset of str
        The paths of these requests.
    on_crash : callable
        Called with the worker and the path, at the moment of the crash.
    n_events : int
        Events of an engine's answer that are sent before; `AT_READING` for none, and no
        run either.
    n_body_bytes : int or None
        Bytes of a plain answer that are sent before; None for not even its head.
    seconds : float
        How long a plain worker runs such a request before.
    """

    paths: frozenset[str]
    on_crash: Callable[[Any, str], None]
    n_events: int = 0
    n_body_bytes: int | None = None
    seconds: float = 0.0
