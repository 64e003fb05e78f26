import attrs
import pytest
from hypothesis import given, settings, strategies as st
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from oriolepaddle.catalog import EndpointState, RegisteredEndpoint
from oriolepaddle.edge import AnswerKind
from oriolepaddle.errors import MalformedRequestError
from oriolepaddle.platform import PlatformProtocol
from oriolepaddle.signals import ReportedLoad

PROTOCOL = PlatformProtocol("n1")
ENDPOINT = RegisteredEndpoint(
    "i-1", 1, "desk", "10.0.0.1:80", "nordur-a", 6, EndpointState.READY
)
ID = ("X-Oriolepaddle-Request-Id", "9c41")
OTHER_ID = ("X-Oriolepaddle-Request-Id", "other")
SEAL = ("X-Oriolepaddle-Server-Seal", "3e1b")


def read(target="/chat/1?q=%2F", **headers):
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    environ = EnvironBuilder(method="POST", data=b"body", headers=fields).get_environ()
    environ["RAW_URI"] = target
    return PROTOCOL.read_request(Request(environ), 50.0)


class TestCallersRequest:
    def test_target_is_not_normalised(self):
        request = read()
        assert (request.path, request.target) == ("/chat/1", "/chat/1?q=%2F")

    def test_prompt_fields_are_decoded(self):
        request = read(
            X_Oriolepaddle_Token_Count="1460,80",
            X_Oriolepaddle_Prompt_Prefix="5c1e:800, 91bd:410",
        )
        assert (request.input_tokens, request.output_tokens) == (1460, 80)
        assert [(part.id, part.tokens) for part in request.parts] == [
            ("5c1e", 800),
            ("91bd", 410),
        ]

    @pytest.mark.parametrize("value", ["Token ", "token   ", "Token \x0b", "Token"])
    def test_empty_key_is_read_as_a_missing_one(self, value):
        assert read(Authorization=value).key is None

    def test_key_and_connection_fields_are_not_forwarded(self):
        request = read(
            Authorization="Token secret",
            Connection="keep-alive",
            Kv_From="10.0.0.1:1/x",
            X_Oriolepaddle_Tenant="forged",
            X_Other="kept",
        )
        assert request.key == "secret"
        names = {name.lower() for name, _ in request.headers}
        assert "x-other" in names
        forbidden = {"authorization", "connection", "kv-from", "x-oriolepaddle-tenant"}
        assert not names & forbidden

    @pytest.mark.parametrize(
        "headers",
        [
            {"X_Oriolepaddle_Deadline_Ms": "soon"},
            {"X_Oriolepaddle_Deadline_Ms": "nan"},
            {"X_Oriolepaddle_Token_Count": "-1,2"},
            {"X_Oriolepaddle_Prompt_Prefix": "abc"},
        ],
    )
    def test_invalid_fields_are_typed_errors(self, headers):
        with pytest.raises(MalformedRequestError):
            read(**headers)

    @pytest.mark.parametrize(
        "fields",
        [
            {"X_Oriolepaddle_Token_Count": "2147483648,10"},
            {"X_Oriolepaddle_Token_Count": "10,1e300"},
            {"X_Oriolepaddle_Prompt_Prefix": "5c1e07a2:2147483648"},
            {"X_Oriolepaddle_Prompt_Prefix": "5c1e07a2:" + 5000 * "1"},
            {"X_Oriolepaddle_Prompt_Prefix": "5c1e07a2:\u00b2"},
        ],
    )
    def test_token_counts_out_of_range_are_typed_errors(self, fields):
        with pytest.raises(MalformedRequestError):
            read(**fields)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=30))
    def test_any_field_is_decoded_or_a_typed_error(self, value):
        try:
            read(X_Oriolepaddle_Token_Count=value, X_Oriolepaddle_Prompt_Prefix=value)
        except MalformedRequestError:
            return


class TestEndpointHeaders:
    def test_contain_the_endpoint_and_the_organisation(self):
        headers = dict(
            PROTOCOL.write_endpoint_headers(read(), ENDPOINT, "huka", 1.25, "7")
        )
        assert headers["X-Oriolepaddle-Expect-Instance"] == "i-1"
        assert headers["X-Oriolepaddle-Tenant"] == "huka"
        assert headers["X-Oriolepaddle-Deadline-Ms"] == "1250"
        assert headers["Last-Event-Id"] == "7"
        assert "Kv-Fetch" not in headers

    def test_contain_the_source_of_the_prompt_prefix(self):
        source = attrs.evolve(ENDPOINT, id="i-2", address="10.1.64.44:8667")
        headers = dict(
            PROTOCOL.write_endpoint_headers(
                read(), ENDPOINT, "huka", 1.25, None, prefix_source=source
            )
        )
        assert headers["Kv-Fetch"] == "10.1.64.44:8667"

    def test_drop_a_prefix_source_sent_by_the_caller(self):
        request = read(Kv_Fetch="10.9.9.9:80")
        headers = dict(
            PROTOCOL.write_endpoint_headers(request, ENDPOINT, "huka", 1.25, None)
        )
        assert "Kv-Fetch" not in headers


class TestPeerHeaders:
    def test_preserve_the_callers_deadline_and_key(self):
        first = read(X_Oriolepaddle_Deadline_Ms="4000", Authorization="Token k")
        headers = dict(PROTOCOL.write_peer_headers(first, 0.5, "2", 1))
        forwarded = read(**{name.replace("-", "_"): v for name, v in headers.items()})
        assert forwarded.hops == ("n1",)
        assert forwarded.earlier_runs == 1
        assert forwarded.key == "k"
        assert forwarded.caller_timeout_s == 4.0
        assert forwarded.arrived_s == 49.5
        assert forwarded.last_event_id == "2"


class TestAnswer:
    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (200, (ID, SEAL), AnswerKind.RAN),
            (500, (ID, SEAL), AnswerKind.RAN),
            (200, (ID,), AnswerKind.FOREIGN),
            (200, (OTHER_ID, SEAL), AnswerKind.FOREIGN),
            (200, (SEAL,), AnswerKind.FOREIGN),
            (503, (("X-Oriolepaddle-Not-Run", "1"),), AnswerKind.NOT_RUN),
            (503, (ID, SEAL), AnswerKind.RAN),
            (421, (), AnswerKind.OTHER_ENDPOINT),
            (421, (("X-Oriolepaddle-Not-Run", "1"),), AnswerKind.OTHER_ENDPOINT),
            # Second copies of earlier answers say nothing about this request.
            (503, (OTHER_ID, ("X-Oriolepaddle-Not-Run", "1")), AnswerKind.FOREIGN),
            (421, (OTHER_ID,), AnswerKind.FOREIGN),
        ],
    )
    def test_kind_follows_from_status_and_headers(self, status, headers, expected):
        assert PROTOCOL.read_answer("9c41", status, headers).kind is expected

    def test_load_is_decoded_and_not_sent_to_the_caller(self):
        answer = PROTOCOL.read_answer(
            "9c41", 200, (ID, SEAL, ("X-Oriolepaddle-Server-Load", "3,1,8"))
        )
        assert answer.load == ReportedLoad(3, 1, 8)
        assert answer.headers == (ID, SEAL)
