"""The command line's tools for a person."""

from __future__ import annotations

import time

import msgspec
import pytest
from typer.testing import CliRunner

from celerytrail.cmdline import app
from celerytrail.platform.table import PRODUCT_TABLE
from celerytrail.services.claims import CLAIM_PREFIX, Claim
from celerytrail.tools import ClaimDesk
from celerytrail.types import Address
from standins.platform import PlatformStandin


@pytest.fixture
async def standin():
    standin = PlatformStandin()
    await standin.server.start(Address(host="127.0.0.1", port=0))
    yield standin
    await standin.server.close()


def put_claim(standin, name, *, seconds_late, state="unknown"):
    now = time.time()
    claim = Claim(
        organisation="o",
        service="bookings",
        operation="file",
        body_hash="h",
        attempt="a1",
        node="n1",
        state=state,
        claimed_at=now - 100,
        deadline_at=now - seconds_late,
        expires_at=now + 1000,
    )
    standin.store.put(PRODUCT_TABLE, name, msgspec.to_builtins(claim))


class TestClaimDesk:
    async def test_open_claim_is_listed_and_settled_once(self, standin):
        """A filing's answer was lost and nobody knows whether it ran. A person looks
        it up at the endpoint and says so; then it is open no more.
        """
        row = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, row, seconds_late=4_000)
        desk = ClaimDesk(platform=(standin.server.address,))
        listed = await desk.list_open()
        assert [one.row_key for one in listed.ok_value] == [row]
        assert (await desk.settle(row, "not_run", "ana")).is_ok()
        assert (await desk.list_open()).ok_value == []
        again = await desk.settle(row, "answered", "ben")
        assert again.err_value.place == row
        desk.close()

    async def test_open_claim_behind_many_finished_ones(self, standin):
        """Finished claims are kept for days. The one open claim stands behind pages of
        them, and the person who has to settle it must still find it.
        """
        for number in range(250):
            row = f"{CLAIM_PREFIX}a/{number:03}"
            put_claim(standin, row, seconds_late=4_000, state="not_run")
        last = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, last, seconds_late=4_000)
        desk = ClaimDesk(platform=(standin.server.address,))
        listed = await desk.list_open()
        assert [one.row_key for one in listed.ok_value] == [last]
        desk.close()

    async def test_call_that_may_still_run_is_not_settled(self, standin):
        """Its deadline is not over: were it settled as not run now, a retry and the
        slow first attempt could both file.
        """
        row = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, row, seconds_late=-60)
        desk = ClaimDesk(platform=(standin.server.address,))
        assert (await desk.settle(row, "not_run", "ana")).is_err()
        desk.close()


class TestCommands:
    def test_wrong_input_is_told_with_its_place(self):
        outcome = CliRunner().invoke(
            app,
            ["claims", "settle", "r", "--verdict", "perhaps", "--by", "a"],
            env={"CELERYTRAIL_PLATFORM": "127.0.0.1:1"},
        )
        assert outcome.exit_code == 2
        assert "--verdict" in outcome.output
        outcome = CliRunner().invoke(app, ["status", "nowhere", "--peer-keys", "x"])
        assert outcome.exit_code == 2
        assert "NODES" in outcome.output
