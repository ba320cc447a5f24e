"""Signing, key rotation and expiry of tickets, and the parsing of untrusted ones."""

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
    return TicketSigner(keys=keys, current_key_id=current, clock=clock or ManualClock())


class TestTickets:
    def test_read_returns_the_issued_ticket(self):
        assert signer().read(signer().issue(TICKET)).ok_value == TICKET

    def test_keys_are_rotated_without_breaking_streams(self):
        """Operators replace the signing key while streams are open. Tickets signed with
        the old key are accepted as long as it is listed.
        """
        old = signer(current="old", old=b"o" * 32)
        both = signer(new=b"n" * 32, old=b"o" * 32)
        assert both.read(old.issue(TICKET)).is_ok()
        assert old.read(both.issue(TICKET)).err_value.reason == "forged"

    def test_expired_ticket_is_refused(self):
        clock = ManualClock()
        text = signer().issue(TICKET)
        clock.advance(100.0)
        error = signer(clock=clock).read(text).err_value
        assert error.reason == "expired"
        assert error.ticket == TICKET

    @pytest.mark.parametrize("field", ["organisation", "address", "generation_id"])
    def test_each_field_is_signed(self, field):
        """A changed field under the signature of the original ticket is detected."""
        original = signer().issue(TICKET)
        changed = signer().issue(replace(TICKET, **{field: "127.0.0.2:7300"}))
        assert isinstance(signer().read(original[:21] + changed[21:]), Err)

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
