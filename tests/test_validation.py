"""Validation reports all findings at once, each with its place."""

from __future__ import annotations

import json

import pytest

from celerytrail.configuration.document import (
    Document,
    EngineSpec,
    ModelSpec,
    OrganisationSpec,
    encode,
)
from celerytrail.configuration.validation import validate


def problems_by_place(data) -> dict[str, str]:
    if not isinstance(data, bytes | Document):
        data = json.dumps(data)
    return {finding.place: finding.problem for finding in validate(data).err_value}


def valid_document() -> dict:
    return {
        "models": [{"name": "contracts", "version": "v1"}],
        "adapters": [{"name": "riders", "model": "contracts", "version": "v1"}],
        "organisations": [
            {"name": "local-65", "key_digests": ["0" * 64], "models": ["contracts"]}
        ],
        "engines": [
            {
                "name": "e1",
                "address": "127.0.0.1:7200",
                "failure_domain": "fd1",
                "model": "contracts",
                "adapters": ["riders"],
            }
        ],
        "services": [
            {
                "name": "booking",
                "operations": [{"name": "file"}],
                "endpoints": [
                    {
                        "name": "w1",
                        "address": "127.0.0.1:7300",
                        "failure_domain": "fd1",
                    }
                ],
            }
        ],
    }


class TestWholeDocument:
    def test_valid_document_is_returned_typed(self):
        document = validate(json.dumps(valid_document())).ok_value
        assert document.engines[0].adapters == ("riders",)
        assert validate(encode(document)).ok_value == document
        assert validate(document).ok_value == document

    def test_all_findings_are_reported_at_once(self):
        """An operator uploads a document with an error in each part.

        With one finding at a time the operator would need as many uploads as errors.
        """
        data = valid_document()
        data["models"][0]["size"] = 3
        data["models"].append({"name": "contracts", "version": "v2"})
        data["adapters"][0]["model"] = "gone"
        data["organisations"][0] |= {
            "weight": "much",
            "priority": 10,
            "n_concurrent": 0,
        }
        data["organisations"].append({"name": "<script>", "key_digests": ["0" * 64]})
        data["engines"][0] |= {"address": "localhost:1", "role": "serv"}
        data["services"][0]["operations"].append({"name": "file", "idempotent": 1})
        data["services"][0]["endpoints"][0]["address"] = "127.0.0.1:0"
        data["extra"] = []
        assert set(problems_by_place(data)) == {
            "extra",
            "models[0].size",
            "models[1].name",
            "adapters[0].model",
            "organisations[0].weight",
            "organisations[0].priority",
            "organisations[0].n_concurrent",
            "organisations[1].name",
            "organisations[1].key_digests[0]",
            "engines[0].address",
            "engines[0].role",
            "engines[0].adapters[0]",
            "services[0].operations[1].idempotent",
            "services[0].operations[1].name",
            "services[0].endpoints[0].address",
        }

    def test_dangling_references(self):
        data = valid_document()
        data["organisations"][0] |= {"models": ["x"], "services": ["y", "booking"]}
        data["engines"][0] |= {"model": "z"}
        assert set(problems_by_place(data)) == {
            "organisations[0].models[0]",
            "organisations[0].services[0]",
            "engines[0].model",
            "engines[0].adapters[0]",
        }

    def test_address_used_twice(self):
        data = valid_document()
        data["services"][0]["endpoints"][0]["address"] = "127.0.0.1:7200"
        assert "services[0].endpoints[0].address" in " ".join(
            [*problems_by_place(data), *problems_by_place(data).values()]
        )

    @pytest.mark.parametrize("weight", [0, -1, 1e400, 1001, True, None, "1"])
    def test_weight_out_of_range(self, weight):
        data = valid_document()
        data["organisations"][0]["weight"] = weight
        assert list(problems_by_place(json.dumps(data).encode())) in (
            ["organisations[0].weight"],
            ["document"],
        )

    def test_frozen_types_are_checked_as_well(self):
        document = Document(
            models=(ModelSpec(name="a b", version="1"),),
            organisations=(OrganisationSpec(name="o", weight=float("nan")),),
            engines=(
                EngineSpec(
                    name="e", address="127.0.0.1:1", failure_domain="f", model="m"
                ),
            ),
        )
        assert set(problems_by_place(document)) == {
            "models[0].name",
            "organisations[0].weight",
            "engines[0].model",
        }


class TestRawJson:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{",
            b"[]",
            b"null",
            b"\xff\xfe\x00",
            b'{"models": 3}',
            b'{"models": [3]}',
            b'{"models": [{}]}',
            b'{"organisations": [{"name": "a", "weight": NaN}]}',
            b'{"models": [], "models": []}',
            b"[" * 100_000,
        ],
    )
    def test_bad_input_gives_findings(self, data):
        """An operator uploads a wrong file; the findings must name the problem."""
        assert validate(data).err_value

    def test_syntax_error_has_line_and_column(self):
        assert list(problems_by_place(b'{\n"models": [,]}')) == [
            "document, line 2, column 12"
        ]

    def test_too_many_findings_are_cut(self):
        data = {"models": [{"name": " "}] * 2000}
        findings = validate(json.dumps(data)).err_value
        assert len(findings) == 1001
        assert "more findings" in findings[-1].problem
