"""Broken answers to the short calls: health checks, the platform and operators."""

import pycurl
import pytest

from oriolepaddle.answers import perform_call
from oriolepaddle.buffers import ShortBody
from oriolepaddle.ctl.client import OperatorClient
from oriolepaddle.ctl.failure import CallFailedError
from oriolepaddle.endpoints.health import CacheReading, HealthChecker
from oriolepaddle.endpoints.tests.broken_answers import (
    BROKEN_CHUNKS,
    BROKEN_LENGTHS,
    BROKEN_LINES,
    BROKEN_NAMES,
    SOUND,
)
from oriolepaddle.endpoints.tests.raw_endpoint import Ending, RawEndpoint
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    PlatformUnavailableError,
)
from oriolepaddle.publication.client import PlatformClient

BROKEN = BROKEN_LENGTHS | BROKEN_LINES | BROKEN_NAMES | BROKEN_CHUNKS
LOAD = b'{"incarnation": "i1"}'
SPOILT = ["length", "name", "chunks"]
DOCUMENT = b'{"answer": 1}'


@pytest.fixture
def answering():
    """Return the address of a new endpoint that answers with given bytes."""
    endpoints = []

    def start(answer):
        endpoint = RawEndpoint(answer, Ending.READ_ALL)
        endpoints.append(endpoint)
        return endpoint.address

    yield start
    for endpoint in endpoints:
        endpoint.close()


def call(address, body=None):
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{address}/")
    curl.setopt(pycurl.PROXY, "")
    try:
        return perform_call(curl, body or ShortBody())
    finally:
        curl.close()


def spoil(body):
    """Return answers with a body, in each of which one of `SPOILT` is not HTTP."""
    chunks = b"%xx\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return [
        b"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n" + body,
        b"HTTP/1.1 200 OK\r\nX Note: a\r\n\r\n" + body,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
    ]


class TestCall:
    """The failure: an answer that is not HTTP was taken as complete."""

    @pytest.mark.parametrize("name", BROKEN)
    def test_rejects_broken_answers(self, answering, name):
        with pytest.raises(AnswerMalformedError):
            call(answering(BROKEN[name]))

    @pytest.mark.parametrize("name", SOUND)
    def test_takes_sound_answers(self, answering, name):
        answer = call(answering(SOUND[name]))
        assert answer.status == 200
        assert answer.body.startswith(b"abc")

    def test_returns_the_fields_of_the_last_head(self, answering):
        answer = call(answering(SOUND["interim answers"]))
        assert answer.fields == (("Content-Length", "3"),)

    def test_rejects_a_head_without_its_end(self, answering):
        with pytest.raises(AnswerTruncatedError):
            call(answering(b"HTTP/1.1 200 OK\r\nA: b\r\n"))

    def test_ends_at_a_body_that_is_too_long(self, answering):
        body = ShortBody(2)
        with pytest.raises(pycurl.error):
            call(answering(SOUND["chunks"]), body)
        assert body.is_too_long


class TestHealthCheck:
    """The failure: an endpoint was up, with a load from an answer that is not HTTP."""

    @pytest.mark.parametrize("answer", spoil(LOAD), ids=SPOILT)
    def test_with_a_broken_answer_fails(self, answering, answer):
        checker, address = HealthChecker(), answering(answer)
        result = checker.check(address)
        assert not result.is_up
        # The endpoint hasn't ended.
        assert not result.is_refused
        assert checker.last_incarnation(address) is None

    @pytest.mark.parametrize(
        "answer", spoil(b'{"epoch": 1, "batches": []}'), ids=SPOILT
    )
    def test_reads_no_cache_events_of_a_broken_answer(self, answering, answer):
        reading = HealthChecker().read_cache_events("e1", answering(answer), 0)
        assert reading == CacheReading()


class TestPlatformClient:
    """The failure: an instance adopted what an answer that is not HTTP held."""

    @pytest.mark.parametrize("answer", spoil(DOCUMENT), ids=SPOILT)
    def test_rejects_broken_answers(self, answering, answer):
        client = PlatformClient(answering(answer))
        for _ in range(2):
            with pytest.raises(PlatformUnavailableError):
                client.get("/document")

    def test_returns_fields_by_lower_case_name(self, answering):
        answer = b"HTTP/1.1 200 OK\r\nX-Version: 7\r\n\r\n" + DOCUMENT
        response = PlatformClient(answering(answer)).call("/document", {})
        assert response.headers == {"x-version": "7"}
        assert response.body == DOCUMENT


class TestOperatorClient:
    """The failure: an operator read a result from an answer that is not HTTP."""

    @pytest.mark.parametrize("answer", spoil(DOCUMENT), ids=SPOILT)
    def test_rejects_broken_answers(self, answering, answer):
        with pytest.raises(CallFailedError, match="may have run"):
            OperatorClient(answering(answer), "a token").call("GET", "/v1/status")
