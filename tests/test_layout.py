"""The packages and who may import whom."""

import ast
from pathlib import Path

import pytest

import celerytrail

ROOT = Path(celerytrail.__file__).parent
# Decisions must be drivable by themselves: no sockets, no peer, no platform.
DECISIONS = {"policies": {"configuration", "model", "types"}}
PLUMBING = {"http": {"exceptions", "types"}}


def unit_of(path: Path) -> str:
    """Return the package, or the loose module, that a file belongs to."""
    return path.relative_to(ROOT).with_suffix("").parts[0]


def imported_units(path: Path) -> set[str]:
    """Return the packages and loose modules of this project that a file imports."""
    package = ("celerytrail", *path.relative_to(ROOT).parts[:-1])
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom):
            continue
        module = tuple(node.module.split(".")) if node.module else ()
        if node.level:
            module = package[: len(package) - node.level + 1] + module
        if module[0] != "celerytrail":
            continue
        if len(module) > 1:
            found.add(module[1])
        else:
            found |= {alias.name for alias in node.names}
    return found


def units() -> dict[str, set[str]]:
    """Return what each package or loose module imports of the others."""
    graph: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        graph.setdefault(unit_of(path), set()).update(imported_units(path))
    return {unit: others - {unit} for unit, others in graph.items()}


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    seen: set[str] = set()
    left = [start]
    while left:
        for other in graph.get(left.pop(), ()):
            if other not in seen:
                seen.add(other)
                left.append(other)
    return seen


class TestPackages:
    def test_no_circle(self):
        graph = units()
        circles = [unit for unit in graph if unit in reachable(graph, unit)]
        assert circles == []

    @pytest.mark.parametrize("unit, allowed", [*DECISIONS.items(), *PLUMBING.items()])
    def test_foundations_import_no_peer(self, unit, allowed):
        assert units()[unit] <= allowed

    def test_the_platforms_names_stay_in_its_adapter(self):
        """A header or path of the platform that is spelled out elsewhere would have to
        be found and changed there as well; a newcomer could not tell where to look.
        """
        names = (
            "x-response-seal",
            "x-target-instance",
            "kv-from",
            "x-kv-backup",
            "/api/",
        )
        outside = [
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if unit_of(path) != "platform"
            for name in names
            if name in path.read_text(encoding="utf-8").lower()
        ]
        assert outside == []
