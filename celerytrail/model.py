"""The operator's configuration and the reports of endpoints, as typed values."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

from .types import Address

# Marks a request's digest among the parts of its prompt, whose ids look alike.
REQUEST_MARK = "="
# One start of an endpoint: its id and when it started.
Incarnation = tuple[str, int]


class RouteKind(enum.Enum):
    """How the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and its weight in a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The services that answer a host's paths, and the limits for its requests.

    Parameters
    ----------
    name : str
        The route's name.
    host : str
        The host name, in lower case.
    prefix : str
        The common start of the route's paths; starts and ends with a slash.
    kind : RouteKind
        How requests may be repeated.
    shares : tuple of ServiceShare
        The services and their weights, at least one.
    timeout_seconds : float
        The longest time that a request may wait.
    target_latency_seconds : float
        The target time to an answer or its first event; later ones are worth less.
    target_gap_seconds : float
        The longest pause between two events that is still on time; 0 if not set.
    max_attempts : int
        The most endpoints to which one request may be sent.
    priority : int
        0 is the most urgent.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a broken stream may be resumed by a new run at another engine.
    home_regions : frozenset of str
        The regions whose endpoints may get its requests; all if empty.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    target_latency_seconds: float
    target_gap_seconds: float = 0.0
    max_attempts: int = 1
    priority: int = 5
    is_public: bool = False
    is_resumable: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineProfile:
    """The properties that all engines of a service share.

    Parameters
    ----------
    n_slots : int
        Requests that an engine runs concurrently.
    n_memory_tokens : int
        Tokens that fit in an engine's memory.
    token_bytes : float
        Bytes of memory for each token, for copies between engines.
    link_bytes_per_second : float
        The bandwidth of an engine's link.
    can_move, can_back_up : bool
        Whether a running generation can be migrated, and replicated as it grows.
    copy_lifetime_seconds : float
        How long an engine keeps a copy that is not used.
    n_event_tokens : int
        Tokens in one event of a stream.
    """

    n_slots: int
    n_memory_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_second: float = 0.0
    can_move: bool = False
    can_back_up: bool = False
    copy_lifetime_seconds: float = 0.0
    n_event_tokens: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A set of equivalent endpoints.

    Parameters
    ----------
    name : str
        The service's name.
    health_path : str
        Path of its endpoints' health checks.
    engine : EngineProfile or None
        Set if the endpoints are model engines.
    cold_seconds : float
        How long an endpoint is cold after its start.
    cold_requests_per_second : float
        Requests per second that a cold endpoint tolerates.
    n_max_connections : int or None
        Connections that an endpoint accepts from all nodes together; None if unknown.
    """

    name: str
    health_path: str = "/health"
    engine: EngineProfile | None = None
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0
    n_max_connections: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerBounds:
    """Limits on the size of callers' requests and on slow and idle connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationKey:
    """The holder of an API key.

    Parameters
    ----------
    organisation : str
        The holder.
    priority : int or None
        Overrides the route's priority where it is set.
    home_regions : frozenset of str
        The regions whose endpoints may get its requests; all if empty.
    """

    organisation: str
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class RelayConfig:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Rises with each change, not always by one.
    routes : tuple of Route
        All routes.
    services : dict
        The services by name.
    keys : dict or None
        The holders by API key; None if requests need no keys.
    bounds : CallerBounds
        Limits for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, OrganisationKey] | None = None
    bounds: CallerBounds = field(default_factory=CallerBounds)

    @cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host.lower().partition(":")[0], ()):
            if path.startswith(route.prefix):
                return route
        return None


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """An endpoint's own entry in the platform's table.

    Parameters
    ----------
    endpoint : str
        Its id.
    service : str
        The service that it belongs to.
    address : Address
        Where it accepts requests.
    failure_domain : str
        The failure domain in which it runs.
    n_slots : int
        Requests that it handles concurrently.
    state : EndpointState
        Whether it takes new work.
    cold_seconds : float
        The remaining time for which it is slow after its start.
    started_at : int
        Unix milliseconds of its start; differs between processes.
    version : str
        The version of its software; empty if its row isn't the one of this start.
    sequence : int
        The number of its heartbeat, which grows; not part of what is compared.
    """

    endpoint: str
    service: str
    address: Address
    failure_domain: str
    n_slots: int
    state: EndpointState
    cold_seconds: float = 0.0
    started_at: int = 0
    version: str = ""
    sequence: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> Incarnation:
        """Return the endpoint and its start."""
        return (self.endpoint, self.started_at)


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointStatements:
    """What an endpoint states about itself in an answer.

    Parameters
    ----------
    cold_seconds : float
        For how long it stays cold; 0 if it isn't.
    requests_per_second : float or None
        The requests that it takes from all nodes together; None without a limit.
    refusals_per_second : float or None
        The requests that it can refuse for want of room; beyond them it falls over.
        None if it isn't brittle.
    is_own : bool
        Whether the answer is certainly the endpoint's own, so that a limit that isn't
        stated has ended.
    pause_seconds : float
        For how long it wants no requests from this node; 0 if it doesn't say.
    is_leaving : bool
        Whether it says that it leaves.
    """

    cold_seconds: float = 0.0
    requests_per_second: float | None = None
    refusals_per_second: float | None = None
    is_own: bool = True
    pause_seconds: float = 0.0
    is_leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadHeader:
    """The load and speed that an endpoint states in the head of an answer.

    Parameters
    ----------
    n_running, n_waiting, n_slots : int
        Requests that run and that wait at the endpoint, and its slots.
    slowness : float or None
        Time that work takes there now as a multiple of the usual time; None if the
        endpoint doesn't state it.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowness: float | None = None

    @property
    def is_free(self) -> bool:
        """Return whether it claims to have a free slot."""
        return self.n_running < self.n_slots and self.n_waiting == 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """An engine's report of its load, some hundred milliseconds old.

    Parameters
    ----------
    n_queued, n_running : int
        Requests that wait and that run.
    n_used_tokens, n_memory_tokens : int
        Memory that can't be freed on demand, and all memory.
    is_leaving : bool
        Whether it takes no new work.
    leaves_in_seconds : float or None
        Time until it stops, if known.
    started_at : int or None
        Unix milliseconds of its start, if it says so.
    """

    n_queued: int
    n_running: int
    n_used_tokens: int
    n_memory_tokens: int
    is_leaving: bool = False
    leaves_in_seconds: float | None = None
    started_at: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Prompt:
    """What the prompt of a request to a service consists of.

    Parameters
    ----------
    service : str
        The service.
    shared_parts : tuple of str
        Ids of the parts that other requests may share, in order, each once.
    own_part : str
        Id of the part that belongs to the request or its session; empty if not stated.
    digest : str
        Names the request over its caller's attempts; see `RequestMetadata`.
    """

    service: str
    shared_parts: tuple[str, ...] = ()
    own_part: str = ""
    digest: str = ""

    @property
    def request(self) -> str:
        """Return the marked digest; empty without one."""
        return REQUEST_MARK + self.digest if self.digest else ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What a caller states in a request's head besides its method and path.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt; endpoints echo it.
    budget_seconds : float or None
        How long the caller waits.
    key : str or None
        The API key.
    last_event_id : str or None
        The event after which the caller resumes a stream.
    resumed_attempt : str or None
        The caller's attempt that brought the first event of the stream that it resumes.
    n_prompt_tokens, n_max_tokens : int
        Size of the prompt and limit of the output; 0 if not stated.
    n_hinted_tokens : int or None
        The caller's estimate of the output.
    shared_parts : tuple of str
        Ids of the prompt's parts that other requests may share, in order, each once.
    own_part : str
        Id of the part that belongs to the request or its session; empty if not stated.
    digest : str
        Of what the caller's attempts at the same request have in common.
    """

    attempt_id: str
    budget_seconds: float | None
    key: str | None
    last_event_id: str | None = None
    resumed_attempt: str | None = None
    n_prompt_tokens: int = 0
    n_max_tokens: int = 0
    n_hinted_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()
    own_part: str = ""
    digest: str = ""

    @property
    def is_resumption(self) -> bool:
        """Return whether it takes up a stream that another attempt began."""
        return self.last_event_id is not None or self.resumed_attempt is not None

    @property
    def n_expected_tokens(self) -> int:
        """Return the expected number of output tokens."""
        if self.n_hinted_tokens is None:
            return self.n_max_tokens
        return min(self.n_hinted_tokens, self.n_max_tokens or self.n_hinted_tokens)
