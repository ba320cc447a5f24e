"""Parses scenarios; a syntax error is reported with its file, line and column."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, Tree
from lark.exceptions import UnexpectedInput, VisitError
from result import Err, Ok, Result

from celerytrail.types import Finding

from . import steps

GRAMMAR = Path(__file__).with_name("grammar.lark")


class _Builder(Transformer[Token, Any]):
    """Builds the steps from the parse tree; methods are named after grammar rules."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def start(self, items: list[Any]) -> steps.Scenario:
        title, *scenario_steps = items
        return steps.Scenario(name=self._name, title=title, steps=tuple(scenario_steps))

    def title(self, items: list[Token]) -> str:
        return str(items[0]).strip()

    def start_all(self, items: list[Token]) -> steps.Step:
        nodes, engines, endpoints = (int(item) for item in items)
        return steps.StartAll(
            line=_line(items), n_nodes=nodes, n_engines=engines, n_endpoints=endpoints
        )

    def start_one(self, items: list[Token]) -> steps.Step:
        return steps.StartOne(line=_line(items), process=str(items[0]))

    def ask_draft(self, items: list[Token]) -> steps.Step:
        organisation, node, draft, n_tokens = items
        return steps.AskDraft(
            line=_line(items),
            organisation=str(organisation),
            node=str(node),
            draft=str(draft),
            n_tokens=int(n_tokens),
        )

    def file(self, items: list[Token]) -> steps.Step:
        organisation, call, node, key, *body = (str(item) for item in items)
        text = body[0].strip('"') if body else "signed"
        return steps.File(
            line=_line(items),
            organisation=organisation,
            node=node,
            call=call,
            key=key,
            body=text,
        )

    def ask_status(self, items: list[Token]) -> steps.Step:
        organisation, node, key, call = (str(item) for item in items)
        return steps.AskStatus(
            line=_line(items),
            organisation=organisation,
            node=node,
            call=call,
            key=key,
        )

    def resume(self, items: list[Token]) -> steps.Step:
        return steps.Resume(line=_line(items), draft=str(items[0]), node=str(items[1]))

    def cancel(self, items: list[Token]) -> steps.Step:
        return steps.Cancel(line=_line(items), draft=str(items[0]), node=str(items[1]))

    def disconnect(self, items: list[Token]) -> steps.Step:
        return steps.Disconnect(line=_line(items), draft=str(items[0]))

    def change(self, items: list[Token | None]) -> steps.Step:
        operator, organisation, priority, change, base = items
        assert operator is not None and priority is not None
        return steps.ChangeDocument(
            line=_line([operator]),
            operator=str(operator),
            change=str(change),
            organisation=str(organisation),
            priority=int(priority),
            base=str(base or ""),
        )

    def drain(self, items: list[Token]) -> steps.Step:
        return steps.DrainEngine(
            line=_line(items), operator=str(items[0]), process=str(items[1])
        )

    def signal(self, items: list[Token]) -> steps.Step:
        action: Any = str(items[0]).lower()
        return steps.Signal(line=_line(items), process=str(items[1]), action=action)

    def cut_one(self, items: list[Token]) -> steps.Step:
        return self._cut(items, is_both_ways=False)

    def cut_both(self, items: list[Token]) -> steps.Step:
        return self._cut(items, is_both_ways=True)

    def _cut(self, items: list[Token], *, is_both_ways: bool) -> steps.Step:
        return steps.Cut(
            line=_line(items),
            sender=str(items[0]),
            receiver=str(items[1]),
            is_both_ways=is_both_ways,
        )

    def drop(self, items: list[Token]) -> steps.Step:
        return steps.DropDatagrams(line=_line(items), percent=int(items[0]))

    def fault(self, items: list[Token | None]) -> steps.Step:
        process, name, value = items
        assert process is not None
        return steps.Fault(
            line=_line([process]),
            process=str(process),
            fault=str(name),
            value=None if value is None else float(value),
        )

    def clear(self, items: list[Token]) -> steps.Step:
        return steps.ClearFaults(line=_line(items), process=str(items[0]))

    def list_leaving(self, items: list[Token]) -> steps.Step:
        return steps.ListLeaving(line=_line(items), process=str(items[0]))

    def say_leaving(self, items: list[Token]) -> steps.Step:
        return steps.SayLeaving(
            line=_line(items), process=str(items[0]), seconds=float(items[1])
        )

    def jump(self, items: list[Token]) -> steps.Step:
        return steps.Jump(
            line=_line(items), process=str(items[0]), seconds=float(items[1])
        )

    def wait_tokens(self, items: list[Token]) -> steps.Step:
        return steps.WaitTokens(
            line=_line(items), draft=str(items[0]), n_tokens=int(items[1])
        )

    def wait_end(self, items: list[Token]) -> steps.Step:
        return steps.WaitEnd(line=_line(items), name=str(items[0]))

    def expect_outcome(self, items: list[Token | None]) -> steps.Step:
        name, outcome, reason = items
        assert name is not None
        return steps.ExpectOutcome(
            line=_line([name]),
            name=str(name),
            outcome=str(outcome),
            reason=str(reason or ""),
        )

    def expect_runs(self, items: list[Token]) -> steps.Step:
        comparison: Any = str(items[1])
        return steps.ExpectRuns(
            line=_line(items),
            call=str(items[0]),
            comparison=comparison,
            n_runs=int(items[2]),
        )

    def expect_tokens(self, items: list[Token]) -> steps.Step:
        comparison: Any = str(items[1])
        return steps.ExpectTokens(
            line=_line(items),
            draft=str(items[0]),
            comparison=comparison,
            n_tokens=int(items[2]),
        )

    def expect_version(self, items: list[Token]) -> steps.Step:
        return steps.ExpectVersion(line=_line(items), node=str(items[0]))

    def expect_ended(self, items: list[Token]) -> steps.Step:
        return steps.ExpectEnded(
            line=_line(items), process=str(items[0]), has_ended=True
        )

    def expect_running(self, items: list[Token]) -> steps.Step:
        return steps.ExpectEnded(
            line=_line(items), process=str(items[0]), has_ended=False
        )

    def expect_listed(self, items: list[Token]) -> steps.Step:
        return steps.ExpectListed(
            line=_line(items), process=str(items[0]), is_listed=True
        )

    def expect_unlisted(self, items: list[Token]) -> steps.Step:
        return steps.ExpectListed(
            line=_line(items), process=str(items[0]), is_listed=False
        )

    def expect_no_new_work(self, items: list[Token]) -> steps.Step:
        return steps.ExpectNoNewWork(
            line=_line(items), process=str(items[0]), seconds=float(items[1])
        )

    def heal(self, items: list[Token]) -> steps.Step:
        return steps.Heal(line=0)

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Any:
        if data == "pass":
            return steps.Pass(line=_line(children), seconds=float(children[0]))
        return Tree(data, children, meta)


_PARSER = Lark(
    GRAMMAR.read_text(encoding="utf-8"), parser="lalr", maybe_placeholders=True
)


def parse(text: str, name: str) -> Result[steps.Scenario, Finding]:
    """Parse one scenario.

    Parameters
    ----------
    text : str
        Content of the file.
    name : str
        Name of the file, which is the place of a finding.
    """
    try:
        # In the grammar a comment is part of a line end, and the first line may be a
        # comment; so the text starts with one more line end, which `_line` subtracts.
        tree = _PARSER.parse(f"\n{text.rstrip()}\n")
        scenario: steps.Scenario = _Builder(name).transform(tree)
    except UnexpectedInput as exc:
        line = max(exc.line - 1, 0)
        lines = text.splitlines()
        shown = lines[line - 1].strip() if 0 < line <= len(lines) else "end of file"
        column = max(exc.column, 1)
        problem = f"syntax error at column {column}: {shown!r}"
        return Err(Finding(place=f"{name}:{line}", problem=problem))
    except VisitError as exc:
        return Err(Finding(place=name, problem=str(exc.orig_exc)))
    return Ok(scenario)


def _line(items: list[Token]) -> int:
    return (items[0].line or 1) - 1
