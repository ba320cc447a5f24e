"""The page of promises names only proofs that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "PROMISES.md"
SCENARIO = re.compile(r"scenarios/[^\s`]+\.scn")
TEST = re.compile(r"tests/[^\s`]+\.py(?:::[^\s`]+)?")


def names_in(path):
    """Return the tests of a file as the page names them, and the file itself."""
    relative = path.relative_to(ROOT).as_posix()
    found = {relative}
    for one in ast.parse(path.read_text(encoding="utf-8")).body:
        if isinstance(one, ast.ClassDef):
            found |= {
                f"{relative}::{one.name}::{method.name}"
                for method in one.body
                if isinstance(method, ast.FunctionDef | ast.AsyncFunctionDef)
                and method.name.startswith("test_")
            }
    return found


def missing_proofs(text):
    """Return what a page names that does not exist, sorted."""
    named = {*SCENARIO.findall(text), *TEST.findall(text)}
    existing = {
        path.relative_to(ROOT).as_posix() for path in ROOT.glob("scenarios/*.scn")
    }
    for path in ROOT.glob("tests/test_*.py"):
        existing |= names_in(path)
    return sorted(named - existing)


class TestPromisesPage:
    def test_every_named_proof_exists(self):
        """A scenario or test is renamed or taken away and the page still names it.
        Whoever relies on the page believes a promise proved that no longer is.
        """
        text = PAGE.read_text(encoding="utf-8")
        assert SCENARIO.search(text)
        assert TEST.search(text)
        assert missing_proofs(text) == []

    def test_a_proof_that_is_gone_is_named(self):
        text = (
            "`scenarios/gone.scn` `tests/test_gone.py` "
            "`tests/test_fuzz.py::TestFuzz::test_gone` "
            "`tests/test_fuzz.py::TestFuzz::test_fixed_seed`"
        )
        assert missing_proofs(text) == [
            "scenarios/gone.scn",
            "tests/test_fuzz.py::TestFuzz::test_gone",
            "tests/test_gone.py",
        ]
