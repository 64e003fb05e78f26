import io
import json
import threading
import time

import pytest
from loguru import logger

from oriolepaddle.clock import ManualClock
from oriolepaddle.logs import BoundedLogWriter, log_event
from oriolepaddle.logs.writer import MAX_QUEUED_LINES


class BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


@pytest.fixture
def add_sink():
    sinks = []

    def add_sink(writer):
        sinks.append(logger.add(writer, format="{message}"))

    yield add_sink
    for sink in sinks:
        logger.remove(sink)


class TestBoundedLogWriter:
    def test_writes_one_json_object_per_line(self, add_sink):
        stream = io.StringIO()
        writer = BoundedLogWriter(stream, ManualClock(), 100)
        add_sink(writer)
        log_event("request_answered", request_id="9c41", tries=1)
        writer.close()
        line = json.loads(stream.getvalue())
        assert (line["event"], line["request_id"]) == ("request_answered", "9c41")

    def test_blocked_stream_does_not_block_logging(self, add_sink):
        stream = BlockedStream()
        writer = BoundedLogWriter(stream, ManualClock(), 10**6)
        add_sink(writer)
        started_s = time.monotonic()
        for number in range(MAX_QUEUED_LINES + 1000):
            log_event("request_answered", number=number)
        assert time.monotonic() - started_s < 10
        assert writer.dropped > 0
        stream.released.set()
        writer.close()

    def test_reports_the_number_of_dropped_lines(self, add_sink):
        stream = io.StringIO()
        writer = BoundedLogWriter(stream, ManualClock(), 10)
        add_sink(writer)
        for number in range(25):
            log_event("request_answered", number=number)
        writer.close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        assert len(lines) == 11
        assert lines[-1] == {"event": "log_lines_dropped", "lines": 15}
        assert writer.dropped == 15
