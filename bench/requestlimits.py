"""Measures how an endpoint's limit on the requests of all nodes together is kept.

Run it with ``python -m bench.requestlimits``. Only the decisions are simulated: callers
ask random nodes for the endpoint, and messages between nodes take time or get lost.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from celerytrail.policies.coldlimits import NodePosition
from celerytrail.policies.rendezvous import rank
from celerytrail.policies.requesttokens import RequestTokens

ENDPOINT = "e1"
WINDOW_SECONDS = 4.0
SECONDS = 60.0
# One-way time of a message between two nodes, and of one to a slow node, in seconds.
DELAY_SECONDS = 0.002
SLOW_DELAY_SECONDS = 0.15
# Time until a node that was lost is no longer taken for running, in seconds.
DETECTION_SECONDS = 2.0
# Time for which a node doesn't ask again after an answer that didn't come, in seconds.
UNREACHABLE_SECONDS = 1.0


def allowed(limit: float) -> float:
    """Return the most requests that the endpoint may get in any window."""
    return 1.5 * WINDOW_SECONDS * limit + 5


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """What happens to the nodes.

    Parameters
    ----------
    name : str
        Its name in the table.
    loss : float
        Share of the messages that are lost.
    slow_share : float
        Share of the nodes that hear late.
    isolated_share : float
        Share of the nodes that hear nobody; they reach the endpoint.
    owner_lost_every : float
        Interval at which the owner is lost, and starts again; 0 for never.
    split_seconds : float
        Interval at the start of which the nodes disagree on the owner for two seconds.
    per_node : float
        Requests a second for the endpoint at each node.
    busy_share : float
        Share of the nodes that callers use.
    """

    name: str
    loss: float = 0.0
    slow_share: float = 0.0
    isolated_share: float = 0.0
    owner_lost_every: float = 0.0
    split_seconds: float = 0.0
    per_node: float = 1.0
    busy_share: float = 1.0


SCENARIOS = (
    Scenario(name="calm"),
    Scenario(name="lossy, some hear late", loss=0.03, slow_share=0.05),
    Scenario(name="a tenth hear nobody", isolated_share=0.1),
    Scenario(name="all hear nobody", isolated_share=1.0),
    Scenario(name="owner lost every 5 s", owner_lost_every=5.0),
    Scenario(name="two owners", split_seconds=5.0),
    Scenario(name="few callers", per_node=0.2),
    Scenario(name="callers at a third", busy_share=1 / 3),
    Scenario(name="few callers at a third", per_node=0.2, busy_share=1 / 3),
)


@dataclass(kw_only=True)
class World:
    """Time, messages and the nodes' views of one another."""

    n_nodes: int
    limit: float
    scenario: Scenario
    rng: random.Random
    now: float = 0.0
    sent_at: list[float] = field(default_factory=list)
    n_messages: int = 0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        n_isolated = round(self.scenario.isolated_share * self.n_nodes)
        order = self.rng.sample(range(self.n_nodes), self.n_nodes)
        self.isolated = set(order[:n_isolated])
        n_slow = round(self.scenario.slow_share * self.n_nodes)
        self.slow = set(order[n_isolated : n_isolated + n_slow])
        names = rank(f"cold {ENDPOINT}", {f"vm-{n}" for n in range(self.n_nodes)})
        self.ranked = [int(name.removeprefix("vm-")) for name in names]
        self.index = {node: index for index, node in enumerate(self.ranked)}

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self) -> None:
        """Run all actions."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def deliver(self, sender: int, receiver: int, action: Callable[[], None]) -> None:
        """Send a message."""
        self.n_messages += 1
        if self.is_cut(sender, receiver) or self.rng.random() < self.scenario.loss:
            return
        is_slow = sender in self.slow or receiver in self.slow
        self.at(self.now + (SLOW_DELAY_SECONDS if is_slow else DELAY_SECONDS), action)

    def is_cut(self, sender: int, receiver: int) -> bool:
        """Return whether messages from one node to another are lost."""
        return sender != receiver and bool({sender, receiver} & self.isolated)

    def is_lost(self, node: int) -> bool:
        """Return whether a node doesn't run now."""
        every = self.scenario.owner_lost_every
        return bool(every) and node == self.ranked[0] and self.now % every < 1.0

    def owner(self, node: int) -> int:
        """Return the node that a node takes for the owner."""
        if node in self.isolated:
            return node
        first, second = [n for n in self.ranked if n not in self.isolated][:2]
        every, split = self.scenario.owner_lost_every, self.scenario.split_seconds
        if every and node != first and 1.0 <= self.now % every < DETECTION_SECONDS:
            return second
        if split and self.now % split < 2.0 and node % 2 and node != first:
            return second
        return first

    def known_share(self, node: int) -> float:
        """Return the share of all nodes that a node knows to run."""
        n_known = 1 if node in self.isolated else self.n_nodes - len(self.isolated)
        return n_known / self.n_nodes

    def position(self, node: int) -> NodePosition:
        """Return a node's position among all."""
        return NodePosition(index=self.index[node], n_nodes=self.n_nodes)


class OwnedEndpoint:
    """An endpoint whose owner issues tokens, and callers who ask for it at nodes."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._tokens = [RequestTokens() for _ in range(world.n_nodes)]
        self._ask_again_at = [0.0] * world.n_nodes

    def on_request(self, node: int) -> None:
        """Handle a request at a node; it is sent, or goes elsewhere."""
        world = self._world
        if world.now < self._ask_again_at[node] or world.is_lost(node):
            return
        owner = world.owner(node)
        if owner == node:
            self._decide(node, node)
            return
        # An answer that doesn't come is a refusal.
        self._ask_again_at[node] = world.now + UNREACHABLE_SECONDS
        world.deliver(node, owner, lambda: self._decide(owner, node))

    def _decide(self, owner: int, node: int) -> None:
        world = self._world
        if world.is_lost(owner):
            self._tokens[owner] = RequestTokens()
            return
        decision = self._tokens[owner].decide(
            ENDPOINT,
            f"vm-{node}",
            world.now,
            requests_per_second=world.limit,
            position=world.position(owner),
            known_share=world.known_share(owner),
        )

        def answer() -> None:
            self._ask_again_at[node] = decision.ask_again_at
            if decision.is_granted:
                world.sent_at.append(world.now)

        if owner == node:
            answer()
        else:
            world.deliver(owner, node, answer)


@dataclass(frozen=True, kw_only=True)
class Result:
    """The share of the limit that was used, the worst window, messages a second."""

    used: float
    n_most: int
    n_messages: float


def play(n_nodes: int, limit: float, scenario: Scenario) -> Result:
    """Simulate one scenario."""
    rng = random.Random(f"{n_nodes}:{limit}:{scenario.name}")
    world = World(n_nodes=n_nodes, limit=limit, scenario=scenario, rng=rng)
    endpoint = OwnedEndpoint(world)
    at = 0.0
    while at < SECONDS:
        n_busy = round(scenario.busy_share * n_nodes)
        at += rng.expovariate(scenario.per_node * n_busy)
        node = rng.randrange(n_busy)
        world.at(at, lambda node=node: endpoint.on_request(node))  # type: ignore[misc]
    world.run()
    times = sorted(world.sent_at)
    n_most = max(
        (bisect_left(times, t + WINDOW_SECONDS) - n for n, t in enumerate(times)),
        default=0,
    )
    return Result(
        used=len(times) / (SECONDS * limit),
        n_most=n_most,
        n_messages=world.n_messages / SECONDS,
    )


def main() -> None:
    """Print a table for each number of nodes and limit."""
    for n_nodes in (12, 119, 330):
        for limit in (1.0, 2.2, 10.0, 50.0):
            print(
                f"\n{n_nodes} nodes, {limit:g} a second, {allowed(limit):.0f} allowed"
            )
            for scenario in SCENARIOS:
                res = play(n_nodes, limit, scenario)
                print(
                    f"  {scenario.name}: {res.used:.2f} of the limit used, at most "
                    f"{res.n_most} in {WINDOW_SECONDS:g} s, "
                    f"{res.n_messages:.0f} messages a second",
                    flush=True,
                )


if __name__ == "__main__":
    main()
