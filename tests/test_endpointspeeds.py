"""Load headers of endpoints, and the estimates of speed and load made from them."""

from __future__ import annotations

import pytest
from result import Err, Ok

from celerytrail.model import LoadHeader
from celerytrail.platform import wire


class TestDecoding:
    """The load: some endpoints send load headers with three or four values, and faulty
    ones send anything at all with each of sixty answers a second.
    """

    def test_three_values_state_no_slowness(self):
        # Guards against a missing value that is read as usual speed.
        decoded = wire.decode_load({"x-worker-load": "3,0,8"})
        assert decoded == Ok(LoadHeader(n_running=3, n_waiting=0, n_slots=8))

    def test_the_fourth_value_is_in_percent(self):
        # Guards against a slowness of 140 instead of 1.4.
        decoded = wire.decode_load({"x-worker-load": " 3, 2 ,8,140"})
        stated = LoadHeader(n_running=3, n_waiting=2, n_slots=8, slowness=1.4)
        assert decoded == Ok(stated)

    def test_an_answer_without_the_header_is_no_fault(self):
        # Guards against a count of bad headers at services that send none.
        assert wire.decode_load({}) is None

    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            ("", "malformed"),
            ("a,b,c", "malformed"),
            ("3,0,8,", "malformed"),
            ("3,,8", "malformed"),
            ("3,0,8,1.4", "malformed"),
            ("3,0,8,nan", "malformed"),
            ("3,0,8,1e3", "malformed"),
            ("+3,0,8", "malformed"),
            ("3_0,0,8", "malformed"),
            ("\u0663,0,8", "malformed"),
            ("3;0;8", "malformed"),
            ("3", "wrong_count"),
            ("3,0", "wrong_count"),
            ("3,0,8,140,7", "wrong_count"),
            ("3,0,8,140, 3,0,8,140", "wrong_count"),
            ("-3,0,8", "negative"),
            ("3,0,8,-140", "negative"),
            ("100001,0,8", "huge"),
            ("3,0,8,10001", "huge"),
            ("3,0,8," + "9" * 5_000, "huge"),
            ("3,0,0", "zero"),
            ("3,0,8,0", "zero"),
        ],
    )
    def test_bad_headers_are_rejected_with_a_reason(self, text: str, reason: str):
        # Guards against a fault of one endpoint that distorts or ends choices.
        assert wire.decode_load({"x-worker-load": text}) == Err(reason)
