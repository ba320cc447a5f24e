"""The command line's operator tools."""

from __future__ import annotations

import time

import msgspec
import pytest
from typer.testing import CliRunner

from celerytrail.cmdline import app
from celerytrail.platform.table import PRODUCT_TABLE
from celerytrail.services.claims import CLAIM_PREFIX, Claim
from celerytrail.tools import ClaimSettler
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


class TestClaimSettler:
    async def test_open_claim_is_listed_and_settled_once(self, standin):
        """The answer to a call was lost, and an operator checks its outcome at the
        endpoint. Settling the claim closes it, and a second verdict is rejected.
        """
        row = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, row, seconds_late=4_000)
        settler = ClaimSettler(platform=(standin.server.address,))
        listed = await settler.list_open()
        assert [claim.row_key for claim in listed.ok_value] == [row]
        assert (await settler.settle(row, "not_run", "ana")).is_ok()
        assert (await settler.list_open()).ok_value == []
        second = await settler.settle(row, "answered", "ben")
        assert second.err_value.place == row
        settler.close()

    async def test_open_claim_is_found_behind_pages_of_finished_ones(self, standin):
        """Finished claims are kept for days and fill whole pages. An open claim on a
        later page must still be listed.
        """
        for number in range(250):
            row = f"{CLAIM_PREFIX}a/{number:03}"
            put_claim(standin, row, seconds_late=4_000, state="not_run")
        open_row = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, open_row, seconds_late=4_000)
        settler = ClaimSettler(platform=(standin.server.address,))
        listed = await settler.list_open()
        assert [claim.row_key for claim in listed.ok_value] == [open_row]
        settler.close()

    async def test_call_before_its_deadline_is_not_settled(self, standin):
        """If a call is settled as not run before its deadline, a retry and the slow
        first attempt can both run it.
        """
        row = f"{CLAIM_PREFIX}o/k"
        put_claim(standin, row, seconds_late=-60)
        settler = ClaimSettler(platform=(standin.server.address,))
        assert (await settler.settle(row, "not_run", "ana")).is_err()
        settler.close()


class TestCommands:
    def test_invalid_input_is_reported_with_its_place(self):
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
