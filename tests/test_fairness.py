"""Tests of fair queueing between organisations."""

from __future__ import annotations

import itertools

from celerytrail.policies.fairness import ArrivalQueue, FairQueue
from celerytrail.policies.grants import AdmitRequest

REQUEST_NUMBERS = itertools.count()


def push(queue, organisation: str, *, weight: float = 1.0, priority: int = 5):
    queue.push(
        AdmitRequest(
            request_id=f"r{next(REQUEST_NUMBERS)}",
            organisation=organisation,
            model="m",
            n_prompt_tokens=10,
            n_max_tokens=100,
            weight=weight,
            priority=priority,
            queue_deadline=9.0,
        )
    )


def serve(queue, n_requests: int, *, cost: float = 100.0) -> dict[str, int]:
    served: dict[str, int] = {}
    for _ in range(n_requests):
        req = next(queue.heads())
        queue.remove(req.request_id)
        queue.charge(req.organisation, cost)
        served[req.organisation] = served.get(req.organisation, 0) + 1
    return served


class TestFairQueue:
    def test_flood_does_not_delay_a_small_organisation(self):
        """One organisation sends a hundred requests at once, another ten just after.
        In order of arrival, the ten would wait behind the hundred.
        """
        served = {}
        for queue_class in (FairQueue, ArrivalQueue):
            queue = queue_class()
            for _ in range(100):
                push(queue, "large")
            for _ in range(10):
                push(queue, "small")
            served[queue_class] = serve(queue, 20)
        assert served[FairQueue] == {"large": 10, "small": 10}
        assert "small" not in served[ArrivalQueue]

    def test_weight_and_priority_scale_the_share(self):
        queue = FairQueue()
        for _ in range(200):
            push(queue, "plain")
            push(queue, "heavy", weight=3.0)
            push(queue, "urgent", priority=7)
        served = serve(queue, 125)
        assert 55 <= served["heavy"] <= 65
        assert 40 <= served["urgent"] <= 50
        assert served["plain"] >= 15

    def test_idle_time_earns_no_credit(self):
        """An organisation is idle for an hour and then sends a burst. With credit for
        that hour, it would block all others until the burst is served.
        """
        queue = FairQueue()
        push(queue, "idler")
        serve(queue, 1)
        for _ in range(1000):
            push(queue, "steady")
        serve(queue, 500)
        for _ in range(100):
            push(queue, "idler")
        served = serve(queue, 20)
        assert served["steady"] >= 9
