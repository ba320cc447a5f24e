"""Runs a scenario's steps and reports each failed expectation with its line."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod

from celerytrail.types import Finding

from . import steps
from .driver import Driver

NEWEST_SECONDS = 7.0
MAX_STEP_SECONDS = 2_400.0
POLL_SECONDS = 0.05


class Runner:
    """Runs one scenario with one driver.

    Parameters
    ----------
    driver : Driver
        Starts, disturbs and observes the processes.
    """

    def __init__(self, *, driver: Driver) -> None:
        self._driver = driver
        self._findings: list[str] = []

    async def run(self, scenario: steps.Scenario) -> tuple[Finding, ...]:
        """Run all steps and return the findings; the run continues after a failure."""
        findings: list[Finding] = []
        try:
            for step in scenario.steps:
                self._findings = []
                try:
                    async with asyncio.timeout(MAX_STEP_SECONDS):
                        await self._do(step)
                except TimeoutError:
                    self._findings.append(f"took more than {MAX_STEP_SECONDS:.0f} s")
                place = f"{scenario.name}:{step.line}"
                findings += [
                    Finding(place=place, problem=problem) for problem in self._findings
                ]
            findings += self._check_tokens(scenario)
        finally:
            await self._driver.close()
        return tuple(findings)

    def _check_tokens(self, scenario: steps.Scenario) -> list[Finding]:
        """Check the tokens of every draft, whatever the scenario expects."""
        return [
            Finding(place=f"{scenario.name}: draft {name}", problem=wrong)
            for name in self._driver.callers.drafts
            if (wrong := self._driver.callers.wrong_tokens(name))
        ]

    @singledispatchmethod
    async def _do(self, step: steps.Step) -> None:
        raise TypeError(f"no handler for step {step!r}")

    @_do.register
    async def _(self, step: steps.StartAll) -> None:
        await self._driver.start_all(step.n_nodes, step.n_engines, step.n_endpoints)

    @_do.register
    async def _(self, step: steps.StartOne) -> None:
        await self._driver.start_one(step.process)

    @_do.register
    async def _(self, step: steps.AskDraft) -> None:
        address = self._driver.address(step.node)
        self._driver.callers.ask_draft(
            step.organisation, address, step.draft, step.n_tokens
        )

    @_do.register
    async def _(self, step: steps.File) -> None:
        address = self._driver.address(step.node)
        self._driver.callers.file(
            step.organisation, address, step.call, step.key, step.body
        )

    @_do.register
    async def _(self, step: steps.AskStatus) -> None:
        address = self._driver.address(step.node)
        self._driver.callers.ask_status(step.organisation, address, step.call, step.key)

    @_do.register
    async def _(self, step: steps.Resume) -> None:
        await self._driver.callers.resume(step.draft, self._driver.address(step.node))

    @_do.register
    async def _(self, step: steps.Cancel) -> None:
        await self._driver.callers.cancel(step.draft, self._driver.address(step.node))

    @_do.register
    async def _(self, step: steps.Disconnect) -> None:
        await self._driver.callers.disconnect(step.draft)

    @_do.register
    async def _(self, step: steps.ChangeDocument) -> None:
        await self._driver.change_priority(
            step.operator, step.change, step.organisation, step.priority, step.base
        )

    @_do.register
    async def _(self, step: steps.DrainEngine) -> None:
        await self._driver.drain(step.operator, step.process)

    @_do.register
    async def _(self, step: steps.Signal) -> None:
        await self._driver.signal(step.process, step.action)

    @_do.register
    async def _(self, step: steps.Cut) -> None:
        await self._driver.cut(
            step.sender, step.receiver, is_both_ways=step.is_both_ways
        )

    @_do.register
    async def _(self, step: steps.Heal) -> None:
        await self._driver.heal()

    @_do.register
    async def _(self, step: steps.DropDatagrams) -> None:
        await self._driver.drop_datagrams(step.percent / 100)

    @_do.register
    async def _(self, step: steps.Fault) -> None:
        await self._driver.fault(step.process, step.fault, step.value)

    @_do.register
    async def _(self, step: steps.ClearFaults) -> None:
        await self._driver.clear_faults(step.process)

    @_do.register
    async def _(self, step: steps.ListLeaving) -> None:
        await self._driver.list_leaving(step.process)

    @_do.register
    async def _(self, step: steps.SayLeaving) -> None:
        await self._driver.announce_leaving(step.process, step.seconds)

    @_do.register
    async def _(self, step: steps.Jump) -> None:
        await self._driver.shift_clock(step.process, step.seconds)

    @_do.register
    async def _(self, step: steps.Pass) -> None:
        await asyncio.sleep(step.seconds)

    @_do.register
    async def _(self, step: steps.WaitTokens) -> None:
        await self._driver.callers.wait_tokens(step.draft, step.n_tokens)
        n_tokens = len(self._driver.callers.drafts[step.draft].draft.tokens)
        if n_tokens < step.n_tokens:
            outcome = self._driver.callers.outcome(step.draft)
            self._findings.append(
                f"{step.draft} ended after {n_tokens} tokens: {outcome}"
            )

    @_do.register
    async def _(self, step: steps.WaitEnd) -> None:
        callers = self._driver.callers
        if step.name in callers.drafts or step.name in callers.calls:
            await callers.wait_end(step.name)
            return
        while not self._driver.has_ended(step.name):  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)

    @_do.register
    async def _(self, step: steps.ExpectOutcome) -> None:
        outcome = self._driver.outcome(step.name)
        has_expected_kind = outcome.kind == step.outcome
        if not has_expected_kind or step.reason not in ("", outcome.reason):
            self._findings.append(f"{step.name} is {outcome.kind}: {outcome.reason}")

    @_do.register
    async def _(self, step: steps.ExpectRuns) -> None:
        n_runs = await self._driver.n_runs(step.call)
        if not _compare(n_runs, step.comparison, step.n_runs):
            self._findings.append(f"{step.call} ran {n_runs} times")

    @_do.register
    async def _(self, step: steps.ExpectTokens) -> None:
        n_tokens = len(self._driver.callers.drafts[step.draft].draft.tokens)
        if not _compare(n_tokens, step.comparison, step.n_tokens):
            self._findings.append(f"{step.draft} has {n_tokens} tokens")

    @_do.register
    async def _(self, step: steps.ExpectVersion) -> None:
        newest = self._driver.newest_version
        versions = await self._driver.versions()
        nodes = versions if step.node == "everyone" else [step.node]
        for node in nodes:
            if versions.get(node) != newest:
                problem = f"{node} has version {versions.get(node)}, expected {newest}"
                self._findings.append(problem)

    @_do.register
    async def _(self, step: steps.ExpectEnded) -> None:
        if self._driver.has_ended(step.process) != step.has_ended:
            state = "still runs" if step.has_ended else "has ended"
            self._findings.append(f"{step.process} {state}")

    @_do.register
    async def _(self, step: steps.ExpectListed) -> None:
        for node, listed in (await self._driver.listed_nodes()).items():
            if (step.process in listed) != step.is_listed:
                self._findings.append(f"{node} lists {sorted(listed)}")

    @_do.register
    async def _(self, step: steps.ExpectNoNewWork) -> None:
        announced_at = self._driver.leaving_announced_at(step.process)
        late = [
            began_at - announced_at
            for began_at in await self._driver.work_start_times(step.process)
            if began_at > announced_at + step.seconds
        ]
        if late:
            self._findings.append(
                f"{step.process} got new work {late[0]:.2f} s after it began to leave"
            )


def _compare(actual: int, comparison: steps.Comparison, expected: int) -> bool:
    if comparison == "exactly":
        return actual == expected
    if comparison == "at most":
        return actual <= expected
    return actual >= expected
