from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.drain import Drain

REFUSE_AFTER = timedelta(seconds=2.5)
LIMIT = timedelta(seconds=7.5)


@pytest.fixture
def clock():
    return ManualClock()


def begin_drain(clock, has_ready_peer, elapsed_s):
    drain = Drain(clock, REFUSE_AFTER, LIMIT, lambda: has_ready_peer)
    drain.begin()
    clock.advance(timedelta(seconds=elapsed_s))
    return drain


class TestDrain:
    def test_accepts_every_request_before_the_stop_signal(self, clock):
        drain = Drain(clock, REFUSE_AFTER, LIMIT, lambda: True)
        clock.advance(timedelta(seconds=60))
        assert not drain.is_refusing(60)
        assert not drain.has_timed_out()

    def test_accepts_requests_until_callers_know_of_other_instances(self, clock):
        assert not begin_drain(clock, True, 2.0).is_refusing(10)

    def test_refuses_requests_when_a_peer_is_ready(self, clock):
        assert begin_drain(clock, True, 3.0).is_refusing(0.1)

    def test_without_peer_accepts_requests_that_end_before_it_stops(self, clock):
        """Guards against refusals when restarts overlap and no peer is ready."""
        drain = begin_drain(clock, False, 4.0)
        assert not drain.is_refusing(3.0)

    def test_without_peer_refuses_requests_that_would_be_truncated(self, clock):
        """Guards against a request that is accepted late and cut off at the exit, as
        seen in run hunt-1909-35 of the benchmark."""
        drain = begin_drain(clock, False, 4.0)
        assert drain.is_refusing(4.0)

    def test_times_out_at_the_limit(self, clock):
        assert begin_drain(clock, True, 7.5).has_timed_out()

    def test_accepts_forwarded_requests_that_end_before_it_stops(self, clock):
        drain = begin_drain(clock, True, 4.0)
        assert not drain.is_refusing(3.0, is_forwarded=True)
        assert drain.is_refusing(4.0, is_forwarded=True)

    def test_answers_what_is_in_flight_just_before_it_stops(self, clock):
        assert not begin_drain(clock, True, 7.0).is_ending()
        assert begin_drain(clock, True, 7.2).is_ending()
        assert not Drain(clock, REFUSE_AFTER, LIMIT, lambda: True).is_ending()
