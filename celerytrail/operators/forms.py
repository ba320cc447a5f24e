"""The console's forms: reading what was typed, and showing it with its findings.

What was typed is kept as it is where it does not fit: the form comes back with it and
with the finding beside it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from ..configuration.document import Document
from .drafts import JsonObject
from .formfields import Field, Form

MAX_FORM_FIELDS = 5_000
N_BLANK_ROWS = 2

FormValues = Mapping[str, Sequence[str]]


def parse_form(body: bytes) -> FormValues | None:
    """Read a posted form; None where it is not one."""
    try:
        pairs = parse_qsl(
            body.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(body),
            encoding="utf-8",
            errors="strict",
            max_num_fields=MAX_FORM_FIELDS,
        )
    except (ValueError, UnicodeError):
        return None
    values: dict[str, list[str]] = {}
    for name, value in pairs:
        values.setdefault(name, []).append(value)
    return values


def first(values: FormValues, name: str) -> str:
    """Return a field's value; empty where it is missing."""
    given = values.get(name)
    return given[0] if given else ""


def read_entry(form: Form, values: FormValues) -> JsonObject:
    """Return an entry as JSON from what was typed, right or wrong."""
    return {field.name: _read_field(field, field.name, values) for field in form.fields}


def _read_field(field: Field, name: str, values: FormValues) -> Any:
    if field.kind == "rows":
        return _read_rows(field, values)
    if field.kind == "flag":
        return bool(values.get(name))
    if field.kind == "lines":
        lines = first(values, name).splitlines()
        return [line.strip() for line in lines if line.strip()]
    if field.kind == "refer" and field.is_many:
        return [value for value in values.get(name, ()) if value]
    text = first(values, name).strip()
    if field.is_optional and not text:
        return None
    if field.kind == "whole" and re.fullmatch(r"[+-]?[0-9]{1,18}", text):
        return int(text)
    if field.kind == "number":
        # Many keyboards give a decimal comma; refusing it would teach nothing.
        plain = text.replace(",", ".")
        if re.fullmatch(r"[+-]?[0-9]{1,18}(\.[0-9]{0,18})?", plain):
            return float(plain)
    return text


def _read_rows(field: Field, values: FormValues) -> list[JsonObject]:
    rows: list[JsonObject] = []
    n_rows = first(values, f"{field.name}.n")
    n_given = int(n_rows) if re.fullmatch(r"[0-9]{1,4}", n_rows) else 0
    for number in range(n_given):
        row = {
            column.name: _read_field(
                column, f"{field.name}.{number}.{column.name}", values
            )
            for column in field.columns
        }
        if row["name"]:
            rows.append(row)
    return rows


def blank_entry(form: Form, document: Document) -> JsonObject:
    """Return what a new entry's form shows at first."""
    entry: JsonObject = {}
    for field in form.fields:
        if field.kind == "rows" or field.kind == "lines" or field.is_many:
            entry[field.name] = []
        elif field.kind == "choice":
            entry[field.name] = field.choices[0]
        elif field.kind == "refer":
            names = names_of(document, field.source)
            entry[field.name] = names[0] if names else ""
        else:
            entry[field.name] = None if field.is_optional else ""
    defaults = {"priority": 5, "weight": 1.0, "n_context_tokens": 32_768}
    entry.update({name: value for name, value in defaults.items() if name in entry})
    return entry


def names_of(document: Document, kind: str) -> list[str]:
    """Return the names in one list of a document."""
    return [item.name for item in getattr(document, kind)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Shown:
    """A field as the page shows it: with its value and its findings.

    Parameters
    ----------
    field : Field
        The field.
    name : str
        Its name in the posted form, such as ``endpoints.0.address``.
    text : str
        What a text field shows.
    chosen : tuple of str
        Of a choice: what is chosen.
    options : tuple of str
        Of a choice: what there is, with what is chosen though it no longer exists.
    findings : tuple of str
        What is wrong with it.
    rows : tuple of tuple of Shown
        For a table.
    """

    field: Field
    name: str
    text: str = ""
    chosen: tuple[str, ...] = ()
    options: tuple[str, ...] = ()
    findings: tuple[str, ...] = ()
    rows: tuple[tuple[Shown, ...], ...] = ()

    @property
    def id(self) -> str:
        """Return the id by which labels and hints refer to it."""
        return "f-" + self.name.replace(".", "-")


def show_entry(
    form: Form,
    entry: JsonObject,
    document: Document,
    findings: Mapping[str, list[str]],
) -> tuple[Shown, ...]:
    """Return an entry's fields as the page shows them."""
    return tuple(
        _show(field, field.name, entry.get(field.name), document, findings)
        for field in form.fields
    )


def _show(
    field: Field,
    path: str,
    value: Any,
    document: Document,
    findings: Mapping[str, list[str]],
) -> Shown:
    found = _findings_at(field, path, findings)
    if field.kind == "rows":
        rows = value if isinstance(value, list) else []
        given = [row if isinstance(row, dict) else {} for row in rows]
        blanks: list[JsonObject] = [{}] * N_BLANK_ROWS
        shown = tuple(
            tuple(
                _show_cell(field, number, column, row, document, findings)
                for column in field.columns
            )
            for number, row in enumerate([*given, *blanks])
        )
        return Shown(field=field, name=path, rows=shown, findings=found)
    if field.kind in ("choice", "refer"):
        values = value if isinstance(value, list) else [value]
        chosen = tuple(str(one) for one in values if one not in (None, ""))
        known = field.choices or tuple(names_of(document, field.source))
        strange = tuple(one for one in chosen if one not in known)
        return Shown(
            field=field,
            name=path,
            chosen=chosen,
            options=known + strange,
            findings=found,
        )
    return Shown(field=field, name=path, text=_text(field, value), findings=found)


def _show_cell(
    field: Field,
    number: int,
    column: Field,
    row: JsonObject,
    document: Document,
    findings: Mapping[str, list[str]],
) -> Shown:
    place = f"{field.name}[{number}].{column.name}"
    cell = _show(column, place, row.get(column.name), document, findings)
    return Shown(
        field=column,
        name=f"{field.name}.{number}.{column.name}",
        text=cell.text,
        chosen=cell.chosen,
        options=cell.options,
        findings=cell.findings,
    )


def _findings_at(
    field: Field, path: str, findings: Mapping[str, list[str]]
) -> tuple[str, ...]:
    """Return the findings to show beside a field: its own and its lines'."""
    found: list[str] = []
    for place, problems in findings.items():
        if place == path:
            found.extend(problems)
        elif place.startswith(f"{path}[") and field.kind != "rows":
            number = int(place[len(path) + 1 :].partition("]")[0]) + 1
            found.extend(f"line {number} {problem}" for problem in problems)
    return tuple(found)


def _text(field: Field, value: Any) -> str:
    if field.kind == "lines":
        lines = value if isinstance(value, list) else []
        return "\n".join(str(line) for line in lines)
    if field.kind == "flag":
        return "yes" if value else ""
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "" if value is None else str(value)
