"""Settings that hold for every test: no verdict hangs on the machine's speed."""

from __future__ import annotations

import time

import pytest
from hypothesis import HealthCheck, settings

# Hypothesis measures how long drawing and running take; on a busy machine that alone
# would fail a test. What is drawn is the same in every run.
settings.register_profile(
    "same-verdict",
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("same-verdict")


def pytest_collection_modifyitems(items):
    """Let virtual time go on from where the fixtures' real time was.

    Fixtures run before a test's virtual time begins, on the machine's own clock, which
    counts from its start. Were virtual time to begin at 0, every clock would jump back
    between fixture and test by as long as the machine has been up; a test of sessions
    failed once that was over an hour.
    """
    for item in items:
        marker = item.get_closest_marker("looptime")
        if marker is not None and "start" not in marker.kwargs:
            kwargs = {**marker.kwargs, "start": time.monotonic}
            item.add_marker(pytest.mark.looptime(*marker.args, **kwargs), append=False)
