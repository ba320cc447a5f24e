"""The examples are valid, and page and forms name every field of the document."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from celerytrail.configuration.document import EndpointSpec, OperationSpec
from celerytrail.configuration.validation import validate
from celerytrail.operators.drafts import ITEM_TYPES
from celerytrail.operators.formfields import FORMS

ROOT = Path(__file__).parent.parent
ROWS = {"operations": OperationSpec, "endpoints": EndpointSpec}


def names_of(kind) -> list[str]:
    return [field.name for field in dataclasses.fields(kind)]


class TestPages:
    @pytest.mark.parametrize("name", ["office", "ciranda"])
    def test_examples_are_valid(self, name):
        path = ROOT / "examples" / f"{name}.json"
        assert validate(path.read_bytes()).is_ok()

    def test_page_tells_every_field(self):
        page = (ROOT / "docs" / "configuration.md").read_text()
        for kind, item_type in ITEM_TYPES.items():
            part = page.partition(f"## `{kind}`")[2].partition("\n## ")[0]
            for name in names_of(item_type):
                assert f"`{name}`" in part or f"`{name}[]" in part, (kind, name)
        for row, item_type in ROWS.items():
            for name in names_of(item_type):
                assert f"{row}[].{name}`" in page or f"`.{name}`" in page

    def test_forms_have_every_field(self):
        for kind, item_type in ITEM_TYPES.items():
            fields = {field.name: field for field in FORMS[kind].fields}
            assert set(fields) == set(names_of(item_type))
            assert all(field.help for field in fields.values())
            for row in fields.keys() & ROWS.keys():
                columns = {column.name for column in fields[row].columns}
                assert columns == set(names_of(ROWS[row]))
