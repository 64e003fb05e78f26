import attrs
import pytest

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointRefusedError,
)
from oriolepaddle.gateway import Authenticator
from oriolepaddle.gateway.relay import AnswerRelay
from oriolepaddle.gateway.tests.conftest import KEY, make_chat, make_request
from oriolepaddle.metrics import GatewayMetrics

EVENT = b'data: {"id": "a", "n": %d}\n\n'
DONE = b"data: [DONE]\n\n"
REQUEST_ID_HEADER = ("X-Request-Id", "request-1")
STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    REQUEST_ID_HEADER,
    ("X-Resume-Offset", "0"),
)


class FakeWriter:
    def __init__(self):
        self.status = None
        self.data = b""
        self.is_started = False
        self.is_finished = False

    @property
    def body_bytes(self):
        return len(self.data)

    def start(self, status, headers, length=None):
        self.is_started = True
        self.status = status

    def write(self, data):
        self.data += data

    def finish(self):
        self.is_finished = True

    def is_abandoned(self):
        return False


@pytest.fixture
def writer():
    return FakeWriter()


@pytest.fixture
def budget():
    return BufferBudget(1000)


@pytest.fixture
def make_relay(parser, config, writer, budget):
    def make_relay(**changes):
        headers = {"Authorization": f"Bearer {KEY}"}
        parsed = parser.parse(make_request(data=make_chat(), headers=headers))
        return AnswerRelay(
            ManualClock(),
            attrs.evolve(parsed, **changes),
            writer,
            Authenticator(config),
            GatewayMetrics(),
            lambda: None,
            budget,
        )

    return make_relay


class TestBufferedResponse:
    # Bodies without end must not exhaust the memory of the process.
    def test_without_room_ends_with_an_error_and_returns_the_memory(
        self, make_relay, writer, budget
    ):
        relay = make_relay()
        relay.on_head(200, (REQUEST_ID_HEADER,))
        with pytest.raises(AnswerTruncatedError):
            for _ in range(20):
                relay.on_data(b"x" * 100)
        assert not writer.is_started
        relay.discard()
        assert budget.used_bytes == 0

    def test_is_buffered_until_it_is_complete(self, make_relay, writer):
        relay = make_relay()
        relay.on_head(200, (REQUEST_ID_HEADER,))
        relay.on_data(b"half")
        assert not writer.is_started
        relay.on_data(b" and half")
        relay.complete()
        assert writer.data == b"half and half"

    @pytest.mark.parametrize(
        ("body", "tokens"),
        [
            (b'{"usage": {"completion_tokens": 3}}', 3),
            (b'{"choices": []}', 50),
            (b"no JSON", 50),
            (b"", 0),
        ],
    )
    def test_without_token_count_is_not_free(self, make_relay, body, tokens):
        relay = make_relay(output_tokens=50)
        relay.on_head(200, (REQUEST_ID_HEADER,))
        relay.on_data(body)
        assert relay.count_output_tokens() == tokens

    def test_of_another_request_is_rejected(self, make_relay, writer):
        with pytest.raises(AnswerMismatchedError):
            make_relay().on_head(200, (("X-Request-Id", "another"),))
        assert not writer.is_started

    def test_of_a_model_must_have_the_request_id(self, make_relay):
        with pytest.raises(AnswerMismatchedError):
            make_relay().on_head(200, ())

    def test_refusal_with_outcome_not_run_is_reported(self, make_relay):
        with pytest.raises(EndpointRefusedError):
            make_relay().on_head(
                503, (REQUEST_ID_HEADER, ("X-Request-Outcome", "not-run"))
            )

    def test_server_error_is_relayed_if_the_request_is_not_idempotent(self, make_relay):
        with pytest.raises(EndpointFailedError):
            make_relay().on_head(500, (REQUEST_ID_HEADER,))
        make_relay(is_idempotent=False).on_head(500, (REQUEST_ID_HEADER,))


class TestEventStream:
    def test_is_relayed_as_it_arrives(self, make_relay, writer):
        relay = make_relay()
        relay.on_head(200, STREAM_HEADERS)
        relay.on_data(EVENT % 0)
        assert writer.data == EVENT % 0
        relay.on_data(DONE)
        relay.complete()
        assert writer.is_finished

    def test_without_end_marker_is_truncated(self, make_relay, writer):
        relay = make_relay()
        relay.on_head(200, STREAM_HEADERS)
        relay.on_data(EVENT % 0)
        with pytest.raises(AnswerTruncatedError):
            relay.complete()
        assert not writer.is_finished

    @pytest.mark.parametrize("cut", range(1, len(EVENT % 0 + EVENT % 1 + DONE)))
    def test_break_at_any_byte_is_resumed_without_gap(self, make_relay, writer, cut):
        whole = EVENT % 0 + EVENT % 1 + DONE
        relay = make_relay()
        relay.on_head(200, STREAM_HEADERS)
        relay.on_data(whole[:cut])
        offset = relay.resume_offset
        events = [EVENT % 0, EVENT % 1, DONE][offset:]
        head = (*STREAM_HEADERS[:2], ("X-Resume-Offset", str(offset)))
        relay.begin(lambda: None)
        relay.on_head(200, head)
        relay.on_data(b"".join(events))
        relay.complete()
        assert writer.data == whole

    def test_event_of_another_response_is_rejected(self, make_relay):
        relay = make_relay()
        relay.on_head(200, STREAM_HEADERS)
        relay.on_data(EVENT % 0)
        with pytest.raises(AnswerMismatchedError):
            relay.on_data(b'data: {"id": "b", "n": 1}\n\n')

    def test_resumption_that_skips_events_is_rejected(self, make_relay):
        relay = make_relay()
        relay.on_head(200, STREAM_HEADERS)
        with pytest.raises(AnswerTruncatedError):
            relay.on_head(200, (*STREAM_HEADERS[:2], ("X-Resume-Offset", "5")))
