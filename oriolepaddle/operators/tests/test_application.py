import json

import pytest
from werkzeug.test import EnvironBuilder
from werkzeug.wrappers import Request

from oriolepaddle.errors import ErrorCode, OriolepaddleError
from oriolepaddle.operators import OperatorApplication
from oriolepaddle.operators.reports import InstanceReport, StatusReport

TOKEN = "token-of-the-operators"


class FakeAdministration:
    def __init__(self):
        self.drains = 0
        self.cold_starts = 0

    def status(self):
        return StatusReport("n1", "nordur-a", 1, False, False, 7, 3, 0, 2, 0, 1.5)

    def instances(self):
        return (InstanceReport("n2", "nordur-a", "live", True, 4, "127.0.0.1:1"),)

    def limit(self, organisation):
        return None

    def find_object(self, kind, object_id):
        return None

    def start_drain(self):
        self.drains += 1

    def allow_cold_start(self):
        self.cold_starts += 1

    def render_metrics(self):
        return b"oriolepaddle_requests_total 0\n"


class FakeWriter:
    def answer_json(self, status, document, headers=()):
        self.status = status
        self.document = document

    def answer(self, status, body, content_type, headers=()):
        self.status = status
        self.body = body


@pytest.fixture
def administration():
    return FakeAdministration()


@pytest.fixture
def call(administration):
    application = OperatorApplication(administration, TOKEN)

    def call(method, path, data=None, token=TOKEN):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        builder = EnvironBuilder(path, method=method, data=data, headers=headers)
        writer = FakeWriter()
        application.handle(Request(builder.get_environ()), writer)
        return writer

    return call


class TestOperatorApplication:
    def test_health_needs_no_token(self, call):
        assert call("GET", "/health", token=None).status == 200

    def test_unready_instance_answers_503(self, call):
        assert call("GET", "/ready", token=None).status == 503

    def test_status_and_lists(self, call):
        assert call("GET", "/v1/status").document["highest_ticket"] == 7
        assert call("GET", "/v1/instances").document["instances"][0]["id"] == "n2"
        assert b"requests_total" in call("GET", "/metrics").body

    def test_valid_ticket_is_checked(self, call):
        objects = [{"kind": "key", "id": "k1", "value": None}]
        ticket = json.dumps({"number": 3, "objects": objects})
        assert call("POST", "/v1/tickets/check", ticket).document["number"] == 3

    def test_drain_begins(self, call, administration):
        assert call("POST", "/v1/drain").status == 202
        assert administration.drains == 1

    def test_cold_start_is_allowed_by_a_post_only(self, call, administration):
        assert call("POST", "/v1/limits/allow-cold-start").status == 202
        assert administration.cold_starts == 1

    @pytest.mark.parametrize(
        ("method", "path", "data", "token", "code"),
        [
            ("GET", "/v1/status", None, None, ErrorCode.PERMISSION_DENIED),
            ("GET", "/v1/status", None, "wrong", ErrorCode.PERMISSION_DENIED),
            ("POST", "/v1/drain", None, "wrong", ErrorCode.PERMISSION_DENIED),
            ("GET", "/v1/none", None, TOKEN, ErrorCode.ROUTE_UNKNOWN),
            ("GET", "/v1/drain", None, TOKEN, ErrorCode.MALFORMED_REQUEST),
            ("GET", "/v1/limits/none", None, TOKEN, ErrorCode.ROUTE_UNKNOWN),
            ("GET", "/v1/objects/key/none", None, TOKEN, ErrorCode.ROUTE_UNKNOWN),
            ("POST", "/v1/tickets/check", "{", TOKEN, ErrorCode.TICKET_INVALID),
            ("POST", "/v1/route/explain", "[]", TOKEN, ErrorCode.MALFORMED_REQUEST),
            ("POST", "/v1/route/explain", "{}", TOKEN, ErrorCode.MALFORMED_REQUEST),
        ],
    )
    def test_bad_call_has_typed_error(
        self, call, administration, method, path, data, token, code
    ):
        with pytest.raises(OriolepaddleError) as caught:
            call(method, path, data, token)
        assert caught.value.code is code
        assert administration.drains == 0
