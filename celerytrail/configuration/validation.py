"""Validation of the operators' document: all findings at once, each with its place."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from ..types import Finding
from .checks import findings_of
from .document import Document
from .shape import build

MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
MAX_FINDINGS = 1_000

Validated = Result[Document, tuple[Finding, ...]]


def validate(data: bytes | str | Document) -> Validated:
    """Check a document, given as JSON text or as the frozen types.

    Parameters
    ----------
    data : bytes, str or Document
        What to check.

    Returns
    -------
    Result of Document or tuple of Finding
        The document, or everything that is wrong with it (at most `MAX_FINDINGS`).
    """
    if isinstance(data, Document):
        return _finish(data, findings_of(data))
    if len(data) > MAX_DOCUMENT_BYTES:
        problem = f"is over {MAX_DOCUMENT_BYTES} bytes"
        return Err((Finding(place="document", problem=problem),))
    findings: list[Finding] = []
    value = _parse(data, findings)
    if value is None and findings:
        return Err(tuple(findings))
    return validate_value(value, findings)


def validate_value(value: object, findings: list[Finding] | None = None) -> Validated:
    """Check a document given as decoded JSON, after ``findings`` made before."""
    found = list(findings or ())
    document = build(Document, value, "", found)
    return finish(document, found)


def finish(document: Document, findings: list[Finding]) -> Validated:
    """Check a document whose entries were built, after ``findings`` made by that."""
    found = list(findings)
    places = [finding.place for finding in findings]
    for finding in findings_of(document):
        # What does not fit was replaced by a stand-in, of which nothing is told.
        if not any(_covers(place, finding.place) for place in places):
            found.append(finding)
    return _finish(document, tuple(found))


def _covers(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith((f"{outer}.", f"{outer}["))


def _finish(document: Document, findings: tuple[Finding, ...]) -> Validated:
    if not findings:
        return Ok(document)
    if len(findings) > MAX_FINDINGS:
        n_more = len(findings) - MAX_FINDINGS
        rest = Finding(place="document", problem=f"{n_more} more findings")
        findings = (*findings[:MAX_FINDINGS], rest)
    return Err(findings)


def _parse(data: bytes | str, findings: list[Finding]) -> Any:
    def pairs(items: list[tuple[str, object]]) -> dict[str, object]:
        found = dict(items)
        if len(found) < len(items):
            # JSON readers differ in which of two equal names they take, so what the
            # operator sees need not be what comes into force.
            names = [name for name, _ in items]
            twice = sorted({name for name in names if names.count(name) > 1})
            place = str(found.get("name", "document"))[:80]
            problem = f"gives {', '.join(twice)} more than once"
            findings.append(Finding(place=place, problem=problem))
        return found

    def constant(text: str) -> object:
        raise ValueError(f"{text} is not JSON")

    try:
        return json.loads(data, object_pairs_hook=pairs, parse_constant=constant)
    except json.JSONDecodeError as exc:
        place = f"document, line {exc.lineno}, column {exc.colno}"
        findings.append(Finding(place=place, problem=f"is not JSON: {exc.msg}"))
    except (ValueError, RecursionError) as exc:
        problem = f"is not JSON: {type(exc).__name__}: {exc}"
        findings.append(Finding(place="document", problem=problem[:200]))
    return None
