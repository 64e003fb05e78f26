import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.errors import ErrorCode, OriolepaddleError, Outcome
from oriolepaddle.gateway.tests.conftest import (
    KEY,
    make_chat,
    make_config,
    make_parser,
    make_request,
)

BEARER = {"Authorization": f"Bearer {KEY}"}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)

INVALID_BODIES = [
    b"",
    b"{",
    b"[]",
    b"[" * 100_000,
    make_chat(model=7),
    make_chat(model="unknown"),
    make_chat(messages=[]),
    make_chat(messages="hello"),
    make_chat(messages=[{"role": "user"}]),
    make_chat(messages=[{"role": "user", "content": {"text": "x"}}]),
    make_chat(stream="yes"),
    make_chat(max_tokens=-1),
    make_chat(max_tokens="many"),
    make_chat(max_tokens=10**9),
    make_chat(priority=99),
]


class TestRequestParser:
    def test_chat_request_is_parsed(self, parser):
        chat = make_chat(max_tokens=9, stream=True, priority=2)
        parsed = parser.parse(make_request(data=chat, headers=BEARER))
        assert parsed.organisation.id == "norddal"
        assert (parsed.output_tokens, parsed.is_stream, parsed.priority) == (9, True, 2)
        assert parsed.is_idempotent
        assert parsed.prompt_tokens > 0

    # An endpoint must run the path that the caller sent.
    @pytest.mark.parametrize(
        "path",
        ["/a/../b", "/a%2Fb", "/%2e%2e/b", "/a%20b", "//a", "/a;b=c?", "/a?b=%2F&&c"],
    )
    def test_path_of_a_service_is_kept_as_sent(self, parser, path):
        target = "/services/visit-desk" + path
        parsed = parser.parse(make_request("GET", target, headers=BEARER))
        assert parsed.path == path
        assert parsed.caller_path == target

    @pytest.mark.parametrize(
        "target", ["/v1/chat%2Fcompletions", "/services%2Fvisit-desk/a", "//services/x"]
    )
    def test_path_selects_the_route_as_sent(self, parser, target):
        with pytest.raises(OriolepaddleError) as raised:
            parser.parse(make_request(path=target, data=make_chat(), headers=BEARER))
        assert raised.value.code is ErrorCode.ROUTE_UNKNOWN

    @pytest.mark.parametrize("body", INVALID_BODIES)
    def test_invalid_body_is_refused_as_not_run(self, parser, body):
        with pytest.raises(OriolepaddleError) as caught:
            parser.parse(make_request(data=body, headers=BEARER))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.code in (
            ErrorCode.MALFORMED_REQUEST,
            ErrorCode.ROUTE_UNKNOWN,
        )

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(value=JSON_VALUES, name=st.sampled_from([*make_chat(), "max_tokens"]))
    def test_any_value_is_parsed_or_refused(self, value, name):
        parser = make_parser(make_config())
        request = make_request(data=make_chat(**{name: value}), headers=BEARER)
        try:
            parser.parse(request)
        except OriolepaddleError as error:
            assert error.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize(
        ("path", "code"),
        [
            ("/services/none/x", ErrorCode.ROUTE_UNKNOWN),
            ("/services/oriole-answers/x", ErrorCode.ROUTE_UNKNOWN),
            ("/elsewhere", ErrorCode.ROUTE_UNKNOWN),
            ("/services/visit-desk/x", ErrorCode.KEY_MISSING),
            ("/v1/orders", ErrorCode.MALFORMED_REQUEST),
        ],
    )
    def test_missing_route_or_key_is_refused(self, parser, path, code):
        with pytest.raises(OriolepaddleError) as caught:
            parser.parse(make_request(path=path))
        assert caught.value.code is code

    @pytest.mark.parametrize(
        ("method", "is_idempotent"),
        [("GET", True), ("HEAD", True), ("POST", False), ("DELETE", False)],
    )
    def test_idempotency_of_a_service_request_depends_on_its_method(
        self, parser, method, is_idempotent
    ):
        path = "/services/visit-desk/stays/7?date=today"
        parsed = parser.parse(make_request(method, path, headers=BEARER))
        assert parsed.is_idempotent is is_idempotent
        assert parsed.path == "/stays/7?date=today"
