"""Settings that hold for every test: no verdict hangs on the machine's speed."""

from __future__ import annotations

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
