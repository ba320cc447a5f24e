"""Tests of the pool scheduler."""

from __future__ import annotations

import random

from celerytrail.configuration.document import EngineSpec
from celerytrail.policies.grants import AdmitRequest
from celerytrail.policies.loadreports import EngineReport
from celerytrail.policies.scheduler import Granted, PoolScheduler, Refused


def make_scheduler(*, n_engines: int = 2, n_memory_tokens: int = 10_000):
    scheduler = PoolScheduler(model="m", home="n1", rng=random.Random(1))
    specs = [
        EngineSpec(
            name=f"e{i}", address=f"127.0.0.1:{7000 + i}", failure_domain="a", model="m"
        )
        for i in range(n_engines)
    ]
    scheduler.set_engines(specs, 0.0)
    for i in range(n_engines):
        scheduler.report(make_report(f"e{i}", n_memory_tokens=n_memory_tokens), 0.0)
    return scheduler


def make_report(engine: str, *, sequence: int = 1, **fields):
    fields = {"n_memory_tokens": 10_000, "n_used_tokens": 0, "model": "m", **fields}
    return EngineReport(
        engine=engine, incarnation="i1", sequence=sequence, at=0.0, **fields
    )


def make_request(request_id: str, *, organisation: str = "o", **fields):
    fields = {"n_prompt_tokens": 100, "n_max_tokens": 2000, **fields}
    fields.setdefault("queue_deadline", 10.0)
    return AdmitRequest(
        request_id=request_id, organisation=organisation, model="m", **fields
    )


class TestGrants:
    def test_idle_pool_grants_at_once(self):
        scheduler = make_scheduler()
        (decision,) = scheduler.submit(make_request("r1"), 0.0)
        assert isinstance(decision, Granted)
        assert decision.grant.home == "n1"

    def test_full_pool_queues_then_grants_on_finish(self):
        scheduler = make_scheduler(n_engines=1)
        granted = []
        while decisions := scheduler.submit(make_request(f"r{len(granted)}"), 0.0):
            granted.append(decisions[0].grant)
        assert granted
        assert scheduler.n_waiting == 1
        for grant in granted[:3]:
            scheduler.finish(grant.grant_id, 50, "answered", 1.0)
        (decision,) = scheduler.poll(1.0)
        assert isinstance(decision, Granted)

    def test_waiting_request_is_refused_at_its_deadline(self):
        scheduler = make_scheduler(n_engines=0)
        assert scheduler.submit(make_request("r1"), 0.0) == []
        assert scheduler.next_deadline() is not None
        assert scheduler.poll(9.9) == []
        (decision,) = scheduler.poll(10.0)
        assert isinstance(decision, Refused)
        assert decision.not_run.retry_after > 0
        assert scheduler.n_waiting == 0

    def test_repeated_request_gets_the_same_grant(self):
        """An answer is lost between two nodes and the entry node repeats its request.
        A second grant would leave the memory of the first reserved, and callers would
        wait although the engine is half empty.
        """
        scheduler = make_scheduler()
        (first,) = scheduler.submit(make_request("r1"), 0.0)
        (second,) = scheduler.submit(make_request("r1"), 1.0)
        assert first.grant == second.grant
        assert scheduler.n_live == 1

    def test_leaving_engine_gets_no_grants(self):
        scheduler = make_scheduler(n_engines=1)
        scheduler.report(make_report("e0", sequence=2, leaving_at=60.0), 0.0)
        assert scheduler.submit(make_request("r1"), 0.0) == []

    def test_unknown_progress_can_be_adopted(self):
        """A home dies and the next in rank takes over without its state. Until it
        knows the running generations, it would overload engines that are full already.
        """
        old = make_scheduler(n_engines=1)
        request = make_request("r1")
        (decision,) = old.submit(request, 0.0)
        new = make_scheduler(n_engines=1)
        assert not new.progress(decision.grant.grant_id, 10, 1.0)
        new.adopt(decision.grant, request, 10, 1.0)
        assert new.progress(decision.grant.grant_id, 20, 2.0)
        assert new.tracker.views["e0"].n_used_tokens == 120
