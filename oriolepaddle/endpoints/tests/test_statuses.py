import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.endpoints.exchange import _parse_status
from oriolepaddle.endpoints.tests.raw_endpoint import Ending, run_attempt
from oriolepaddle.errors import OriolepaddleError, Outcome

INVALID = ["000", "099", "600", "999", "2000", "20", "200x", "-20", "+200", "", "101"]
VALID = ["200", "204", "299", "404", "500", "599"]


SWITCHING = (
    b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nabc"
)


def run(status):
    head = f"HTTP/1.1 {status} Name\r\nContent-Length: 0\r\n\r\n"
    return run_attempt(head.encode(), Ending.READ_ALL)


class TestStatus:
    """The failure: a status that is none of HTTP reached callers."""

    @pytest.mark.parametrize("status", INVALID)
    def test_that_is_none_fails_the_attempt(self, status):
        with pytest.raises(OriolepaddleError) as caught:
            run(status)
        assert caught.value.outcome is Outcome.UNKNOWN

    def test_of_another_protocol_fails_the_attempt(self):
        with pytest.raises(OriolepaddleError) as caught:
            run_attempt(SWITCHING, Ending.READ_ALL)
        assert caught.value.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("status", VALID)
    def test_of_a_final_answer_is_delivered(self, status):
        assert run(status).status == int(status)

    @given(st.text(max_size=6))
    @settings(max_examples=200)
    def test_is_read_from_three_digits_only(self, text):
        status = _parse_status(f"HTTP/1.1 {text}")
        words = text.split()
        assert status == 0 or words[0] == f"{status:03}"
