import pytest

from oriolepaddle.errors import AuthenticationError, MalformedRequestError
from oriolepaddle.gateway.keys import find_presented_key
from oriolepaddle.gateway.tests.conftest import KEY, make_chat, make_request

CARRIERS = [
    ({"Authorization": f"Bearer {KEY}"}, ""),
    ({"Authorization": f"bearer {KEY}"}, ""),
    ({"X-Api-Key": KEY}, ""),
    ({"Cookie": f"api_key={KEY}; theme=dark"}, ""),
    ({}, f"?api_key={KEY}&page=2"),
    ({"Authorization": f"Bearer {KEY}"}, f"?access_token={KEY}"),
]


def carries_key(parsed):
    parts = (parsed.path, parsed.caller_path, parsed.headers, parsed.body)
    return KEY in repr(parts)


class TestPresentedKey:
    @pytest.mark.parametrize(("headers", "query"), CARRIERS)
    def test_is_found_and_never_passed_on(self, parser, headers, query):
        path = "/v1/chat/completions" + query
        body = make_chat(api_key=KEY, nested={"deep": [{"key": KEY}]})
        parsed = parser.parse(make_request(path=path, data=body, headers=headers))
        assert parsed.key.id == "k1"
        assert not carries_key(parsed)

    def test_two_keys_are_refused(self):
        headers = {"Authorization": "Bearer a", "X-Api-Key": "b"}
        with pytest.raises(AuthenticationError):
            find_presented_key(make_request(headers=headers))

    @pytest.mark.parametrize(
        "request_parts",
        [
            {"data": make_chat(messages=[{"role": "user", "content": f"is {KEY} it"}])},
            {"path": f"/services/visit-desk/{KEY}"},
            {"path": "/services/visit-desk/x", "data": f"plain {KEY}".encode()},
        ],
    )
    def test_key_that_cannot_be_taken_out_is_refused(self, parser, request_parts):
        headers = {"Authorization": f"Bearer {KEY}"}
        with pytest.raises(MalformedRequestError):
            parser.parse(make_request(headers=headers, **request_parts))

    def test_open_route_passes_it_on(self, parser):
        headers = {"Authorization": f"Bearer {KEY}"}
        path = "/services/timetable/x"
        parsed = parser.parse(make_request("GET", path, headers=headers))
        assert parsed.key is None
        assert carries_key(parsed)
