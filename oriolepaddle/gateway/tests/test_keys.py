import json

import pytest

from oriolepaddle.config import parse_ticket
from oriolepaddle.errors import AuthenticationError, ErrorCode, MalformedRequestError
from oriolepaddle.gateway.keys import find_presented_key
from oriolepaddle.gateway.tests.conftest import KEY, make_chat, make_request
from oriolepaddle.standins import make_key

KEY_PLACES = [
    ({"Authorization": f"Bearer {KEY}"}, ""),
    ({"Authorization": f"bearer {KEY}"}, ""),
    ({"X-Api-Key": KEY}, ""),
    ({"Cookie": f"api_key={KEY}; theme=dark"}, ""),
    ({}, f"?api_key={KEY}&page=2"),
    ({"Authorization": f"Bearer {KEY}"}, f"?access_token={KEY}"),
]


def contains_key(parsed):
    forwarded = (parsed.path, parsed.caller_path, parsed.headers, parsed.body)
    return KEY in repr(forwarded)


class TestPresentedKey:
    @pytest.mark.parametrize(("headers", "query"), KEY_PLACES)
    def test_is_found_and_never_forwarded(self, parser, headers, query):
        path = "/v1/chat/completions" + query
        body = make_chat(api_key=KEY, nested={"deep": [{"key": KEY}]})
        parsed = parser.parse(make_request(path=path, data=body, headers=headers))
        assert parsed.key.id == "k1"
        assert not contains_key(parsed)

    # An empty key is no key, also where a ticket has the digest of an empty one.
    @pytest.mark.parametrize(
        ("headers", "query"),
        [
            ({"X-Api-Key": ""}, ""),
            ({"Api-Key": " "}, ""),
            ({"Authorization": "Bearer \x0b"}, ""),
            ({"Cookie": "api_key=;"}, ""),
            ({}, "?api_key="),
        ],
    )
    def test_empty_one_is_refused_as_missing(self, config, parser, headers, query):
        ticket = {"number": 2, "objects": [make_key("empty", "norddal", "")]}
        config.merge(parse_ticket(json.dumps(ticket)).entries)
        path = "/v1/chat/completions" + query
        with pytest.raises(AuthenticationError) as raised:
            parser.parse(make_request(path=path, data=make_chat(), headers=headers))
        assert raised.value.code is ErrorCode.KEY_MISSING

    def test_different_keys_are_refused(self):
        headers = {"Authorization": "Bearer a", "X-Api-Key": "b"}
        with pytest.raises(AuthenticationError):
            find_presented_key(make_request(headers=headers))

    @pytest.mark.parametrize(
        "request_arguments",
        [
            {"data": make_chat(messages=[{"role": "user", "content": f"is {KEY} it"}])},
            {"path": f"/services/visit-desk/{KEY}"},
            {"path": f"/services/visit-desk/%6B{KEY[1:]}"},
            {"path": "/services/visit-desk/x", "data": f"plain {KEY}".encode()},
        ],
    )
    def test_key_that_cannot_be_removed_is_refused(self, parser, request_arguments):
        headers = {"Authorization": f"Bearer {KEY}"}
        with pytest.raises(MalformedRequestError):
            parser.parse(make_request(headers=headers, **request_arguments))

    def test_open_route_forwards_the_key(self, parser):
        headers = {"Authorization": f"Bearer {KEY}"}
        path = "/services/timetable/x"
        parsed = parser.parse(make_request("GET", path, headers=headers))
        assert parsed.key is None
        assert contains_key(parsed)
