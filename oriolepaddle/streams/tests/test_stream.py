import itertools
import json

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.errors import (
    AnswerMismatchedError,
    AnswerTruncatedError,
    EndpointFailedError,
    EndpointUnreachableError,
)
from oriolepaddle.streams import ResumableStream, StreamHead, StreamLimits

REQUEST = "r1"
DONE = b"data: [DONE]\n\n"
EVENTS = [b'data: {"id":"c1","text":"%d"}\n\n' % number for number in range(6)] + [DONE]
# What a caller may have received: the stream up to the end of each event.
PREFIXES = [b""] + list(itertools.accumulate([b": welcome\r\n\r\n", *EVENTS]))
SSE = PREFIXES[-1]
RAW = bytes(range(64))


@attrs.define
class Connection:
    """A connection with given headers and data, which may end in an error."""

    head: StreamHead
    data: bytes
    ends_in_error: bool = False
    chunk_bytes: int = 7
    is_closed: bool = False

    def chunks(self):
        for start in range(0, len(self.data), self.chunk_bytes):
            yield self.data[start : start + self.chunk_bytes]
        if self.ends_in_error:
            raise EndpointFailedError("broke")

    def close(self):
        self.is_closed = True


class ScriptedSource:
    """A source that opens scripted connections, or raises scripted errors."""

    def __init__(self, *connections):
        self.connections = list(connections)
        self.positions = []

    def open(self, position):
        self.positions.append(position)
        if not self.connections:
            raise EndpointUnreachableError("down")
        connection = self.connections.pop(0)
        if isinstance(connection, Exception):
            raise connection
        return connection


class Engine:
    """A source whose connections break, and which may repeat events or bytes.

    Args:
        complete_body: The complete body.
        head: The status and headers of the response.
        break_offsets: The number of bytes after which each connection breaks.
        overlap: By how many events or bytes each connection starts before the requested
            position.
        chunk_bytes: The size of the chunks.
    """

    def __init__(self, complete_body, head, break_offsets, overlap=0, chunk_bytes=7):
        self.complete_body, self.head, self.break_offsets = (
            complete_body,
            head,
            list(break_offsets),
        )
        self.overlap, self.chunk_bytes = overlap, chunk_bytes

    def open(self, position):
        offset = max(0, position.offset - self.overlap)
        rest = self.complete_body[offset:]
        if self.head.is_event_stream:
            rest = SSE if not offset else b"".join(EVENTS[offset:])
        break_offset = self.break_offsets.pop(0) if self.break_offsets else len(rest)
        head = attrs.evolve(self.head, offset=offset)
        is_broken = break_offset < len(rest)
        return Connection(head, rest[:break_offset], is_broken, self.chunk_bytes)


EVENT_HEAD = StreamHead(request_id=REQUEST, is_event_stream=True, can_resume=True)
RAW_HEAD = StreamHead(request_id=REQUEST, content_length=len(RAW), can_resume=True)


def read(source, **limits):
    stream = ResumableStream(REQUEST, source, StreamLimits(**limits))
    stream.open()
    return stream, b"".join(stream.chunks())


def split_error_event(data):
    """Return the complete events, and the error of the final error event or None."""
    body, mark, error = data.partition(b"event: error\ndata: ")
    return body, json.loads(error)["error"] if mark else None


def without_comments(data):
    # An engine repeats the comment if it resumes at offset 0.
    return data.replace(b": welcome\r\n\r\n", b"")


class TestResumption:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.sampled_from([(SSE, EVENT_HEAD), (RAW, RAW_HEAD)]),
        st.lists(st.integers(0, len(SSE)), max_size=3),
        st.integers(0, 5),
        st.integers(1, 80),
    )
    def test_resumes_without_loss_or_duplicates(self, answer, cuts, back, chunk_bytes):
        whole, head = answer
        stream, data = read(Engine(whole, head, cuts, back, chunk_bytes))
        assert stream.is_complete
        assert without_comments(data) == without_comments(whole)

    @pytest.mark.parametrize("cut", range(len(SSE)))
    def test_event_stream_cut_at_every_byte_is_marked(self, cut):
        head = attrs.evolve(EVENT_HEAD, can_resume=False)
        stream, data = read(Engine(SSE, head, [cut]))
        body, error = split_error_event(data)
        assert not stream.is_complete
        assert body == max((each for each in PREFIXES if len(each) <= cut), key=len)
        assert error["code"] == "answer_truncated"
        assert error["request_id"] == REQUEST
        assert error["events"] == body.count(b"data: ")

    @pytest.mark.parametrize("cut", range(len(RAW)))
    def test_body_cut_at_every_byte_raises_an_error(self, cut):
        head = attrs.evolve(RAW_HEAD, can_resume=False)
        stream = ResumableStream(REQUEST, Engine(RAW, head, [cut]))
        stream.open()
        sent = []
        with pytest.raises(AnswerTruncatedError):
            sent.extend(stream.chunks())
        assert not stream.is_complete

    def test_resumptions_are_bounded(self):
        stream, data = read(Engine(SSE, EVENT_HEAD, [40] * 9), max_resumes=2)
        assert split_error_event(data)[1]["code"] == "answer_truncated"
        assert stream.resumes == 2

    def test_position_has_the_last_event_id(self):
        first = Connection(EVENT_HEAD, b"id: 4\ndata: x\n\ndata: y\n\ndata: z", True)
        rest = Connection(attrs.evolve(EVENT_HEAD, offset=2), b"data: z\n\n" + DONE)
        source = ScriptedSource(first, EndpointUnreachableError("down"), rest)
        stream, data = read(source)
        assert stream.is_complete
        assert [each.offset for each in source.positions] == [0, 2, 2]
        assert source.positions[-1].last_event_id == "4"
        assert data.endswith(b"data: y\n\ndata: z\n\n" + DONE)

    def test_no_resumption_if_the_caller_may_not_be_served(self):
        engine = Engine(SSE, EVENT_HEAD, [40])
        stream = ResumableStream(REQUEST, engine, may_resume=lambda: False)
        stream.open()
        assert b"answer_truncated" in b"".join(stream.chunks())

    def test_gap_is_reported_as_truncation(self):
        first = Connection(EVENT_HEAD, EVENTS[0], True)
        gap = Connection(attrs.evolve(EVENT_HEAD, offset=2), EVENTS[2] + DONE)
        _, data = read(ScriptedSource(first, gap))
        error = split_error_event(data)[1]
        assert error["events"] == 1
        assert "resumes at 2, not 1" in error["message"]


class TestCompleteness:
    @pytest.mark.parametrize(
        ("head", "data", "is_complete"),
        [
            (StreamHead(request_id=REQUEST, content_length=2), b"ab", True),
            (StreamHead(request_id=REQUEST, content_length=3), b"ab", False),
            (StreamHead(request_id=REQUEST, content_length=0), b"", True),
            (StreamHead(request_id=REQUEST, has_end_marker=True), b"ab", True),
            (StreamHead(request_id=REQUEST), b"ab", False),
            (EVENT_HEAD, EVENTS[0], False),
            (EVENT_HEAD, EVENTS[0] + DONE, True),
            (EVENT_HEAD, EVENTS[0] + DONE + EVENTS[1], True),
            (EVENT_HEAD, EVENTS[0] + b"data: [DONE]", True),
            (EVENT_HEAD, EVENTS[0] + b'data: {"id":"c1"', False),
        ],
    )
    def test_depends_on_how_the_body_ends(self, head, data, is_complete):
        head = attrs.evolve(head, can_resume=False)
        stream = ResumableStream(REQUEST, ScriptedSource(Connection(head, data)))
        stream.open()
        try:
            sent = b"".join(stream.chunks())
        except AnswerTruncatedError:
            sent = b""
        assert stream.is_complete is is_complete
        assert (b"event: error" in sent) is (head.is_event_stream and not is_complete)

    def test_events_after_the_end_are_dropped(self):
        data = EVENTS[0] + DONE + EVENTS[1]
        connection = Connection(EVENT_HEAD, data, chunk_bytes=10_000)
        assert read(ScriptedSource(connection))[1] == EVENTS[0] + DONE

    def test_surplus_bytes_are_dropped(self):
        head = StreamHead(request_id=REQUEST, content_length=2)
        assert read(ScriptedSource(Connection(head, b"abcd")))[1] == b"ab"

    def test_closing_the_iterator_cancels_the_response(self):
        connection = Connection(EVENT_HEAD, SSE)
        stream = ResumableStream(REQUEST, ScriptedSource(connection))
        stream.open()
        chunks = stream.chunks()
        next(chunks)
        chunks.close()
        assert connection.is_closed


class TestMatching:
    @pytest.mark.parametrize("request_id", ["r2", None])
    def test_response_to_another_request_is_rejected(self, request_id):
        head = attrs.evolve(EVENT_HEAD, request_id=request_id)
        connection = Connection(head, SSE)
        with pytest.raises(AnswerMismatchedError):
            ResumableStream(REQUEST, ScriptedSource(connection)).open()
        assert connection.is_closed

    @pytest.mark.parametrize("chunk_bytes", [1, 10_000])
    @pytest.mark.parametrize("form", ['{"id": "c2"}', '{"text": 1, "id": "c2"}'])
    def test_event_of_another_response_is_not_sent(self, chunk_bytes, form):
        foreign_event = f"data: {form}\n\n".encode()
        data = EVENTS[0] + EVENTS[1] + foreign_event + EVENTS[2] + DONE
        connection = Connection(EVENT_HEAD, data, chunk_bytes=chunk_bytes)
        stream, sent = read(ScriptedSource(connection))
        body, error = split_error_event(sent)
        assert body == EVENTS[0] + EVENTS[1]
        assert (error["code"], error["events"]) == ("answer_mismatched", 2)

    @pytest.mark.parametrize(
        "rest",
        [
            Connection(attrs.evolve(EVENT_HEAD, request_id="r2"), DONE),
            Connection(attrs.evolve(RAW_HEAD), DONE),
            Connection(attrs.evolve(EVENT_HEAD, content_length=5), DONE),
            Connection(attrs.evolve(EVENT_HEAD, offset=1), b'data: {"id":"c2"}\n\n'),
        ],
    )
    def test_rest_of_another_response_is_not_sent(self, rest):
        first = Connection(EVENT_HEAD, EVENTS[0], True)
        body, error = split_error_event(read(ScriptedSource(first, rest))[1])
        assert body == EVENTS[0]
        assert error["code"] == "answer_mismatched"
