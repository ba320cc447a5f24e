"""What an operator states and what endpoints say of themselves, as typed values."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

from .types import Address


class RouteKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and its weight among those that share a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Which service answers a host's paths, and how.

    Parameters
    ----------
    name : str
        The route's name.
    host : str
        The host name, in lower case.
    prefix : str
        Begins the paths of the route; begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    shares : tuple of ServiceShare
        The services, at least one.
    timeout_seconds : float
        The longest time that a request is kept waiting.
    target_seconds : float
        The time within which an answer, or its first event, is worth the most.
    pause_seconds : float
        The longest pause between two events that is still on time; 0 if not stated.
    max_attempts : int
        To how many endpoints one request may be sent.
    priority : int
        The rank; 0 is the most urgent.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed by a new run at another engine.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    target_seconds: float
    pause_seconds: float = 0.0
    max_attempts: int = 1
    priority: int = 5
    is_public: bool = False
    is_resumable: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineFacts:
    """What all engines of a service have in common.

    Parameters
    ----------
    n_slots : int
        Requests that run at once.
    n_memory_tokens : int
        Tokens that fit in memory.
    token_bytes : float
        Bytes of memory for each token, for copies between engines.
    link_bytes_per_second : float
        What an engine's link carries.
    can_move, can_back_up : bool
        Whether a running generation can be moved, and copied as it grows.
    handle_seconds : float
        How long a copy waits for its use.
    n_event_tokens : int
        Tokens in one event of a stream.
    """

    n_slots: int
    n_memory_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_second: float = 0.0
    can_move: bool = False
    can_back_up: bool = False
    handle_seconds: float = 0.0
    n_event_tokens: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A named set of endpoints that answer alike; `engine` is set for model engines."""

    name: str
    health_path: str = "/health"
    engine: EngineFacts | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerBounds:
    """What callers may send, and how long they may take or stay idle."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OrganisationKey:
    """Who holds a key; ``priority`` goes before a route's where it is set."""

    organisation: str
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class RelayConfig:
    """One version of all that the operator states.

    Parameters
    ----------
    version : int
        Rises with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    services : dict
        The services by name.
    keys : dict or None
        Key to its holder; None where requests need no keys.
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
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return found

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins the path."""
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
    """What one endpoint says of itself in the platform's table.

    Parameters
    ----------
    endpoint : str
        Its id.
    service : str
        The service that it belongs to.
    address : Address
        Where it takes requests.
    failure_domain : str
        Where it runs.
    n_slots : int
        Requests that it works on at once.
    state : EndpointState
        Whether it takes new work.
    cold_seconds : float
        How much longer it is slow after its start.
    started_at : int
        Unix milliseconds of its start; another value is another process.
    """

    endpoint: str
    service: str
    address: Address
    failure_domain: str
    n_slots: int
    state: EndpointState
    cold_seconds: float = 0.0
    started_at: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """What an engine says of its load; some hundred milliseconds old.

    Parameters
    ----------
    n_queued, n_running : int
        Requests that wait and that run.
    n_used_tokens, n_memory_tokens : int
        Memory that can't yield, and all memory.
    is_leaving : bool
        Whether it takes no new work.
    leaves_in_seconds : float or None
        When it will be gone, where it knows.
    """

    n_queued: int
    n_running: int
    n_used_tokens: int
    n_memory_tokens: int
    is_leaving: bool = False
    leaves_in_seconds: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerFacts:
    """What a request's head says beyond its method and path.

    Parameters
    ----------
    attempt_id : str
        The caller's id of this attempt; endpoints echo it.
    budget_seconds : float or None
        How long the caller will wait.
    key : str or None
        The API key.
    last_event_id : str or None
        Where the caller wants a stream to go on.
    n_prompt_tokens, n_max_tokens : int
        Size of the prompt and bound of the output; 0 if not stated.
    n_hinted_tokens : int or None
        The caller's estimate of the output.
    parts : tuple of (str, int)
        Ids and sizes of the prompt's parts, in order.
    """

    attempt_id: str
    budget_seconds: float | None
    key: str | None
    last_event_id: str | None = None
    n_prompt_tokens: int = 0
    n_max_tokens: int = 0
    n_hinted_tokens: int | None = None
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def n_expected_tokens(self) -> int:
        """Return the tokens of output to reckon with."""
        if self.n_hinted_tokens is None:
            return self.n_max_tokens
        return min(self.n_hinted_tokens, self.n_max_tokens or self.n_hinted_tokens)
