"""Tickets: signed, rotated, expiring, and safe to read from anybody."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from celerytrail.callers.tickets import Ticket, TicketSigner, split_event_id
from celerytrail.clock import ManualClock

TICKET = Ticket(
    organisation="office",
    engine="e1",
    incarnation="abc",
    address="127.0.0.1:7300",
    generation_id="g1",
    model="draft:legal",
    shape="chat",
    expires_at=100.0,
)


def signer(clock=None, current="new", **keys):
    keys = keys or {"new": b"n" * 32}
    return TicketSigner(keys=keys, current=current, clock=clock or ManualClock())


class TestTickets:
    def test_read_gives_what_was_issued(self):
        assert signer().read(signer().issue(TICKET)).ok_value == TICKET

    def test_keys_are_rotated_without_breaking_streams(self):
        """Operators replace the signing key while drafts run. Tickets of the old key
        are taken for as long as it is listed.
        """
        old = signer(current="old", old=b"o" * 32)
        both = signer(new=b"n" * 32, old=b"o" * 32)
        assert both.read(old.issue(TICKET)).is_ok()
        assert old.read(both.issue(TICKET)).err_value.reason == "forged"

    def test_expired(self):
        clock = ManualClock()
        text = signer().issue(TICKET)
        clock.advance(100.0)
        problem = signer(clock=clock).read(text).err_value
        assert problem.reason == "expired"
        assert problem.ticket == TICKET

    @pytest.mark.parametrize("field", ["organisation", "address", "generation_id"])
    def test_each_field_is_signed(self, field):
        """Someone swaps a field of a ticket under the old signature."""
        real = signer().issue(TICKET)
        other = signer().issue(replace(TICKET, **{field: "127.0.0.2:7300"}))
        assert isinstance(signer().read(real[:21] + other[21:]), Err)

    @settings(derandomize=True, max_examples=300)
    @given(text=st.one_of(st.text(max_size=300), st.binary().map(bytes.hex)))
    def test_nonsense_is_never_taken(self, text):
        assert isinstance(signer().read(text), Err)

    @settings(derandomize=True)
    @given(text=st.text(max_size=60))
    def test_event_ids_are_split_or_refused(self, text):
        split = split_event_id(text)
        if split.is_ok():
            ticket, offset = split.ok_value
            assert text.startswith(f"{ticket}.")
            assert 0 <= offset < 10**9
