"""Decode the platform's settings file into a node's settings.

Unknown fields are ignored. All invalid fields are reported together, with their
places.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err, Ok, Result

from ..types import Address, Finding

SETTINGS_VARIABLE = "CELERYTRAIL_SETTINGS"

MS = 0.001


@dataclass(frozen=True, kw_only=True, slots=True)
class RelaySettings:
    """Settings that the platform gives a node at its start.

    Parameters
    ----------
    node : str
        The name of the VM.
    failure_domain, region : str
        Where the node runs.
    domain_regions : dict
        The region of each failure domain.
    callers, readiness, peers, directory : Address or None
        Listen addresses for callers, readiness checks, other nodes and address
        requests.
    peer_ports : tuple of int
        First and last port available for traffic between nodes.
    seeds : tuple of Address
        Peer addresses of a few nodes; may be stale.
    store : Address or None
        The platform's metadata store.
    config_seconds : float
        Bound from the acknowledgement of a configuration until it is in force here.
    revoke_seconds : float
        Bound from the revocation of a key until no request with it is accepted.
    is_revocation_strict : bool
        Whether that bound also applies to a node that can't reach the store.
    evacuation_seconds : float
        Bound from the acknowledgement of an evacuation until no request is sent to
        its failure domain.
    cold_excess, cold_slack : float or None
        All nodes together send a cold endpoint at most the rate that it tolerates times
        the excess, and the slack beyond that, in any second. No limit without an
        excess.
    drain_seconds : float
        How long an endpoint serves requests after it announced that it leaves.
    grace_seconds : float
        Time from SIGTERM until the node is killed.
    retry_ratio, retry_window_seconds, retry_slack : float
        The shared retry budget of all nodes.
    max_address_seconds : float
        How long callers may cache an answer with addresses.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s; 0 if not stated.
    memory_bytes : int
        Memory limit, beyond which the process is killed.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    node: str
    failure_domain: str
    region: str
    callers: Address | None
    readiness: Address | None
    peers: Address | None
    directory: Address | None
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    store: Address | None
    config_seconds: float = 2.0
    revoke_seconds: float = 5.0
    is_revocation_strict: bool = True
    evacuation_seconds: float = 5.0
    cold_excess: float | None = None
    cold_slack: float = 0.0
    drain_seconds: float = 2.0
    grace_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10.0
    retry_slack: float = 0.0
    max_address_seconds: float = 5.0
    link_mbps: float = 0.0
    domain_regions: dict[str, str] = field(default_factory=dict)
    memory_bytes: int = 0
    is_first_start: bool = False


def read_settings(data: bytes) -> Result[RelaySettings, list[Finding]]:
    """Decode the settings file."""
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err([Finding(place="settings", problem=f"should be JSON: {exc}")])
    if not isinstance(raw, dict):
        return Err([Finding(place="settings", problem="should be an object")])
    reader = _Reader(raw)
    bounds = _Reader(reader.table("bounds"), "bounds.", reader.findings)
    listen = _Reader(reader.table("listen"), "listen.", reader.findings)
    store = _Reader(reader.table("infrastructure"), "infrastructure.", reader.findings)
    limits = _Reader(reader.table("limits"), "limits.", reader.findings)
    cfg = RelaySettings(
        node=reader.text("node"),
        failure_domain=reader.text("zone"),
        region=reader.text("region"),
        callers=listen.address("front"),
        readiness=listen.address("ready"),
        peers=listen.address("control"),
        directory=listen.address("directory"),
        peer_ports=reader.ports("port-range"),
        seeds=reader.addresses("seeds"),
        store=store.address("address"),
        config_seconds=bounds.number("config-ms", 2_000) * MS,
        revoke_seconds=bounds.number("revoke-ms", 5_000) * MS,
        is_revocation_strict=bool(bounds.raw.get("strict-revocation", True)),
        evacuation_seconds=bounds.number("evacuation-ms", 5_000) * MS,
        cold_excess=(
            bounds.number("cold-excess", 0) if "cold-excess" in bounds.raw else None
        ),
        cold_slack=bounds.number("cold-slack", 0),
        drain_seconds=bounds.number("drain-ms", 2_000) * MS,
        grace_seconds=bounds.number("grace-s", 8),
        retry_ratio=bounds.number("budget-ratio", 0.2),
        retry_window_seconds=bounds.number("budget-window-s", 10),
        retry_slack=bounds.number("retry-slack", 0),
        max_address_seconds=bounds.number("ttl_max_s", 5),
        domain_regions={
            domain: region
            for domain, region in reader.table("zones").items()
            if isinstance(region, str)
        },
        link_mbps=limits.number("link-mbps", 0),
        memory_bytes=int(limits.number("memory-mb", 0) * 1024 * 1024),
        is_first_start=raw.get("bootstrap") is True,
    )
    if reader.findings:
        return Err(reader.findings)
    return Ok(cfg)


class _Reader:
    """Reads typed fields of one JSON object and collects findings."""

    def __init__(
        self,
        raw: dict[str, Any],
        place: str = "",
        findings: list[Finding] | None = None,
    ) -> None:
        self.raw = raw
        self.findings: list[Finding] = [] if findings is None else findings
        self._place = place

    def _add_finding(self, name: str, problem: str) -> None:
        self.findings.append(Finding(place=f"{self._place}{name}", problem=problem))

    def table(self, name: str) -> dict[str, Any]:
        value = self.raw.get(name)
        if value is None:
            return {}
        if isinstance(value, dict):
            return value
        self._add_finding(name, "should be an object")
        return {}

    def text(self, name: str) -> str:
        value = self.raw.get(name)
        if isinstance(value, str) and value:
            return value
        self._add_finding(name, "should be a text that is not empty")
        return ""

    def number(self, name: str, default: float) -> float:
        value = self.raw.get(name, default)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        self._add_finding(name, f"should be a number, is {value!r}")
        return default

    def address(self, name: str) -> Address | None:
        value = self.raw.get(name)
        if value is None:
            return None
        try:
            return Address.parse(value)
        except (ValueError, AttributeError, TypeError):
            self._add_finding(name, f"should be IP:PORT, is {value!r}")
            return None

    def addresses(self, name: str) -> tuple[Address, ...]:
        value = self.raw.get(name) or []
        if not isinstance(value, list):
            self._add_finding(name, "should be a list of IP:PORT")
            return ()
        addresses = []
        for index, text in enumerate(value):
            try:
                addresses.append(Address.parse(text))
            except (ValueError, AttributeError, TypeError):
                self._add_finding(f"{name}.{index}", f"should be IP:PORT, is {text!r}")
        return tuple(addresses)

    def ports(self, name: str) -> tuple[int, int]:
        value = self.raw.get(name)
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(isinstance(port, int) for port in value)
        ):
            return value[0], value[1]
        self._add_finding(name, "should be two port numbers")
        return 0, 0
