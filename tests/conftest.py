"""Configuration of all tests; results don't depend on the machine's speed."""

from __future__ import annotations

import math
import time
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from tests.knownred import KNOWN_RED, known_red_tests

# Hypothesis fails tests whose examples are slow to generate or run, which happens on a
# busy machine. The generated examples are the same in every run.
settings.register_profile(
    "same-verdict",
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-verdict")


def pytest_collection_modifyitems(config, items):
    """Deselect the tests known to fail, and set the start of virtual time."""
    deselect_known_red(config, items)
    set_virtual_start(items)


def deselect_known_red(config, items):
    """Deselect exactly the tests listed in KNOWN-RED.txt."""
    path = Path(config.rootpath) / KNOWN_RED
    listed = known_red_tests(path.read_text()) if path.exists() else set()
    deselected = [item for item in items if item.nodeid in listed]
    is_full_run = config.args == config.getini("testpaths")
    missing = listed - {item.nodeid for item in deselected}
    if missing and is_full_run and not config.option.keyword:
        raise pytest.UsageError(
            f"{KNOWN_RED} lists tests that do not exist: {sorted(missing)}"
        )
    if deselected:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=deselected)


def set_virtual_start(items):
    """Start each test's virtual time at the next full second of monotonic time.

    Fixtures run before virtual time begins, on the machine's clock, which counts from
    boot. If virtual time began at 0, all clocks would jump back between fixture and
    test by the machine's uptime; a test of sessions failed when that exceeded an hour.
    From a fraction of a second, up to a quarter of the sleeps end 2e-12 s early, as the
    sum of start and delay is rounded; from full seconds, none of 4,200 did.
    """
    for item in items:
        marker = item.get_closest_marker("looptime")
        if marker is not None and "start" not in marker.kwargs:
            kwargs = {**marker.kwargs, "start": next_full_second}
            item.add_marker(pytest.mark.looptime(*marker.args, **kwargs), append=False)


def next_full_second():
    return math.ceil(time.monotonic())
