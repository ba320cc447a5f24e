"""Runs scenario files: ``python -m scenarios [--real] FILE...``."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer
from result import Err

from celerytrail.types import Finding

from . import steps
from .language import parse
from .memorydriver import MemoryDriver
from .realdriver import RealDriver, UnsupportedStepError
from .runner import Runner
from .virtualtime import close_loop, new_loop


def run_in_memory(scenario: steps.Scenario, seed: int = 1) -> tuple[Finding, ...]:
    """Run a scenario in this process on virtual time."""
    loop = new_loop()
    try:
        findings: tuple[Finding, ...] = loop.run_until_complete(
            Runner(driver=MemoryDriver(seed=seed)).run(scenario)
        )
        return findings
    finally:
        close_loop(loop)


def run_with_processes(scenario: steps.Scenario) -> tuple[Finding, ...]:
    """Run a scenario with real processes and real signals."""
    with tempfile.TemporaryDirectory(prefix="celerytrail-scenario-") as folder:
        driver = RealDriver(folder=Path(folder))
        return asyncio.run(Runner(driver=driver).run(scenario))


def main(
    files: Annotated[list[Path], typer.Argument(help="Scenario files.")],
    real: Annotated[bool, typer.Option(help="Run with real processes.")] = False,
    seed: Annotated[int, typer.Option(help="Seed of the in-memory driver.")] = 1,
) -> None:
    """Run scenarios and report failed expectations with file and line."""
    n_failed = 0
    for path in files:
        parsed = parse(path.read_text(encoding="utf-8"), path.name)
        if isinstance(parsed, Err):
            findings: tuple[Finding, ...] = (parsed.err_value,)
        else:
            started_at = time.monotonic()
            try:
                scenario = parsed.ok_value
                if real:
                    findings = run_with_processes(scenario)
                else:
                    findings = run_in_memory(scenario, seed)
            except UnsupportedStepError as exc:
                typer.echo(
                    f"skipped      {path.name}: not possible with real processes: {exc}"
                )
                continue
            seconds = time.monotonic() - started_at
            result = "FAILED" if findings else "held"
            typer.echo(f"{result:12} {path.name} ({seconds:.1f} s) {scenario.title}")
        for finding in findings:
            typer.echo(f"    {finding}")
        n_failed += bool(findings)
    if n_failed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
