from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.drain import Drain

REFUSE_AFTER = timedelta(seconds=2.5)
LIMIT = timedelta(seconds=7.5)


@pytest.fixture
def clock():
    return ManualClock()


def begin_drain(clock, has_neighbour, elapsed_s):
    drain = Drain(clock, REFUSE_AFTER, LIMIT, lambda: has_neighbour)
    drain.begin()
    clock.advance(timedelta(seconds=elapsed_s))
    return drain


class TestDrain:
    def test_takes_everything_before_the_signal(self, clock):
        drain = Drain(clock, REFUSE_AFTER, LIMIT, lambda: True)
        clock.advance(timedelta(seconds=60))
        assert not drain.is_refusing(60)
        assert not drain.has_timed_out()

    def test_takes_callers_that_do_not_know_yet(self, clock):
        assert not begin_drain(clock, True, 2.0).is_refusing(10)

    def test_sends_callers_to_a_ready_neighbour(self, clock):
        assert begin_drain(clock, True, 3.0).is_refusing(0.1)

    def test_alone_it_takes_what_ends_before_it_does(self, clock):
        """The load: restarts that overlap and leave a region without a neighbour."""
        drain = begin_drain(clock, False, 4.0)
        assert not drain.is_refusing(3.0)

    def test_alone_it_takes_nothing_that_would_be_cut(self, clock):
        """As in hunt-1909-35 of the bench: accepted late and cut at the end."""
        drain = begin_drain(clock, False, 4.0)
        assert drain.is_refusing(4.0)

    def test_ends_at_the_limit(self, clock):
        assert begin_drain(clock, True, 7.5).has_timed_out()
