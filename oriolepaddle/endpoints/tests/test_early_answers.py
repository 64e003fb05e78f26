import pytest

from oriolepaddle.endpoints.tests.raw_endpoint import Ending, run_attempt
from oriolepaddle.errors import (
    AnswerTruncatedError,
    EndpointFailedError,
    OriolepaddleError,
    Outcome,
)

UPLOAD = b"x" * 3_000_000
UNFRAMED = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\nabc",
    "connection close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\nabc",
    "no body": b"HTTP/1.1 200 OK\r\n\r\n",
    "failure": b"HTTP/1.1 404 Not Found\r\n\r\nabc",
}
FRAMED = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
}
BREAKS = [ending for ending in Ending if ending is not Ending.READ_ALL]


def run(answer, ending, body=UPLOAD):
    return run_attempt(answer, ending, body=body, is_idempotent=False)


class TestUnframedAnswer:
    """The failure: a part of an answer to a long upload was taken as complete."""

    @pytest.mark.parametrize("ending", BREAKS)
    @pytest.mark.parametrize("name", UNFRAMED)
    def test_that_ends_during_the_upload_is_truncated(self, name, ending):
        # A reset may be seen by the upload first, which then fails.
        errors = (AnswerTruncatedError, EndpointFailedError)
        if ending is Ending.END_THEN_RESET:
            errors = AnswerTruncatedError
        with pytest.raises(errors) as caught:
            run(UNFRAMED[name], ending)
        assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("body", [b"", b"x", UPLOAD])
    @pytest.mark.parametrize("name", UNFRAMED)
    def test_after_the_whole_request_is_complete(self, name, body):
        sink = run(UNFRAMED[name], Ending.READ_ALL, body)
        assert sink.data == UNFRAMED[name].partition(b"\r\n\r\n")[2]
        assert sink.status in (200, 404)


class TestFramedAnswer:
    """The failure: an answer with its own end depended on that of the upload."""

    @pytest.mark.parametrize("ending", BREAKS)
    @pytest.mark.parametrize("name", FRAMED)
    def test_that_breaks_the_upload_is_uncertain(self, name, ending):
        with pytest.raises(OriolepaddleError) as caught:
            run(FRAMED[name], ending)
        assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("name", FRAMED)
    def test_after_the_whole_request_is_complete(self, name):
        assert run(FRAMED[name], Ending.READ_ALL).data == b"abc"
