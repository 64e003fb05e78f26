import pytest

from oriolepaddle.buffers import BufferBudget
from oriolepaddle.edge.answer import AnswerKind, EndpointAnswer
from oriolepaddle.edge.event_splitter import EventSplitter
from oriolepaddle.edge.sink import MAX_BODY_BYTES, EdgeSink
from oriolepaddle.errors import AnswerTruncatedError

PIECE = b"x" * 10_000


class Writer:
    def __init__(self):
        self.client = "127.0.0.1"
        self.is_started = False
        self.is_finished = False
        self.length = None
        self.data = bytearray()

    def start(self, status, headers, length=None):
        self.is_started = True
        self.length = length

    def write(self, data):
        self.data += data

    def finish(self):
        self.is_finished = True

    def is_abandoned(self):
        return False


class Attempt:
    """A sink of its own over a budget that others share."""

    def __init__(self, budget, may_relay=False, length=None, is_stream=False):
        answer = EndpointAnswer(
            AnswerKind.RAN, 200, (), is_stream=is_stream, length=length
        )
        self.writer = Writer()
        self.sink = EdgeSink(
            self.writer,
            EventSplitter(),
            lambda status, headers: answer,
            lambda: None,
            lambda: None,
            budget,
            lambda answer: may_relay,
        )
        self.sink.on_head(200, ())

    def feed(self, pieces, piece=PIECE):
        for _ in range(pieces):
            self.sink.on_data(piece)


@pytest.fixture
def budget():
    return BufferBudget(100_000)


class TestBodiesWithoutEnd:
    # Endless bodies of one endpoint must not exhaust the memory of the process.
    def test_sum_of_all_is_bounded(self, budget):
        attempts = [Attempt(budget) for _ in range(64)]
        failed = 0
        for attempt in attempts:
            try:
                attempt.feed(1000)
            except AnswerTruncatedError:
                failed += 1
        assert failed == len(attempts)
        assert budget.used_bytes <= budget.max_bytes

    def test_ends_at_the_largest_body_though_it_is_relayed(self, budget):
        attempt = Attempt(budget, may_relay=True)
        with pytest.raises(AnswerTruncatedError):
            attempt.feed(MAX_BODY_BYTES // len(PIECE) + 1)
        assert len(attempt.writer.data) <= MAX_BODY_BYTES
        assert not attempt.writer.is_finished

    def test_incomplete_events_count(self, budget):
        attempts = [Attempt(budget, is_stream=True) for _ in range(8)]
        with pytest.raises(AnswerTruncatedError):
            for _ in range(20):
                for attempt in attempts:
                    attempt.feed(1)
        assert budget.used_bytes <= budget.max_bytes
        for attempt in attempts:
            attempt.sink.discard()
        assert budget.used_bytes == 0


class TestLargeBody:
    def test_is_relayed_whole_once_there_is_no_memory(self, budget):
        attempt = Attempt(budget, may_relay=True, length=300_000)
        attempt.feed(30)
        attempt.sink.complete()
        assert attempt.writer.length == 300_000
        assert bytes(attempt.writer.data) == PIECE * 30
        assert attempt.writer.is_finished
        assert budget.used_bytes == 0

    def test_that_must_not_be_relayed_early_ends_with_an_error(self, budget):
        attempt = Attempt(budget)
        with pytest.raises(AnswerTruncatedError):
            attempt.feed(30)
        assert not attempt.writer.is_started

    def test_is_buffered_while_there_is_memory(self, budget):
        attempt = Attempt(budget, may_relay=True, length=40_000)
        attempt.feed(4)
        assert not attempt.writer.is_started
        attempt.sink.complete()
        assert attempt.writer.length == 40_000
        assert budget.used_bytes == 0


class TestDiscard:
    def test_returns_the_memory_of_an_attempt_that_failed(self, budget):
        attempt = Attempt(budget)
        attempt.feed(3)
        assert budget.used_bytes == 30_000
        attempt.sink.discard()
        attempt.sink.discard()
        assert budget.used_bytes == 0
