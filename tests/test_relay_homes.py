"""Requests that are bound to home regions reach no endpoint of another region."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from celerytrail.model import OrganisationKey, Route, RouteKind, ServiceShare
from celerytrail.nodes.member import Member, State
from celerytrail.policies import homes
from celerytrail.relay.addresses import choose_addresses
from celerytrail.types import Address
from tests.relayrig import KEY, Rig, config, expected_events, split_events, wait_until

DOMAIN_REGIONS = {"a": "north", "b": "south"}


@pytest_asyncio.fixture
async def rig() -> AsyncIterator[Rig]:
    relay_rig = Rig()
    await relay_rig.start()
    yield relay_rig
    await relay_rig.close()


def bind(rig: Rig, regions: list[str], **more: object) -> None:
    cfg = config(2, **more)
    routes = [{**route, "allowed-regions": regions} for route in cfg["routes"]]
    rig.store.put("op", "config", {**cfg, "routes": routes})


async def add_node(rig: Rig):
    node = await rig.add_node(domain_regions=DOMAIN_REGIONS)
    await wait_until(lambda: node.configs.cfg.version == 2)
    return node


class TestEndpoints:
    async def test_a_request_reaches_only_endpoints_of_its_home(self, rig):
        endpoints = [await rig.add_plain_worker(name) for name in ("d1", "d2")]
        for endpoint, domain in zip(endpoints, "ab", strict=True):
            row = endpoint.row("desk", zone=domain)
            rig.store.put("servers", endpoint.worker_id, row)
        bind(rig, ["south"])
        await add_node(rig)
        for _ in range(6):
            assert (await rig.request("/file/1")).status == 200
        assert endpoints[0].seen == []

    async def test_no_endpoint_in_the_home_is_refused_at_once_as_not_run(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        bind(rig, ["south"])
        await add_node(rig)
        assert (await rig.request("/file/1")).status == 503
        assert endpoint.seen == []

    async def test_an_organisations_home_binds_too(self, rig):
        endpoint = await rig.add_plain_worker("d1")
        tenants = [{"name": "org", "api-keys": [KEY], "allowed-regions": ["south"]}]
        rig.store.put("op", "config", config(2, tenants=tenants))
        await add_node(rig)
        assert (await rig.request("/file/1")).status == 503
        assert endpoint.seen == []

    async def test_a_draft_is_neither_copied_nor_moved_out_of_its_home(self, rig):
        # Its engine leaves, and only an engine of another region has room: the draft is
        # cut, as its text may not leave its home.
        home = await rig.add_engine("e1")
        other = await rig.add_engine("e2")
        rig.store.put("servers", "e2", other.row("models", zone="b"))
        bind(rig, ["north"])
        await add_node(rig)
        pending = asyncio.ensure_future(rig.request("/draft/1"))
        await wait_until(lambda: home.running)
        await home.tick(2)
        rig.store.put("servers", "e1", home.row("models", "draining"))
        await asyncio.sleep(0.3)
        await home.tick(6)
        assert split_events((await pending).body) == expected_events(6)
        assert other.seen == []
        assert not other.held_copies and not other.backups


def route(*regions: str) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=(ServiceShare(service="s", weight=1.0),),
        timeout_seconds=1.0,
        target_latency_seconds=1.0,
        home_regions=frozenset(regions),
    )


def holder(*regions: str) -> OrganisationKey:
    return OrganisationKey(organisation="o", home_regions=frozenset(regions))


class TestDecision:
    @pytest.mark.parametrize(
        "route_homes, own_homes, allowed",
        [
            ((), (), "ab"),
            (("north",), (), "a"),
            ((), ("south",), "b"),
            (("north", "south"), ("south",), "b"),
            (("north",), ("south",), ""),
            (("elsewhere",), (), ""),
        ],
    )
    def test_route_and_organisation_both_bind(self, route_homes, own_homes, allowed):
        found = homes.allowed_regions(route(*route_homes), holder(*own_homes))
        assert [
            domain
            for domain in "abc"
            if homes.is_allowed(domain, found, DOMAIN_REGIONS)
        ] == list(allowed) + ([] if route_homes or own_homes else ["c"])


class TestDirectory:
    def members(self) -> list[Member]:
        return [
            Member(
                node=f"n{number}",
                incarnation=1,
                caller=Address(host=f"10.0.0.{number}", port=1),
                peer=Address(host=f"10.0.0.{number}", port=2),
                state=State.ALIVE,
                failure_domain="ab"[number % 2],
                region=("north", "south")[number % 2],
            )
            for number in range(8)
        ]

    def test_callers_are_sent_to_nodes_of_their_region(self):
        found = choose_addresses(self.members(), "south", "b", random.Random(1))
        assert {address.host for address in found} == {
            f"10.0.0.{number}" for number in (1, 3, 5, 7)
        }

    def test_callers_of_a_region_without_nodes_are_sent_to_others(self):
        found = choose_addresses(self.members(), "west", "c", random.Random(1))
        assert len(found) == 8
