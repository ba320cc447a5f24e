"""Prefill rates of engines and services, estimated from first events."""

from __future__ import annotations

from dataclasses import dataclass

from .engineloads import Run

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


MAX_PENDING = 2_000


class PrefillRates:
    """Estimates the prompt tokens read per second, by engine and by service.

    Engines differ between deployments and don't report their speed. With a rate that is
    twice too high, prompts are placed behind queues that are longer than estimated, and
    their first tokens come late.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def record_prefill(self, name: str, n_tokens: int, seconds: float) -> None:
        """Record the time from queueing ``n_tokens`` to the first event after them."""
        if n_tokens < MIN_QUEUED_TOKENS or seconds <= 0:
            return
        observed = min(MAX_RATE, max(MIN_RATE, n_tokens / seconds))
        estimate = self.rate(name)
        self._rates[name] = estimate + OBSERVATION_WEIGHT * (observed - estimate)

    def rate(self, *names: str) -> float:
        """Return the prompt tokens read per second, of the first name that is known."""
        for name in names:
            if name in self._rates:
                return self._rates[name]
        return DEFAULT_PREFILL_RATE


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    endpoint: str
    n_queued_tokens: int
    started_at: float


class PrefillObserver:
    """Learns prefill rates from the runs that all nodes announce.

    With a hundred nodes, each relays too few generations to learn the rate of a single
    engine by itself.

    Parameters
    ----------
    rates : PrefillRates
        Receives the observations, by engine and by service.
    """

    def __init__(self, *, rates: PrefillRates) -> None:
        self._rates = rates
        self._pending: dict[str, _Pending] = {}

    def is_new(self, run: Run) -> bool:
        """Return whether a run begins a prefill that isn't observed yet."""
        pending = self._pending.get(run.run_id)
        is_known = pending is not None and pending.endpoint == run.endpoint
        return run.is_prefilling and not is_known

    def on_run(self, run: Run, service: str, n_ahead: int, now: float) -> None:
        """Observe an announced run.

        Parameters
        ----------
        run : Run
            The run.
        service : str
            The service of its engine.
        n_ahead : int
            Prompt tokens of other runs that are queued at its engine. Used only for a
            run that ``is_new``.
        now : float
            The loop time.
        """
        pending = self._pending.get(run.run_id)
        if run.is_prefilling:
            if self.is_new(run):
                self._add(run, n_ahead, now)
            return
        if pending is None:
            return
        del self._pending[run.run_id]
        if pending.endpoint == run.endpoint:
            seconds = now - pending.started_at
            for name in (run.endpoint, service):
                self._rates.record_prefill(name, pending.n_queued_tokens, seconds)

    def forget(self, run_id: str) -> None:
        """Forget a run that ended."""
        self._pending.pop(run_id, None)

    def _add(self, run: Run, n_ahead: int, now: float) -> None:
        if len(self._pending) >= MAX_PENDING:
            self._pending.clear()
        self._pending[run.run_id] = _Pending(
            endpoint=run.endpoint,
            n_queued_tokens=n_ahead + run.n_prompt_tokens,
            started_at=now,
        )
