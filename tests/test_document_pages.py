"""The examples are valid, and the page and forms cover every field of the document."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from celerytrail.configuration.document import EndpointSpec, OperationSpec
from celerytrail.configuration.validation import validate
from celerytrail.operators.drafts import ITEM_TYPES
from celerytrail.operators.formfields import FORMS

ROOT = Path(__file__).parent.parent
ROW_TYPES = {"operations": OperationSpec, "endpoints": EndpointSpec}


def field_names(kind) -> list[str]:
    return [field.name for field in dataclasses.fields(kind)]


class TestPages:
    @pytest.mark.parametrize("name", ["office", "ciranda"])
    def test_examples_are_valid(self, name):
        path = ROOT / "examples" / f"{name}.json"
        assert validate(path.read_bytes()).is_ok()

    def test_page_names_every_field(self):
        page = (ROOT / "docs" / "configuration.md").read_text()
        for kind, item_type in ITEM_TYPES.items():
            section = page.partition(f"## `{kind}`")[2].partition("\n## ")[0]
            for name in field_names(item_type):
                assert f"`{name}`" in section or f"`{name}[]" in section, (kind, name)
        for row, item_type in ROW_TYPES.items():
            for name in field_names(item_type):
                assert f"{row}[].{name}`" in page or f"`.{name}`" in page

    def test_forms_have_every_field(self):
        for kind, item_type in ITEM_TYPES.items():
            fields = {field.name: field for field in FORMS[kind].fields}
            assert set(fields) == set(field_names(item_type))
            assert all(field.help for field in fields.values())
            for row in fields.keys() & ROW_TYPES.keys():
                columns = {column.name for column in fields[row].columns}
                assert columns == set(field_names(ROW_TYPES[row]))
