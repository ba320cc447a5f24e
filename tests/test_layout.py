"""Rules for imports between the packages."""

import ast
from pathlib import Path

import pytest

import celerytrail

ROOT = Path(celerytrail.__file__).parent
# Policies must run in isolation: without sockets, peers or the platform.
POLICY_IMPORTS = {"policies": {"configuration", "model", "types"}}
HTTP_IMPORTS = {"http": {"exceptions", "types"}}


def unit_of(path: Path) -> str:
    """Return the package or top-level module that a file belongs to."""
    return path.relative_to(ROOT).with_suffix("").parts[0]


def imported_units(path: Path) -> set[str]:
    """Return the packages and top-level modules of this project that a file imports."""
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


def import_graph() -> dict[str, set[str]]:
    """Return the packages and top-level modules that each one imports."""
    graph: dict[str, set[str]] = {}
    for path in ROOT.rglob("*.py"):
        graph.setdefault(unit_of(path), set()).update(imported_units(path))
    return {unit: imported - {unit} for unit, imported in graph.items()}


def reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    seen: set[str] = set()
    pending = [start]
    while pending:
        for unit in graph.get(pending.pop(), ()):
            if unit not in seen:
                seen.add(unit)
                pending.append(unit)
    return seen


class TestPackages:
    def test_no_import_cycle(self):
        graph = import_graph()
        in_cycles = [unit for unit in graph if unit in reachable(graph, unit)]
        assert in_cycles == []

    @pytest.mark.parametrize(
        "unit, allowed", [*POLICY_IMPORTS.items(), *HTTP_IMPORTS.items()]
    )
    def test_foundations_import_only_what_is_allowed(self, unit, allowed):
        assert import_graph()[unit] <= allowed

    def test_platform_names_occur_only_in_the_adapter(self):
        """The platform's headers and paths are defined in one package, so that a change
        of the platform's interface concerns that package alone.
        """
        names = (
            "x-response-seal",
            "x-target-instance",
            "kv-from",
            "x-kv-backup",
            "x-worker-load",
            "/api/",
        )
        occurrences = [
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if unit_of(path) != "platform"
            for name in names
            if name in path.read_text(encoding="utf-8").lower()
        ]
        assert occurrences == []
