"""Sections: the document as content-addressed objects."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest

from celerytrail.configuration.document import (
    AdapterSpec,
    Document,
    EngineSpec,
    ModelSpec,
    OrganisationSpec,
)
from celerytrail.configuration.sections import (
    ROOT,
    Tree,
    digest_of,
    make_section,
    read_index,
    read_section,
)


def large_document(n_organisations=300, n_engines=100):
    return Document(
        models=(ModelSpec(name="contracts", version="v1"),),
        adapters=(AdapterSpec(name="riders", model="contracts", version="v1"),),
        organisations=tuple(
            OrganisationSpec(name=f"organisation-{number:05}")
            for number in range(n_organisations)
        ),
        engines=tuple(
            EngineSpec(
                name=f"engine-{number:05}",
                address=f"127.0.0.1:{1000 + number}",
                failure_domain="fd",
                model="contracts",
            )
            for number in range(n_engines)
        ),
    )


class TestTree:
    def test_document_round_trip(self):
        document = large_document()
        assert Tree.of(document).document() == document

    def test_root_is_independent_of_entry_order(self):
        document = large_document()
        reversed_engines = dataclasses.replace(document, engines=document.engines[::-1])
        assert Tree.of(reversed_engines).root == Tree.of(document).root

    def test_one_change_makes_three_new_objects(self):
        document = large_document()
        first, *rest = document.organisations
        changed = dataclasses.replace(
            document, organisations=(dataclasses.replace(first, priority=9), *rest)
        )
        new_digests = set(Tree.of(changed).digests()) - set(Tree.of(document).digests())
        assert len(new_digests) == 3

    def test_every_object_reads_back(self):
        tree = Tree.of(large_document())
        root = read_index(tree.get(tree.root), ROOT, tree.root).ok_value
        n_sections = 0
        for index_name, index_digest in root.digests.items():
            index = read_index(tree.get(index_digest), index_name, index_digest)
            for name, digest in index.ok_value.digests.items():
                section = read_section(tree.get(digest), name, digest).ok_value
                assert section == tree.sections[name]
                n_sections += 1
        assert n_sections == len(tree.sections)


class TestBadObjects:
    """Objects from the store or peers may be truncated, swapped or of a newer program.

    A wrong object could refuse an organisation of the accepted document, so anything
    but exactly the named object is a finding.
    """

    def test_wrong_digest(self):
        tree = Tree.of(large_document())
        name, section = next(iter(tree.sections.items()))
        cut = section.encode()[:-1]
        assert "digest" in read_section(cut, name, section.digest).err_value[0].problem

    def test_section_under_another_name(self):
        tree = Tree.of(large_document())
        (_, first), (other, _), *_ = tree.sections.items()
        assert read_section(first.encode(), other, first.digest).is_err()

    def test_entry_in_the_wrong_section(self):
        tree = Tree.of(large_document())
        names = [name for name in tree.sections if name.startswith("organisations/")]
        misplaced = make_section(names[0], tree.sections[names[1]].items)
        found = read_section(misplaced.encode(), names[0], misplaced.digest)
        assert "other sections" in found.err_value[0].problem

    @pytest.mark.parametrize(
        "value",
        [
            None,
            [],
            {"section": "organisations/1", "items": 3},
            {"section": "organisations/1", "items": [{"name": 1}]},
            {"section": "organisations/1", "items": [{"name": "a", "new": 1}]},
            {"section": "organisations/1", "items": [{"name": "a"}]},
        ],
    )
    def test_invalid_section_is_rejected(self, value):
        data = msgspec.json.encode(value)
        assert read_section(data, "organisations/1", digest_of(data)).is_err()

    @pytest.mark.parametrize(
        "digests",
        [
            {"organisations/999": "0" * 64},
            {"organisations/1": "x"},
            {"organisations/1": None},
            {"organisations/99": "0" * 64},
            {"organisations/01": "0" * 64},
            {"nothing/1": "0" * 64},
            {"organisations": "0" * 64},
        ],
    )
    def test_bad_index(self, digests):
        value = {"index": "organisations/0", "format": 1, "digests": digests}
        data = msgspec.json.encode(value)
        assert read_index(data, "organisations/0", digest_of(data)).is_err()

    def test_index_of_another_format(self):
        data = msgspec.json.encode({"index": ROOT, "format": 2, "digests": {}})
        found = read_index(data, ROOT, digest_of(data)).err_value
        assert "format 2" in found[0].problem
