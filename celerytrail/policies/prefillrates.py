"""Prefill rate of the engines of each service, estimated from first events."""

from __future__ import annotations

# Initial estimate of the prompt tokens that an engine reads per second while it also
# decodes: a chunk of 112 tokens takes 8 ms, and the step that it joins 7 ms or more.
DEFAULT_PREFILL_RATE = 7_500.0
# Weight of one observation in the moving average, which covers about the last ten.
OBSERVATION_WEIGHT = 0.1
# Observations are clamped to these bounds, in tokens per second. A stuck engine would
# otherwise make all queues look endless, and one that has the prompt cached would make
# them look empty.
MIN_RATE = 500.0
MAX_RATE = 100_000.0
# Shorter queues are ignored: the network round trip dominates their time.
MIN_QUEUED_TOKENS = 500


class PrefillRates:
    """Estimates the prompt tokens read per second, by service.

    Engines differ between deployments and don't report their speed. With a rate that is
    twice too high, prompts are placed behind queues that are longer than estimated, and
    their first tokens come late.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def record_prefill(self, service: str, n_tokens: int, seconds: float) -> None:
        """Record the time from queueing ``n_tokens`` to the first event after them."""
        if n_tokens < MIN_QUEUED_TOKENS or seconds <= 0:
            return
        observed = min(MAX_RATE, max(MIN_RATE, n_tokens / seconds))
        estimate = self.rate(service)
        self._rates[service] = estimate + OBSERVATION_WEIGHT * (observed - estimate)

    def rate(self, service: str) -> float:
        """Return the prompt tokens that an engine of a service reads per second."""
        return self._rates.get(service, DEFAULT_PREFILL_RATE)
