"""Metrics with aioprometheus, declared in tables and rendered at ``/metrics``.

An observation costs about 3 us, so per-token code counts in plain numbers and adds
them to the metrics in batches.
"""

from __future__ import annotations

from bisect import bisect_left

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as HistogramSeries

TIME_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 3.0, 10.0)

Labels = dict[str, str]


class DurationCounts:
    """Counts durations by bucket, to be added to a histogram in one step."""

    def __init__(self) -> None:
        self.n_by_bucket = [0] * (len(TIME_BUCKETS) + 1)
        self.seconds = 0.0

    def add(self, seconds: float, n: int = 1) -> None:
        """Count ``n`` simultaneous events: one duration and ``n - 1`` zeros."""
        self.seconds += seconds
        self.n_by_bucket[bisect_left(TIME_BUCKETS, seconds)] += 1
        self.n_by_bucket[0] += n - 1

    @property
    def is_empty(self) -> bool:
        """Return whether no duration was counted."""
        return not any(self.n_by_bucket)


class Metrics:
    """Holds the metrics of one process.

    Parameters
    ----------
    process : str
        The process's name, a label of all metrics.
    """

    def __init__(self, *, process: str) -> None:
        self._registry = Registry()
        self._labels = {"process": process}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, n: float = 1, **labels: str) -> None:
        """Add to a counter, ``celerytrail_NAME_total``."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f"celerytrail_{name}_total",
                COUNTERS[name],
                const_labels=self._labels,
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.add(labels, n)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, ``celerytrail_NAME``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"celerytrail_{name}",
                GAUGES[name],
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to the histogram ``celerytrail_NAME_seconds``."""
        self._histogram(name).observe(labels, seconds)

    def observe_many(self, name: str, counts: DurationCounts, **labels: str) -> None:
        """Add a batch of counted durations to the histogram."""
        histogram = self._histogram(name)
        try:
            series = histogram.get_value(labels)
        except KeyError:
            series = HistogramSeries(*TIME_BUCKETS)
            histogram.set_value(labels, series)
        # The library's buckets are cumulative, and it has no weighted observations.
        n_cumulative = 0
        for bound, n in zip(series.buckets, counts.n_by_bucket, strict=True):
            n_cumulative += n
            series.buckets[bound] += n_cumulative
        series.observations += n_cumulative
        series.sum += counts.seconds

    def _histogram(self, name: str) -> Histogram:
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"celerytrail_{name}_seconds",
                HISTOGRAMS[name],
                const_labels=self._labels,
                registry=self._registry,
                buckets=TIME_BUCKETS,
            )
            self._histograms[name] = histogram
        return histogram

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text for ``/metrics`` and its headers."""
        body, headers = render(self._registry, ["text/plain"])
        return body, dict(headers)


# Help texts of all metrics; using a name that is not declared here is a bug.
COUNTERS = {
    "relay_streams_ended_by_close": (
        "Streams that ended in order with their connections, by what is known of the"
        " orders to stop their runs."
    ),
    "waits": "Generations that had to wait for an engine, by outcome.",
    "overtakings": "Earlier requests that placements passed over, by reason.",
    "unused_turns": "Requests that didn't take the capacity that this node left them.",
    "returns": "Refused callers that returned and kept their position.",
    "places": "Requests for places at brittle endpoints, by outcome.",
    "prompt_blocks": "Blocks on prompts that this node learned of, by state.",
    "load_headers": "Load headers of endpoints, by outcome.",
    "endpoints_lost": "Endpoints that broke off answers, by what became of them.",
    "endpoint_paths_lost": "Endpoints to which this node lost the path.",
    "endpoint_tunnels": "Connections to endpoints through other nodes, by outcome.",
    "tunnels_served": "Connections made for other nodes, by outcome.",
    "requests": "Callers' requests, by route and status.",
    "refusals": "Requests refused as not run, by reason.",
    "unknowns": "Calls whose outcome is unknown, by reason.",
    "tokens": "Tokens relayed to callers.",
    "stalls": "Gaps between tokens longer than the stall limit.",
    "stall_seconds": "Time that gaps between tokens exceeded the stall limit.",
    "preemptions": "Preemptions that engines reported.",
    "resumes": "Streams resumed, by cause.",
    "bad_input": "Items from peers that were dropped, by peer and problem.",
    "platform_calls": "Calls to the platform, by kind and outcome.",
    "claims": "Claims on idempotency keys, by outcome.",
    "gossip_bytes": "Bytes of gossip, by direction.",
    "membership_changes": "Changes of other nodes' states, by state.",
    "orders": "Orders sent to engines, by outcome.",
    "request_tokens": "Requests for tokens of limited endpoints, by outcome.",
    "ended_tasks": "Tasks that ended though they should run on, by name.",
    "unreadable_rows": "Rows that can't be decoded, by table.",
    "resumptions": "Streams that callers take up, by what was known of them.",
    "waiting_decisions": "Decisions on waiting requests, by decision and reason.",
    "waiting_hindsight": "Decisions on waiting requests as they turned out.",
    "pace_changes": "Changes of endpoints' paces, by change and reason of the start.",
    "pace_bypassed": "Requests for which only paced endpoints were left, by service.",
    "relay_events": "Events of relayed requests, by event and cause.",
}
GAUGES = {
    "waiting_requests": "Requests at this node that wait for an engine.",
    "known_waiting_requests": "Requests at all nodes that wait, as known to this one.",
    "blocked_prompts": "Blocks on prompts and requests in force.",
    "suspected_crashes": "Crashes of engines whose cause isn't known.",
    "suspected_requests": "Requests that ran at endpoints which crashed lately.",
    "brittle_endpoints": "Endpoints that fall over when they refuse too much.",
    "paused_endpoints": "Endpoints that want no requests from this node at present.",
    "held_body_bytes": "Bytes of bodies that are held for callers, in both directions.",
    "paced_endpoints": "Endpoints with less than their full share, by reason.",
    "least_endpoint_share": "The least share of an endpoint; 1 if none is paced.",
    "endpoint_versions": "Endpoints with a row, by service and software version.",
    "known_streams": "Streams whose origin this node holds for take-ups.",
    "lost_paths": "Endpoints that only other nodes reach at present.",
    "cut_off_services": "Services that this node is cut off from at present.",
    "cut_off_nodes": "Nodes that say that they are cut off from a service.",
    "open_tunnels": "Connections made for other nodes that are open.",
    "configuration_version": "The version of the document in force.",
    "members": "Nodes known, by state.",
    "streams": "Streams being relayed.",
    "cold_endpoints": "Endpoints that tolerate few requests after their start.",
    "limited_endpoints": "Endpoints that state a limit for all nodes together.",
    "evacuated_domains": "Failure domains that get no new requests.",
    "queued": "Requests waiting for a grant, by model.",
    "engine_used_tokens": "Tokens in an engine's memory as last reported, by engine.",
    "news_sent": "Datagrams with updates about runs sent to other nodes.",
    "news_sent_bytes": "Bytes of these datagrams, IP and UDP headers included.",
    "news_period_seconds": "Time between two lists of this node's runs.",
    "knowledge_age_seconds": "Age of the node's copy of keys and configuration.",
}
HISTOGRAMS = {
    "first_token": "Time from request to first token.",
    "between_tokens": "Time between two tokens of a stream.",
    "relay_wait": "Time from a request's arrival until an engine was chosen for it.",
    "waiting_forecast": "Forecast time until there is capacity for a waiting request.",
    "relay_between_events": "Time between two events of a generation's stream.",
    "platform_call": "Time of a call to the platform, with its retries, by kind.",
    "knowledge_renewed": "Age of a node's copy of a table at its renewal, by table.",
    "relay_longest_pause": "Longest pause between two events of a complete stream.",
    "relay_switch_overlap": "Time for which a run may be at its engine and its backup.",
    "relay_first_event": "Time from a request's arrival to its first event.",
    "relay_answer": "Time from a request's arrival to the end of its answer.",
    "admission": "Time from requesting a grant to the answer.",
}
