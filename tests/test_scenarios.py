"""All scenario files, run in one process on virtual time."""

from __future__ import annotations

from pathlib import Path

import pytest

from scenarios.__main__ import run_in_memory
from scenarios.language import parse

FOLDER = Path(__file__).resolve().parent.parent / "scenarios"
FILES = sorted(FOLDER.glob("*.scn"))


class TestScenarios:
    @pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
    def test_scenario_has_no_findings(self, path):
        scenario = parse(path.read_text(encoding="utf-8"), path.name).unwrap()
        assert run_in_memory(scenario) == ()

    def test_scenario_files_exist(self):
        assert FILES


class TestRunner:
    def test_failed_expectation_is_reported_with_its_line(self):
        """Each expectation of the scenario fails and gives a finding with its line. A
        runner that ignored failed expectations would let any scenario pass.
        """
        text = (
            "Scenario: All is expected wrongly.\n"
            "Start 1 node, 1 engine and 1 endpoint.\n"
            "lone-star asks node-1 for draft d1 of 5 tokens.\n"
            "lone-star files f1 at node-1 under key k1.\n"
            "Wait until d1 ends.\n"
            "Wait until f1 ends.\n"
            "Expect d1 is cut.\n"
            "Expect d1 has at most 4 tokens.\n"
            "Expect f1 ran exactly 2 times.\n"
            "Expect f1 is not run.\n"
            "Expect node-1 is not listed.\n"
            "Expect node-1 has ended.\n"
        )
        findings = run_in_memory(parse(text, "wrong.scn").unwrap())
        lines = [finding.place for finding in findings]
        assert lines == [f"wrong.scn:{number}" for number in range(7, 13)]
