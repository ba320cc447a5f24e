"""The console's process on real sockets, with a stand-in of the platform and a node."""

from __future__ import annotations

import asyncio
import socket

import pytest
from formbrowser import Browser

from celerytrail.accounts import make_account
from celerytrail.http.client import HttpClient
from celerytrail.node import Node
from celerytrail.operators.app import ConsoleApp
from celerytrail.settings import ConsoleSettings, NodeSettings, SigningKey
from celerytrail.types import Address
from standins.platform import PlatformStandin

LOOPBACK = Address(host="127.0.0.1", port=0)
KEY = SigningKey(key_id="p", secret=b"p" * 16)


@pytest.fixture
async def platform():
    standin = PlatformStandin()
    await standin.server.start(LOOPBACK)
    yield standin
    await standin.server.close()


class TestConsoleApp:
    async def test_first_document_reaches_a_node(self, platform, free_address):
        cfg = ConsoleSettings(
            vm="vm-1",
            listen=LOOPBACK,
            platform=(platform.server.address,),
            nodes=(free_address,),
            accounts=make_account("ana", "secret"),
            session_keys=(SigningKey(key_id="s", secret=b"s" * 16),),
            peer_keys=(KEY,),
            log_file="-",
        )
        app = ConsoleApp(cfg=cfg)
        client = HttpClient()
        browser = Browser(client, await app.start())
        node = Node(cfg=node_settings(platform, free_address))
        in_force = asyncio.Event()
        node.context.configuration.subscribe(lambda _: in_force.set())
        await node.start()
        try:
            await browser.get("/")
            await browser.press("Log in", name="ana", password="secret")
            await browser.press("Models")
            await browser.press("Add a model")
            await browser.press("Keep in my draft", name="contracts", version="v1")
            await browser.press("Review and accept")
            page = await browser.press("Accept")
            assert "Version 1 is accepted" in page.text
            async with asyncio.timeout(20):
                await in_force.wait()
            page = await browser.press("Show the status")
            assert "version 1 at 1" in page.text
            assert "failure_domain" in page.text
            assert page.problems == []
        finally:
            client.close()
            await app.stop()
            await node.close()


def node_settings(platform, peer):
    return NodeSettings(
        vm="vm-2",
        failure_domain="a",
        region="default",
        caller_listen=LOOPBACK,
        peer_listen=peer,
        platform=(platform.server.address,),
        seeds=(),
        ticket_keys=(SigningKey(key_id="t", secret=b"t" * 16),),
        peer_keys=(KEY,),
        answer_seconds=2.0,
        queue_seconds=5.0,
        generation_seconds=5.0,
        call_seconds=5.0,
        stall_seconds=5.0,
        max_connections=10,
        log_file="-",
    )


@pytest.fixture
def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(host="127.0.0.1", port=probe.getsockname()[1])
