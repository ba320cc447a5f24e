"""What endpoints state of themselves in answers: decoded once, held by boot."""

from __future__ import annotations

import pytest

from celerytrail.platform import wire


class TestDecoding:
    @pytest.mark.parametrize(
        ("text", "seconds"),
        [
            ("3", 3.0),
            (" 0.25 ", 0.25),
            ("0", 0.0),
            ("-2", 0.0),
            ("", 0.0),
            ("soon", 0.0),
            ("nan", 0.0),
            ("inf", wire.MAX_PAUSE_SECONDS),
            ("1e9", wire.MAX_PAUSE_SECONDS),
            ("Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        ],
    )
    def test_a_refusal_may_ask_for_a_pause(self, text: str, seconds: float):
        stated = wire.decode_statements(503, {"retry-after": text})
        assert stated.pause_seconds == seconds

    @pytest.mark.parametrize("status", [200, 429, 500, 504])
    def test_other_answers_ask_for_none(self, status: int):
        stated = wire.decode_statements(status, {"retry-after": "3"})
        assert stated.pause_seconds == 0.0

    @pytest.mark.parametrize(
        ("headers", "is_leaving"),
        [
            ({"server-leaving": "1"}, True),
            ({"server-leaving": "0"}, False),
            ({"server-leaving": ""}, False),
            ({}, False),
        ],
    )
    @pytest.mark.parametrize("status", [200, 421, 500, 503])
    def test_any_answer_may_say_that_its_endpoint_leaves(
        self, status: int, headers: dict[str, str], is_leaving: bool
    ):
        assert wire.decode_statements(status, headers).is_leaving is is_leaving
