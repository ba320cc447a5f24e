"""Decode the operator's configuration from the platform's table."""

from __future__ import annotations

from typing import Annotated

import msgspec
from result import Ok, Result

from ..decoding import contained
from ..model import (
    CallerBounds,
    EngineProfile,
    OrganisationKey,
    RelayConfig,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)

MS = 0.001
BYTES_PER_MEGABIT = 125_000.0

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}

Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Share(msgspec.Struct, rename="kebab"):
    service: Text
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    hostname: Text
    prefix: Text
    route_type: str
    name: str = ""
    service: str | None = None
    traffic_split: list[_Share] | None = None
    timeout_ms: float = 30_000.0
    # Latency target of an answer, or of the first event of a stream.
    target_latency_ms: float = 1_000.0
    # Target for the longest gap between events of a stream.
    gap_target_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] = []


class _Engine(msgspec.Struct, rename="kebab"):
    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    moves: bool = False
    backups: bool = False
    handle_s: float = 0.0
    # Tokens in one event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename="kebab"):
    name: Text
    health_path: str = "/health"
    engine: _Engine | None = None
    cold_s: float = 0.0
    # Requests per second that an endpoint tolerates while it is cold.
    cold_per_s: float = 0.0
    # Connections that an endpoint accepts from all nodes together.
    max_connections: int | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: Text
    api_keys: list[str] = []
    allowed_regions: list[str] = []
    priority: int | None = None


class _Document(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


@contained
def decode_config(value: bytes) -> Result[RelayConfig, str]:
    """Decode one version of the configuration."""
    return Ok(_config(msgspec.json.decode(value, type=_Document)))


def _config(raw: _Document) -> RelayConfig:
    limits = raw.limits
    return RelayConfig(
        version=raw.version,
        routes=tuple(_route(route) for route in raw.routes),
        services={service.name: _service(service) for service in raw.services},
        keys=_keys(raw.tenants),
        bounds=CallerBounds(
            max_head_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms * MS,
            idle_seconds=limits.idle_timeout_ms * MS,
        ),
    )


def _keys(tenants: list[_Tenant] | None) -> dict[str, OrganisationKey] | None:
    if tenants is None:
        return None
    return {
        key: OrganisationKey(
            organisation=tenant.name,
            priority=tenant.priority,
            home_regions=frozenset(tenant.allowed_regions),
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _route(raw: _Route) -> Route:
    if raw.route_type not in _ROUTE_KINDS:
        raise ValueError(f"route {raw.name}: unknown kind {raw.route_type!r}")
    shares = [
        ServiceShare(service=share.service, weight=share.weight)
        for share in raw.traffic_split or []
    ]
    if raw.service:
        shares.append(ServiceShare(service=raw.service, weight=1.0))
    if not shares:
        raise ValueError(f"route {raw.name}: names no service")
    return Route(
        name=raw.name,
        host=raw.hostname.lower(),
        prefix=raw.prefix,
        kind=_ROUTE_KINDS[raw.route_type],
        shares=tuple(shares),
        timeout_seconds=raw.timeout_ms * MS,
        target_latency_seconds=raw.target_latency_ms * MS,
        target_gap_seconds=raw.gap_target_ms * MS,
        max_attempts=max(1, raw.max_attempts),
        priority=raw.priority,
        is_public=raw.public,
        is_resumable=raw.resumable,
        home_regions=frozenset(raw.allowed_regions),
    )


def _service(raw: _Service) -> Service:
    engine = raw.engine
    facts = None
    if engine is not None:
        facts = EngineProfile(
            n_slots=engine.slots,
            n_memory_tokens=engine.kv_capacity_tokens,
            token_bytes=engine.kv_token_bytes,
            link_bytes_per_second=engine.link_mbps * BYTES_PER_MEGABIT,
            can_move=engine.moves,
            can_back_up=engine.backups,
            copy_lifetime_seconds=engine.handle_s,
            n_event_tokens=max(1, engine.stride),
        )
    return Service(
        name=raw.name,
        health_path=raw.health_path,
        engine=facts,
        cold_seconds=raw.cold_s,
        cold_requests_per_second=raw.cold_per_s,
        n_max_connections=raw.max_connections,
    )
