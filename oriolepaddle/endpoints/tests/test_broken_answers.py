import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.tests.broken_answers import (
    BROKEN_CHUNKS,
    BROKEN_LENGTHS,
    BROKEN_LINES,
    BROKEN_NAMES,
    OK,
    SOUND,
)
from oriolepaddle.endpoints.tests.raw_endpoint import Ending, RawEndpoint, run_attempt
from oriolepaddle.endpoints.tests.test_transport import CollectingSink, make_request
from oriolepaddle.errors import (
    AnswerMalformedError,
    AnswerTruncatedError,
    Outcome,
)

BROKEN_HEADS = BROKEN_LENGTHS | BROKEN_LINES | BROKEN_NAMES
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


def check_malformed(answer, method="GET"):
    with pytest.raises(AnswerMalformedError) as caught:
        run_attempt(answer, Ending.READ_ALL, method=method)
    assert caught.value.outcome is Outcome.UNKNOWN


class TestBrokenHead:
    """The failure: a head that is not HTTP came with an answer taken as complete."""

    @pytest.mark.parametrize("name", BROKEN_HEADS)
    def test_fails_the_attempt(self, name):
        check_malformed(BROKEN_HEADS[name])

    @pytest.mark.parametrize("name", BROKEN_HEADS)
    def test_without_a_body_fails_the_attempt(self, name):
        check_malformed(BROKEN_HEADS[name], method="HEAD")


class TestConnection:
    """The failure: a connection was used again after an answer that is not HTTP."""

    @pytest.mark.parametrize("name", ["blank", "letter after the size"])
    def test_of_a_broken_answer_is_closed(self, name):
        endpoint = RawEndpoint((BROKEN_NAMES | BROKEN_CHUNKS)[name], Ending.READ_ALL)
        clock = SystemClock()
        transport = EndpointTransport(clock)
        with pytest.raises(AnswerMalformedError):
            transport.run(endpoint.address, make_request(clock), CollectingSink())
        assert transport.idle_count == 0
        transport.close()
        endpoint.close()


class TestBrokenChunks:
    """The failure: chunks whose framing is not HTTP were taken as a body."""

    @pytest.mark.parametrize("name", BROKEN_CHUNKS)
    def test_fail_the_attempt(self, name):
        check_malformed(BROKEN_CHUNKS[name])

    def test_that_end_without_a_last_chunk_are_truncated(self):
        with pytest.raises(AnswerTruncatedError):
            run_attempt(CHUNKED + b"3\r\nabc\r\n", Ending.READ_ALL)


class TestSoundAnswer:
    """The failure: a sound answer of a rare form is rejected."""

    @pytest.mark.parametrize("name", SOUND)
    def test_is_delivered(self, name):
        sink = run_attempt(SOUND[name], Ending.READ_ALL)
        assert sink.status == 200
        expected = b"abcdefghij" if name == "sizes in capitals" else b"abc"
        assert sink.data == expected

    def test_without_a_body_needs_no_chunks(self):
        assert run_attempt(CHUNKED, Ending.READ_ALL, method="HEAD").data == b""
        no_content = CHUNKED.replace(b"200 OK", b"304 Not Modified")
        assert run_attempt(no_content, Ending.READ_ALL).status == 304
