from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.web.pace import ReadingPace


def make_pace():
    clock = ManualClock()
    return clock, ReadingPace(clock, timedelta(seconds=10))


class TestReadingPace:
    # Guards against clients that read a byte now and then and keep a response for ever.
    def test_client_below_the_minimum_rate_runs_out_of_time(self):
        clock, pace = make_pace()
        for _ in range(6):
            pace.begin_wait(1000)
            clock.advance(timedelta(seconds=2))
            pace.end_wait()
            pace.record_accepted(100)
        pace.begin_wait(1000)
        assert pace.remaining_s() < 0

    def test_client_at_the_minimum_rate_has_time_left(self):
        clock, pace = make_pace()
        for _ in range(20):
            pace.begin_wait(4096)
            clock.advance(timedelta(seconds=4))
            pace.end_wait()
            pace.record_accepted(4096)
        pace.begin_wait(4096)
        assert pace.remaining_s() == pytest.approx(10)

    def test_bytes_that_leave_the_queue_are_progress(self):
        clock, pace = make_pace()
        pace.begin_wait(1000)
        clock.advance(timedelta(seconds=3))
        pace.record_queue(1000)
        since_s = pace.stalled_since_s
        pace.record_queue(999)
        assert pace.stalled_since_s == since_s + 3
        pace.end_wait()
        assert pace.stalled_since_s is None
