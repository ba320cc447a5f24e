"""Endpoints that any source reports as leaving get no new work."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from celerytrail.configuration.document import Document, EndpointSpec, VersionedDocument
from celerytrail.leaving import LeavingTracker
from celerytrail.policies.loadreports import EndpointReport
from celerytrail.services.endpoints import EndpointView, choose
from tests.servicefakes import BOOKINGS, Cluster, outcome_name


class TestLeavingBoard:
    @pytest.mark.parametrize("source", ["vm_list", "report", "document", "gossip"])
    def test_any_one_source_is_enough(self, source):
        board = LeavingTracker()
        assert board.record("e1", source, 10.0)
        assert not board.record("e1", "report", 12.0)
        assert board.is_leaving("e1", 10.0)
        assert board.earliest_notice("e1", 13.0).source == source
        assert not board.is_leaving("e2", 10.0)

    def test_source_withdraws_only_its_own_notice(self):
        board = LeavingTracker()
        board.record("e1", "document", 1.0)
        board.record("e1", "vm_list", 2.0)
        board.withdraw("e1", "document")
        assert board.is_leaving("e1", 3.0)
        board.withdraw("e1", "vm_list")
        assert not board.is_leaving("e1", 3.0)

    def test_clock_jump_back_does_not_end_leaving(self):
        """The wall clock jumps back after an endpoint became known to leave. The
        endpoint must not get new work until the clock has caught up.
        """
        board = LeavingTracker()
        board.record("e1", "vm_list", 5_000.0)
        assert board.is_leaving("e1", 10.0)

    def test_gossip_expires_and_unlisted_names_are_forgotten(self):
        board = LeavingTracker()
        board.record("e1", "gossip", 1.0, expires_at=30.0)
        board.record("gone", "vm_list", 1.0)
        assert board.is_leaving("e1", 29.0)
        assert not board.is_leaving("e1", 31.0)
        board.remove_stale({"e1"}, 31.0)
        assert board.valid_notices(2.0) == []

    def test_notices_are_announced_at_once_and_repeatedly(self):
        """Notices from gossip expire after two minutes at other nodes. While a source
        repeats its notice, it must be announced again before that.
        """
        board, announced = LeavingTracker(), []
        board.subscribe(announced.append)
        for at in range(1, 101):
            board.record("e1", "gossip", float(at))
            board.record("e1", "report", float(at))
        notices = [(notice.source, notice.known_at) for notice in announced]
        assert notices == [("gossip", 1.0)] + [("report", 1.0)] * 3


def view(name, **kwargs):
    spec = EndpointSpec(name=name, address="127.0.0.1:9001", failure_domain="a")
    return EndpointView(spec=spec, **kwargs)


def pick(views, **kwargs):
    values = {
        "excluded": (),
        "is_leaving": lambda name: False,
        "now": 0.0,
        "failure_domain": "a",
        "rng": random.Random(1),
        **kwargs,
    }
    chosen = choose(views, **values)
    return None if chosen is None else chosen.spec.name


class TestChoose:
    def test_least_loaded_by_report_and_outstanding_calls(self):
        busy = EndpointReport(endpoint="e1", incarnation="i", n_running=8, capacity=10)
        idle = EndpointReport(endpoint="e2", incarnation="i", n_running=1, capacity=10)
        views = [view("e1", report=busy), view("e2", report=idle)]
        assert pick(views) == "e2"
        views[1].n_outstanding = 9
        assert pick(views) == "e1"

    def test_suspect_endpoint_comes_last(self):
        views = [view("e1", suspect_until=5.0), view("e2", n_outstanding=50)]
        assert pick(views) == "e2"
        assert pick(views[:1]) == "e1"

    def test_leaving_and_excluded_are_not_chosen(self):
        views = [view("e1"), view("e2")]
        assert pick(views, is_leaving=lambda name: name == "e1") == "e2"
        assert pick(views, excluded={"e1", "e2"}) is None


@pytest.mark.looptime
class TestNoNewWork:
    async def test_leaving_by_own_report(self):
        """An endpoint's load report alone says that it is leaving. From then on it
        gets no calls; when the only other endpoint leaves too, calls are refused as
        not run.
        """
        cluster = Cluster()
        node = cluster.a
        leaving = EndpointReport(endpoint="e1", incarnation="i", leaving_at=1e12)
        views = {v.spec.name: v for v in node.directory.views("bookings")}
        node.directory.on_load_report(views["e1"], msgspec.json.encode(leaving))
        for n in range(20):
            chosen = node.directory.choose("bookings", ())
            assert chosen.spec.name == "e2", n
        other_leaving = replace(leaving, endpoint="e2")
        node.directory.on_load_report(views["e2"], msgspec.json.encode(other_leaving))
        result = await node.file()
        assert (outcome_name(result), result.err_value.reason) == (
            "not_run",
            "no_endpoint",
        )
        returned = replace(leaving, leaving_at=None)
        node.directory.on_load_report(views["e1"], msgspec.json.encode(returned))
        assert outcome_name(await node.file()) == "answered"

    async def test_leaving_by_document_role(self):
        cluster = Cluster()
        endpoints = tuple(replace(e, role="drain") for e in BOOKINGS.endpoints)
        drained = Document(services=(replace(BOOKINGS, endpoints=endpoints),))
        cluster.a.configuration.offer(VersionedDocument(version=2, document=drained))
        assert outcome_name(await cluster.a.file()) == "not_run"
        served = Document(services=(BOOKINGS,))
        cluster.a.configuration.offer(VersionedDocument(version=3, document=served))
        assert outcome_name(await cluster.a.file()) == "answered"

    async def test_bad_report_is_ignored(self):
        """An endpoint's report can't be decoded or names another endpoint. The former
        state stays in force, and calls continue.
        """
        cluster = Cluster()
        directory = cluster.a.directory
        target = directory.views("bookings")[0]
        other = EndpointReport(endpoint="zz", incarnation="i", leaving_at=1.0)
        for body in (b"{", b'{"endpoint": 5}', msgspec.json.encode(other)):
            directory.on_load_report(target, body)
        assert target.report is None
        assert outcome_name(await cluster.a.file()) == "answered"
