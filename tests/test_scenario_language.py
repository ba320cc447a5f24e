"""Parsing of the scenario language."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies

from scenarios import steps
from scenarios.language import parse

SCENARIO = """\
# What is told here.
Scenario: A node is killed in the middle of a draft.

Start 3 nodes, 2 engines and 1 endpoint.
lone-star asks node-1 for draft d1 of 60 tokens.
# What fails.
Kill node-1.
Let the clock of node-2 jump by -3.5 seconds.
Expect d1 is not run because of shed.
"""


class TestParse:
    def test_steps_have_their_line_numbers(self):
        scenario = parse(SCENARIO, "kill.scn").ok_value
        assert scenario.title == "A node is killed in the middle of a draft."
        assert scenario.steps == (
            steps.StartAll(line=4, n_nodes=3, n_engines=2, n_endpoints=1),
            steps.AskDraft(
                line=5,
                organisation="lone-star",
                node="node-1",
                draft="d1",
                n_tokens=60,
            ),
            steps.Signal(line=7, process="node-1", action="kill"),
            steps.Jump(line=8, process="node-2", seconds=-3.5),
            steps.ExpectOutcome(line=9, name="d1", outcome="not run", reason="shed"),
        )

    @pytest.mark.parametrize(
        ("valid", "invalid", "line"),
        [
            ("Kill node-1.", "Killl node-1.", 7),
            ("Kill node-1.", "Kill node-1", 7),
            ("60 tokens", "many tokens", 5),
            ("Scenario:", "Scene:", 2),
        ],
    )
    def test_syntax_error_names_file_line_and_reason(self, valid, invalid, line):
        """A step has a typing error. Without the line in the finding, the whole file
        would have to be searched for it.
        """
        finding = parse(SCENARIO.replace(valid, invalid), "kill.scn").err_value
        assert finding.place == f"kill.scn:{line}"
        assert "syntax error at column" in finding.problem

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        strategies.text(
            alphabet=strategies.sampled_from('Kilnode -1.\n:St"0é'), max_size=80
        )
    )
    def test_any_text_is_read_or_refused(self, text):
        parse(f"Scenario: Any.\n{text}", "any.scn")
