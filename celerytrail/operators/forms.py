"""The console's forms: parsing posted values and showing them with their findings.

An invalid value is kept as typed; the form shows it again with the finding beside it.
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
    """Parse a posted form; None if the body is not one."""
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
    """Return a field's first value; empty if the field is missing."""
    field_values = values.get(name)
    return field_values[0] if field_values else ""


def read_entry(form: Form, values: FormValues) -> JsonObject:
    """Return the typed entry as JSON, without validating it."""
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
        # A decimal comma is accepted: many keyboards have one in place of the point.
        normalised = text.replace(",", ".")
        if re.fullmatch(r"[+-]?[0-9]{1,18}(\.[0-9]{0,18})?", normalised):
            return float(normalised)
    return text


def _read_rows(field: Field, values: FormValues) -> list[JsonObject]:
    rows: list[JsonObject] = []
    n_rows_text = first(values, f"{field.name}.n")
    n_rows = int(n_rows_text) if re.fullmatch(r"[0-9]{1,4}", n_rows_text) else 0
    for number in range(n_rows):
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
    """Return the initial values of a new entry's form."""
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
    """Return the names of the entries in one of the document's lists."""
    return [item.name for item in getattr(document, kind)]


@dataclass(frozen=True, kw_only=True, slots=True)
class FieldView:
    """A field as the page shows it, with its value and its findings.

    Parameters
    ----------
    field : Field
        The field's definition.
    name : str
        Its name in the posted form, such as ``endpoints.0.address``.
    text : str
        The content of a text field.
    chosen : tuple of str
        For a choice: the selected options.
    options : tuple of str
        For a choice: all options, including selected ones that no longer exist.
    findings : tuple of str
        The problems to show beside the field.
    rows : tuple of tuple of FieldView
        For a table: its cells, row by row.
    """

    field: Field
    name: str
    text: str = ""
    chosen: tuple[str, ...] = ()
    options: tuple[str, ...] = ()
    findings: tuple[str, ...] = ()
    rows: tuple[tuple[FieldView, ...], ...] = ()

    @property
    def id(self) -> str:
        """Return the HTML id to which labels and hints refer."""
        return "f-" + self.name.replace(".", "-")


def show_entry(
    form: Form,
    entry: JsonObject,
    document: Document,
    findings: Mapping[str, list[str]],
) -> tuple[FieldView, ...]:
    """Return the views of an entry's fields."""
    return tuple(
        _view_field(field, field.name, entry.get(field.name), document, findings)
        for field in form.fields
    )


def _view_field(
    field: Field,
    path: str,
    value: Any,
    document: Document,
    findings: Mapping[str, list[str]],
) -> FieldView:
    problems = _findings_beside(field, path, findings)
    if field.kind == "rows":
        rows = value if isinstance(value, list) else []
        filled = [row if isinstance(row, dict) else {} for row in rows]
        blanks: list[JsonObject] = [{}] * N_BLANK_ROWS
        views = tuple(
            tuple(
                _view_cell(field, number, column, row, document, findings)
                for column in field.columns
            )
            for number, row in enumerate([*filled, *blanks])
        )
        return FieldView(field=field, name=path, rows=views, findings=problems)
    if field.kind in ("choice", "refer"):
        values = value if isinstance(value, list) else [value]
        chosen = tuple(str(name) for name in values if name not in (None, ""))
        known = field.choices or tuple(names_of(document, field.source))
        unknown = tuple(name for name in chosen if name not in known)
        return FieldView(
            field=field,
            name=path,
            chosen=chosen,
            options=known + unknown,
            findings=problems,
        )
    return FieldView(
        field=field, name=path, text=_input_text(field, value), findings=problems
    )


def _view_cell(
    field: Field,
    number: int,
    column: Field,
    row: JsonObject,
    document: Document,
    findings: Mapping[str, list[str]],
) -> FieldView:
    place = f"{field.name}[{number}].{column.name}"
    cell = _view_field(column, place, row.get(column.name), document, findings)
    return FieldView(
        field=column,
        name=f"{field.name}.{number}.{column.name}",
        text=cell.text,
        chosen=cell.chosen,
        options=cell.options,
        findings=cell.findings,
    )


def _findings_beside(
    field: Field, path: str, findings: Mapping[str, list[str]]
) -> tuple[str, ...]:
    """Return the findings to show beside a field: its own and those of its lines."""
    shown: list[str] = []
    for place, problems in findings.items():
        if place == path:
            shown.extend(problems)
        elif place.startswith(f"{path}[") and field.kind != "rows":
            number = int(place[len(path) + 1 :].partition("]")[0]) + 1
            shown.extend(f"line {number} {problem}" for problem in problems)
    return tuple(shown)


def _input_text(field: Field, value: Any) -> str:
    if field.kind == "lines":
        lines = value if isinstance(value, list) else []
        return "\n".join(str(line) for line in lines)
    if field.kind == "flag":
        return "yes" if value else ""
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return "" if value is None else str(value)
