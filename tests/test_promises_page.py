"""docs/PROMISES.md refers only to scenarios and tests that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROMISES.md"
SCENARIO = re.compile(r"scenarios/[^\s`]+\.scn")
TEST = re.compile(r"tests/[^\s`]+\.py(?:::[^\s`]+)?")


def references_to(path):
    """Return the references to a test file and to each of its tests."""
    relative = path.relative_to(ROOT).as_posix()
    references = {relative}
    for stmt in ast.parse(path.read_text(encoding="utf-8")).body:
        if isinstance(stmt, ast.ClassDef):
            references |= {
                f"{relative}::{stmt.name}::{method.name}"
                for method in stmt.body
                if isinstance(method, ast.FunctionDef | ast.AsyncFunctionDef)
                and method.name.startswith("test_")
            }
    return references


def broken_references(text):
    """Return a page's references to scenarios and tests that don't exist, sorted."""
    references = {*SCENARIO.findall(text), *TEST.findall(text)}
    existing = {
        path.relative_to(ROOT).as_posix() for path in ROOT.glob("scenarios/*.scn")
    }
    for path in ROOT.glob("tests/test_*.py"):
        existing |= references_to(path)
    return sorted(references - existing)


class TestPromisesPage:
    def test_every_referenced_test_exists(self):
        """A scenario or test was renamed or removed, and the page still refers to it
        as the evidence for a promise.
        """
        text = PAGE.read_text(encoding="utf-8")
        assert SCENARIO.search(text)
        assert TEST.search(text)
        assert broken_references(text) == []

    def test_a_missing_test_is_reported(self):
        text = (
            "`scenarios/gone.scn` `tests/test_gone.py` "
            "`tests/test_fuzz.py::TestFuzz::test_gone` "
            "`tests/test_fuzz.py::TestFuzz::test_fixed_seed`"
        )
        assert broken_references(text) == [
            "scenarios/gone.scn",
            "tests/test_fuzz.py::TestFuzz::test_gone",
            "tests/test_gone.py",
        ]
