import random
from datetime import timedelta

import pytest

from oriolepaddle.admission import EdgeQueue, QueuedRequest
from oriolepaddle.admission.edge_queue import (
    FIRST_LIMIT,
    FORECAST_FRACTION,
    LAST_LIMIT,
    MARGIN_S,
    MAX_SPREAD,
    MIN_RETRY_AFTER_S,
)
from oriolepaddle.admission.service_queue import MAX_LENGTH
from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import ErrorCode, RefusedError

ENGINES = "engines"
SHORT_S, LONG_S = 0.8, 2.0
SPARE_S = LONG_S - LAST_LIMIT * SHORT_S - MARGIN_S


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def queue(clock):
    queue = EdgeQueue(clock, random.Random(1).random)
    find_limit_s(queue, SHORT_S)
    return queue


def find_limit_s(queue, target_s=LONG_S):
    return queue.find_limits(ENGINES, target_s).first_s


def enter(queue, organisation="a", on_time_s=LONG_S, cost_tokens=1.0):
    return queue.enter(
        QueuedRequest(ENGINES, organisation, 1.0, cost_tokens, LONG_S, on_time_s, 0.0)
    )


def advance(clock, seconds):
    clock.advance(timedelta(seconds=seconds))


class TestLimits:
    def test_only_requests_due_later_than_others_have_one(self, queue):
        assert find_limit_s(queue, SHORT_S) == float("inf")
        assert find_limit_s(queue) == pytest.approx(FIRST_LIMIT * SHORT_S)

    def test_one_kind_alone_has_none(self, clock):
        """A deployment with one target must be served as without a queue."""
        queue = EdgeQueue(clock, random.Random(1).random)
        assert find_limit_s(queue) == float("inf")

    def test_there_are_none_once_the_others_are_gone(self, queue, clock):
        advance(clock, 30.0)
        assert find_limit_s(queue) == float("inf")

    def test_many_do_not_wait_for_a_few(self, queue):
        """A rare request with a short target must not hold up all others."""
        limits_s = [find_limit_s(queue) for _ in range(20)]
        assert limits_s[0] < float("inf")
        assert limits_s[-1] == float("inf")


class TestEntering:
    def test_request_without_time_to_wait_does_not_enter(self, queue):
        """It would be refused without a wait, although placement may serve it."""
        assert enter(queue, on_time_s=LONG_S - SPARE_S - 0.01) is None
        assert not queue.is_waiting(ENGINES)

    def test_takes_the_next_position(self, queue):
        assert [enter(queue).position for _ in range(2)] == [0, 1]
        assert queue.is_waiting(ENGINES)


class TestOrder:
    def test_earliest_latest_start_goes_first(self, queue):
        later, sooner = enter(queue), enter(queue, on_time_s=1.5)
        assert queue.find_limit_s(later) == 0.0
        assert queue.find_limit_s(sooner) > 0.0

    def test_organisation_that_had_least_goes_first_among_equals(self, queue):
        """One organisation's burst must not take all that becomes free."""
        burst = [enter(queue, "large") for _ in range(3)]
        other = enter(queue, "small")
        queue.start(burst[0])
        assert queue.find_limit_s(burst[1]) == 0.0
        assert queue.find_limit_s(other) > 0.0

    def test_limit_grows_until_the_latest_start(self, queue, clock):
        entry = enter(queue)
        first_s = queue.find_limit_s(entry)
        advance(clock, 0.99 * SPARE_S)
        assert first_s == pytest.approx(FIRST_LIMIT * SHORT_S)
        assert queue.find_limit_s(entry) == pytest.approx(LAST_LIMIT * SHORT_S, 0.02)


class TestRefusal:
    def test_at_the_latest_start(self, queue, clock):
        """A request that is kept longer is late wherever it is sent."""
        entry = enter(queue)
        advance(clock, SPARE_S)
        with pytest.raises(RefusedError) as caught:
            queue.find_limit_s(entry)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert queue.count_waiting() == 0

    def test_on_arrival_if_others_wait_too_long(self, queue, clock):
        enter(queue)
        advance(clock, 0.9 * FORECAST_FRACTION * SPARE_S)
        enter(queue)
        advance(clock, 0.2 * FORECAST_FRACTION * SPARE_S)
        with pytest.raises(RefusedError):
            enter(queue)

    def test_forecast_shrinks_when_the_queue_does(self, queue, clock):
        """A past overload must not refuse requests for longer than it lasted."""
        entry = enter(queue)
        advance(clock, 0.99 * SPARE_S)
        queue.start(entry)
        with pytest.raises(RefusedError):
            enter(queue)
        advance(clock, SPARE_S)
        assert enter(queue).forecast_s == 0.0

    def test_lets_only_one_wait_after_one_has_waited_in_vain(self, queue, clock):
        entry = enter(queue)
        advance(clock, SPARE_S)
        with pytest.raises(RefusedError):
            queue.find_limit_s(entry)
        advance(clock, SPARE_S)
        probe = enter(queue)
        with pytest.raises(RefusedError):
            enter(queue)
        queue.start(probe)
        assert [enter(queue).position for _ in range(2)] == [0, 1]

    def test_names_the_excess_spread_at_random(self, queue, clock):
        enter(queue)
        advance(clock, 0.99 * SPARE_S)
        excess_s = (0.99 - FORECAST_FRACTION) * SPARE_S
        delays_s = []
        for _ in range(20):
            with pytest.raises(RefusedError) as caught:
                enter(queue)
            delays_s.append(caught.value.retry_after.total_seconds())
        assert min(delays_s) >= max(excess_s, MIN_RETRY_AFTER_S) * 0.99
        assert max(delays_s) <= MAX_SPREAD * excess_s * 1.01
        assert len(set(delays_s)) == len(delays_s)

    def test_drops_the_last_one_when_it_is_full(self, queue):
        entries = [enter(queue) for _ in range(MAX_LENGTH)]
        enter(queue, on_time_s=1.5)
        assert queue.count_waiting() == MAX_LENGTH
        with pytest.raises(RefusedError):
            queue.find_limit_s(entries[-1])


class TestLeaving:
    def test_lets_the_next_one_look(self, queue):
        first, second = enter(queue), enter(queue)
        queue.leave(first)
        assert second.waiter.decided.is_set()
        assert queue.find_limit_s(second) > 0.0
        assert queue.count_waiting() == 1
