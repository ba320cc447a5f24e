"""Validation of the operators' document: all findings at once, with their places."""

from __future__ import annotations

import json
from typing import Any

from result import Err, Ok, Result

from ..types import Finding
from .checks import findings_of
from .conversion import build
from .document import Document

MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
MAX_FINDINGS = 1_000

Validated = Result[Document, tuple[Finding, ...]]


def validate(data: bytes | str | Document) -> Validated:
    """Check a document, given as JSON text or in the frozen types.

    Parameters
    ----------
    data : bytes, str or Document
        The document to check.

    Returns
    -------
    Result of Document or tuple of Finding
        The document, or its findings: up to `MAX_FINDINGS`, and one that counts the
        rest.
    """
    if isinstance(data, Document):
        return _to_result(data, findings_of(data))
    if len(data) > MAX_DOCUMENT_BYTES:
        problem = f"is over {MAX_DOCUMENT_BYTES} bytes"
        return Err((Finding(place="document", problem=problem),))
    findings: list[Finding] = []
    value = _parse(data, findings)
    if value is None and findings:
        return Err(tuple(findings))
    return validate_value(value, findings)


def validate_value(value: object, findings: list[Finding] | None = None) -> Validated:
    """Check a document given as decoded JSON; earlier ``findings`` come first."""
    found = list(findings or ())
    document = build(Document, value, "", found)
    return finish(document, found)


def finish(document: Document, findings: list[Finding]) -> Validated:
    """Check a built document; ``findings`` are those of building it."""
    found = list(findings)
    places = [finding.place for finding in findings]
    for finding in findings_of(document):
        # Values that didn't convert were replaced by defaults, whose findings would
        # mislead.
        if not any(_contains_place(place, finding.place) for place in places):
            found.append(finding)
    return _to_result(document, tuple(found))


def _contains_place(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith((f"{outer}.", f"{outer}["))


def _to_result(document: Document, findings: tuple[Finding, ...]) -> Validated:
    if not findings:
        return Ok(document)
    if len(findings) > MAX_FINDINGS:
        n_more = len(findings) - MAX_FINDINGS
        rest = Finding(place="document", problem=f"{n_more} more findings")
        findings = (*findings[:MAX_FINDINGS], rest)
    return Err(findings)


def _parse(data: bytes | str, findings: list[Finding]) -> Any:
    def unique_pairs(items: list[tuple[str, object]]) -> dict[str, object]:
        found = dict(items)
        if len(found) < len(items):
            # JSON readers differ in which of two equal names they use, so the operator
            # might see another value than the one that is applied.
            names = [name for name, _ in items]
            twice = sorted({name for name in names if names.count(name) > 1})
            place = str(found.get("name", "document"))[:80]
            problem = f"gives {', '.join(twice)} more than once"
            findings.append(Finding(place=place, problem=problem))
        return found

    def reject_constant(text: str) -> object:
        raise ValueError(f"{text} is not JSON")

    try:
        return json.loads(
            data, object_pairs_hook=unique_pairs, parse_constant=reject_constant
        )
    except json.JSONDecodeError as exc:
        place = f"document, line {exc.lineno}, column {exc.colno}"
        findings.append(Finding(place=place, problem=f"is not JSON: {exc.msg}"))
    except (ValueError, RecursionError) as exc:
        problem = f"is not JSON: {type(exc).__name__}: {exc}"
        findings.append(Finding(place="document", problem=problem[:200]))
    return None
