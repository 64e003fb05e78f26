import json

import pytest

from oriolepaddle.config import ConfigState, parse_ticket, write_ticket
from oriolepaddle.config.model import ObjectKind, RouteKind
from oriolepaddle.errors import TicketError


def make_ticket(number, value, kind="organisation", object_id="norddal"):
    objects = [{"kind": kind, "id": object_id, "value": value}]
    return json.dumps({"number": number, "objects": objects})


ORGANISATION = {"rate_tokens_per_s": 100, "burst_tokens": 1000}


class TestParseTicket:
    def test_round_trip(self):
        ticket = parse_ticket(make_ticket(3, ORGANISATION))
        assert parse_ticket(write_ticket(ticket)) == ticket

    def test_route_kind_is_an_enumeration(self):
        ticket = parse_ticket(make_ticket(1, {"kind": "model"}, "route"))
        assert ticket.entries[0].value.kind is RouteKind.MODEL

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "{",
            "[]",
            '{"number": 1}',
            '{"number": 0, "objects": []}',
            make_ticket(True, ORGANISATION),
            make_ticket(1, ORGANISATION, kind="tenant"),
            make_ticket(1, ORGANISATION, object_id="../x"),
            make_ticket(1, {"rate_tokens_per_s": "fast", "burst_tokens": 1}),
            make_ticket(1, {"rate_tokens_per_s": -1, "burst_tokens": 1}),
            make_ticket(1, {"rate_tokens_per_s": 1}),
            make_ticket(1, ORGANISATION | {"unknown": 1}),
            make_ticket(1, {"rate_tokens_per_s": float("nan"), "burst_tokens": 1}),
            make_ticket(1, {"organisation": "a", "digest": "x"}, kind="key"),
            make_ticket(1, {"kind": "none"}, kind="route"),
        ],
    )
    def test_rejects_invalid_ticket(self, text):
        with pytest.raises(TicketError):
            parse_ticket(text)


class TestConfigState:
    def test_older_ticket_does_not_revert(self):
        state = ConfigState()
        state.merge(parse_ticket(make_ticket(2, None)).entries)
        state.merge(parse_ticket(make_ticket(1, ORGANISATION)).entries)
        assert state.organisation("norddal") is None
        assert state.entry(ObjectKind.ORGANISATION, "norddal").number == 2

    def test_withdrawn_key_leaves_digest_index(self):
        state = ConfigState()
        digest = "0" * 64
        value = {"organisation": "norddal", "digest": digest}
        state.merge(parse_ticket(make_ticket(1, value, "key", "k1")).entries)
        assert state.key_by_digest(digest).id == "k1"
        state.merge(parse_ticket(make_ticket(2, None, "key", "k1")).entries)
        assert state.key_by_digest(digest) is None
