"""Random fault injection checked by a simple oracle: ``python -m scenarios.fuzz``.

The state machine starts a whole system in memory on virtual time. Callers request
drafts and file calls while processes die, freeze, thaw and restart, links stall and
the platform fails. At the end every fault is removed. The oracle checks four
properties: each draft has the expected tokens; each key ran at most once, and the
outcomes reported for it agree with that count; no node's document version decreases;
and the recovered system serves requests.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from typing import Annotated, TypeVar

import hypothesis
import typer
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .memorydriver import MemoryDriver
from .virtualtime import close_loop, new_loop

T = TypeVar("T")

NODES = ("node-1", "node-2", "node-3")
ENGINES = ("engine-1", "engine-2")
# A single endpoint, so that a fault of it always affects the next filing.
ENDPOINTS = ("bookings-1",)
ORGANISATIONS = ("lone-star", "ciranda")
# Few keys, so that the same key is reused often.
KEYS = ("k1", "k2")
RECOVERY_SECONDS = 30.0
N_STEPS = 25
# Upper bound on a whole request, and on each step, in virtual seconds.
MAX_STEP_SECONDS = 120.0

node_names = st.sampled_from(NODES)
organisations = st.sampled_from(ORGANISATIONS)


class Machine(RuleBasedStateMachine):
    """State machine of one run: rules for requests and faults, and invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = new_loop()
        self.driver = MemoryDriver(seed=1)
        self.n_asked = 0
        self.key_of_call: dict[str, str] = {}
        self.versions: dict[str, int] = {}
        self.dead: set[str] = set()
        self.frozen: set[str] = set()

    @initialize()
    def start(self) -> None:
        """Start three nodes, two engines and two endpoints."""
        self.run(self.driver.start_all(len(NODES), len(ENGINES), len(ENDPOINTS)))

    # Requests of callers and operators.

    @rule(organisation=organisations, node=node_names, n_tokens=st.integers(1, 200))
    def ask_draft(self, organisation: str, node: str, n_tokens: int) -> None:
        """Ask for a draft."""
        self.n_asked += 1
        address = self.driver.address(node)
        name = f"d{self.n_asked}"

        async def ask() -> None:
            self.driver.callers.ask_draft(organisation, address, name, n_tokens)

        self.run(ask())

    @precondition(lambda self: self.driver.callers.drafts)
    @rule(data=st.data(), node=node_names)
    def resume(self, data: st.DataObject, node: str) -> None:
        """Take a draft up again at any node."""
        name = data.draw(st.sampled_from(sorted(self.driver.callers.drafts)))
        if self.driver.callers.drafts[name].draft.last_event_id:
            self.run(self.driver.callers.resume(name, self.driver.address(node)))

    @rule(organisation=organisations, node=node_names, key=st.sampled_from(KEYS))
    def file(self, organisation: str, node: str, key: str) -> None:
        """File something under a key."""
        self._file(organisation, node, f"{organisation}-{key}")

    @precondition(lambda self: self.key_of_call)
    @rule(node=node_names, other=node_names)
    def file_again(self, node: str, other: str) -> None:
        """File the latest again, at two nodes in the same moment."""
        key = list(self.key_of_call.values())[-1]
        organisation = key.rpartition("-")[0]
        self._file(organisation, node, key)
        self._file(organisation, other, key)

    def _file(self, organisation: str, node: str, key: str) -> None:
        self.n_asked += 1
        name = f"f{self.n_asked}"
        self.key_of_call[name] = key
        address = self.driver.address(node)

        async def file() -> None:
            self.driver.callers.file(organisation, address, name, key, "signed")

        self.run(file())

    @rule(priority=st.integers(0, 9))
    def change(self, priority: int) -> None:
        """Let an operator change the document."""
        self.n_asked += 1
        change = f"c{self.n_asked}"
        self.run(self.driver.change_priority("ana", change, "ciranda", priority, ""))

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.sleep(seconds)

    # Faults.

    @precondition(lambda self: len(self.dead) < len(NODES) - 1)
    @rule(node=node_names)
    def kill(self, node: str) -> None:
        """Kill a node."""
        if node not in self.dead:
            self.thaw(node)
            self.run(self.driver.signal(node, "kill"))
            self.dead.add(node)
            self.versions.pop(node, None)

    @precondition(lambda self: self.dead)
    @rule()
    def restart(self) -> None:
        """Start a dead node anew."""
        self.run(self.driver.start_one(self.dead.pop()))

    @rule(node=node_names)
    def freeze(self, node: str) -> None:
        """Freeze a node."""
        if node not in self.dead:
            self.run(self.driver.signal(node, "freeze"))
            self.frozen.add(node)

    @rule(node=node_names)
    def thaw(self, node: str) -> None:
        """Thaw a node."""
        if node in self.frozen:
            self.run(self.driver.signal(node, "thaw"))
            self.frozen.discard(node)

    @rule(
        sender=st.sampled_from((*NODES, *ENGINES, *ENDPOINTS, "platform")),
        receiver=node_names,
        is_both_ways=st.booleans(),
    )
    def cut(self, sender: str, receiver: str, is_both_ways: bool) -> None:
        """Cut a link."""
        if sender != receiver:
            self.run(self.driver.cut(sender, receiver, is_both_ways=is_both_ways))

    @rule()
    def heal(self) -> None:
        """Heal all links."""
        self.run(self.driver.heal())

    @rule(
        fault=st.sampled_from(
            ["outage", "losing-one-reply", "stalling-once", "staleness"]
        )
    )
    def platform_fault(self, fault: str) -> None:
        """Let the platform fail."""
        self.run(self.driver.fault("platform", fault, None))

    @rule()
    def platform_heals(self) -> None:
        """Let the platform be well again."""
        self.run(self.driver.clear_faults("platform"))

    @rule(organisation=organisations, node=node_names, key=st.sampled_from(KEYS))
    def lose_filing(self, organisation: str, node: str, key: str) -> None:
        """Let the endpoint run a filing whose answer is lost."""
        self.run(self.driver.fault(ENDPOINTS[0], "losing-a-filing", None))
        self.file(organisation, node, key)

    @rule(
        endpoint=st.sampled_from(ENDPOINTS),
        fault=st.sampled_from(
            [
                ("refusing-work", None),
                ("slowness", 1.0),
                ("stalling-once", None),
            ]
        ),
    )
    def endpoint_fault(self, endpoint: str, fault: tuple[str, float | None]) -> None:
        """Let an endpoint fail."""
        self.run(self.driver.fault(endpoint, *fault))

    @rule(
        engine=st.sampled_from(ENGINES),
        fault=st.sampled_from(
            [
                ("cutting-a-stream", 3.0),
                ("stalling-a-stream", 3.0),
                ("resending", 4.0),
                ("skipping", 4.0),
                ("crossing", None),
                ("swapping", None),
            ]
        ),
    )
    def engine_fault(self, engine: str, fault: tuple[str, float | None]) -> None:
        """Let an engine fail."""
        self.run(self.driver.fault(engine, *fault))

    # Invariants.

    @invariant()
    def tokens_are_right(self) -> None:
        """Check every draft's tokens so far."""
        for name in self.driver.callers.drafts:
            wrong = self.driver.callers.wrong_tokens(name)
            assert not wrong, f"{name}: {wrong}"

    @invariant()
    def versions_only_rise(self) -> None:
        """Check that no node goes back."""
        for node, version in self.driver.versions_now().items():
            assert version >= self.versions.get(node, 0), f"{node} went back"
            self.versions[node] = version

    def teardown(self) -> None:
        """Remove all faults, then check the outcomes and that the system serves."""
        try:
            self.run(self._remove_all_faults())
            self.sleep(RECOVERY_SECONDS)
            self.run(self._check_keys())
            self.run(self._check_recovery())
        finally:
            self.run(self.driver.close())
            close_loop(self.loop)

    async def _remove_all_faults(self) -> None:
        await self.driver.heal()
        for name in sorted(self.frozen):
            await self.driver.signal(name, "thaw")
        for name in (*ENGINES, *ENDPOINTS, "platform"):
            await self.driver.clear_faults(name)
        for name in sorted(self.dead):
            await self.driver.start_one(name)

    async def _check_keys(self) -> None:
        callers = self.driver.callers
        for name in self.key_of_call:
            await callers.wait_end(name)
        for key in set(self.key_of_call.values()):
            calls = [
                name for name, call_key in self.key_of_call.items() if call_key == key
            ]
            kinds = {callers.outcome(name).kind for name in calls}
            n_runs = await self.driver.n_runs(calls[0])
            assert n_runs <= 1, f"{key} ran {n_runs} times"
            if kinds <= {"not run", "refused"}:
                assert n_runs == 0, (
                    f"{key} ran, but every caller was answered that it did not"
                )
            if kinds & {"answered", "replayed"}:
                assert n_runs == 1, f"{key} was answered but did not run"

    async def _check_recovery(self) -> None:
        callers = self.driver.callers
        versions = await self.driver.versions()
        newest = self.driver.newest_version
        assert set(versions.values()) == {newest}, (
            f"versions are {versions}, expected {newest}"
        )
        for node in NODES:
            address = self.driver.address(node)
            callers.ask_draft("smallest", address, f"last-{node}", 20)
            callers.file("smallest", address, f"last-f-{node}", f"last-{node}", "x")
        for node in NODES:
            for name in (f"last-{node}", f"last-f-{node}"):
                await callers.wait_end(name)
                outcome = callers.outcome(name)
                assert outcome.kind in ("whole", "answered"), f"{name}: {outcome}"

    def run(self, work: Awaitable[T]) -> T:
        """Run an awaitable on the virtual-time loop, within ``MAX_STEP_SECONDS``."""

        async def work_with_timeout() -> T:
            async with asyncio.timeout(MAX_STEP_SECONDS):
                return await work

        return self.loop.run_until_complete(work_with_timeout())

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds))


def explore(
    seed: int, n_examples: int, n_steps: int = N_STEPS, *, does_shrink: bool = False
) -> None:
    """Run the state machine; raise the first failure that the oracle finds.

    Shrinking a failure to few steps takes hundreds of runs, which are some minutes, so
    it is optional.
    """
    phases = [Phase.generate, Phase.shrink] if does_shrink else [Phase.generate]
    run_state_machine_as_test(
        hypothesis.seed(seed)(type("SeededMachine", (Machine,), {})),
        settings=settings(
            max_examples=n_examples,
            stateful_step_count=n_steps,
            deadline=None,
            database=None,
            derandomize=False,
            print_blob=False,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def main(
    seconds: Annotated[
        float, typer.Option(help="Start no round after this many seconds.")
    ],
    seed: Annotated[
        int, typer.Option(help="Seed of the first round; each further round adds 1.")
    ] = 1,
    examples: Annotated[int, typer.Option(help="Runs in one round.")] = 20,
    shrink: Annotated[
        bool, typer.Option(help="Shrink a failure to few steps.")
    ] = False,
) -> None:
    """Inject random faults until the time is up or a check fails."""
    deadline = time.monotonic() + seconds
    n_rounds = 0
    while time.monotonic() < deadline:
        typer.echo(f"seed {seed + n_rounds}: {examples} runs of up to {N_STEPS} steps")
        explore(seed + n_rounds, examples, does_shrink=shrink)
        n_rounds += 1
    typer.echo(f"fuzz: {n_rounds} rounds, {n_rounds * examples} runs, no failure found")


if __name__ == "__main__":
    typer.run(main)
