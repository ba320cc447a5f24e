"""How fast the engines of a service read prompts, learned from first events."""

from __future__ import annotations

# Prompt tokens that an engine reads a second beside the tokens of others, until it is
# known better: a chunk of 112 tokens takes 8 ms, and the step that it joins 7 ms and
# more.
USUAL_RATE = 7_500.0
# How much one observation counts: about the last ten do.
OBSERVATION_WEIGHT = 0.1
# Bounds of what is believed, in tokens a second; a stuck engine or one that kept a
# prompt would else make all queues look endless, or empty.
LEAST_RATE = 500.0
MOST_RATE = 100_000.0
# A shorter queue says little: its time is that of the way there and back.
LEAST_TOKENS = 500


class ReadRates:
    """Prompt tokens a second by service.

    Deployments differ in their engines, and none tells its speed. With a rate that is
    twice too high, callers' prompts wait behind queues that are reckoned to be short
    enough, and their first words come late.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def note(self, service: str, n_tokens: int, seconds: float) -> None:
        """Note that a first event came so long after so many tokens were queued."""
        if n_tokens < LEAST_TOKENS or seconds <= 0:
            return
        seen = min(MOST_RATE, max(LEAST_RATE, n_tokens / seconds))
        known = self.rate(service)
        self._rates[service] = known + OBSERVATION_WEIGHT * (seen - known)

    def rate(self, service: str) -> float:
        """Return the prompt tokens that an engine of a service reads a second."""
        return self._rates.get(service, USUAL_RATE)
