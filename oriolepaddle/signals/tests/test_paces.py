import math
import random
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.signals import PaceBoard, ReportedLoad


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def board(clock):
    return PaceBoard(clock)


def record(board, pace, incarnation="e1@1"):
    board.record(incarnation, "desk", ReportedLoad(1, 0, 6, pace))


def play(board, clock, time_constant_s, noise, interval_s, seconds=120.0):
    """Play an endpoint whose pace changes; return squared errors by estimator.

    Each estimator's error is its difference to the pace one interval later.
    """
    generator = random.Random(7)
    keep = math.exp(-interval_s / time_constant_s)
    deviation, errors = 0.0, {"estimate": 0.0, "newest": 0.0, "mean": 0.0}
    for step in range(int(seconds / interval_s)):
        reading = 1.5 + deviation + generator.gauss(0, noise)
        record(board, 100 * max(0.3, reading))
        clock.advance(timedelta(seconds=interval_s))
        estimate = board.find("e1@1", "desk").find_factor(clock.monotonic_s(), 0.0)
        deviation *= keep
        deviation += 0.3 * math.sqrt(1 - keep * keep) * generator.gauss(0, 1)
        if step * interval_s > seconds / 4:
            actual = 1.5 + deviation
            errors["estimate"] += (estimate - actual) ** 2
            errors["newest"] += (reading - actual) ** 2
            errors["mean"] += (1.5 - actual) ** 2
    return errors


class TestEstimate:
    @pytest.mark.parametrize("interval_s", [0.02, 0.1, 0.5])
    @pytest.mark.parametrize("time_constant_s", [0.1, 0.6, 3.0])
    @pytest.mark.parametrize("noise", [0.02, 0.3])
    def test_is_no_worse_than_the_newest_reading_or_the_mean(
        self, board, clock, time_constant_s, noise, interval_s
    ):
        """A fixed weight follows noise, or is late where readings are exact."""
        errors = play(board, clock, time_constant_s, noise, interval_s)
        best = min(errors["newest"], errors["mean"])
        assert errors["estimate"] <= 1.15 * best

    def test_returns_to_the_mean_with_age(self, board, clock):
        play(board, clock, 0.3, 0.05, 0.1)
        record(board, 400.0)
        fresh = board.find("e1@1", "desk").estimate(clock.monotonic_s(), 0.01)
        clock.advance(timedelta(seconds=5))
        old = board.find("e1@1", "desk").estimate(clock.monotonic_s(), 0.01)
        assert fresh.factor > 2.5 and fresh.confidence > 0.5
        assert 1.2 < old.factor < 1.8 and old.confidence < 0.1
        assert old.reported == 4.0 and old.age_s == pytest.approx(5)

    def test_of_long_work_is_nearer_to_the_mean(self, board, clock):
        """A slowdown of some hundred milliseconds ends before long work does."""
        play(board, clock, 0.3, 0.05, 0.1)
        record(board, 400.0)
        pace = board.find("e1@1", "desk")
        now_s = clock.monotonic_s()
        assert pace.find_factor(now_s, 3.0) < pace.find_factor(now_s, 0.05) - 0.5


class TestPastFactor:
    def test_is_the_mean_over_the_time(self, board, clock):
        started_s = clock.monotonic_s()
        for pace in [100.0] * 40 + [250.0] * 40:
            record(board, pace)
            clock.advance(timedelta(milliseconds=25))
        pace = board.find("e1@1", "desk")
        now_s = clock.monotonic_s()
        assert pace.find_past_factor(now_s - 0.3, now_s) == pytest.approx(2.5, abs=0.2)
        assert 1.2 < pace.find_past_factor(started_s + 0.95, started_s + 1.05) < 2.6


class TestBoard:
    def test_is_off_without_a_fourth_figure(self, board):
        board.record("e1@1", "desk", ReportedLoad(1, 0, 6))
        assert board.find("e1@1", "desk") is None

    def test_other_endpoints_of_the_service_have_its_mean(self, board, clock):
        """Times learned at the usual pace are compared only with such times."""
        for _ in range(50):
            record(board, 200.0)
            clock.advance(timedelta(milliseconds=20))
        pace = board.find("e2@1", "desk")
        assert pace.find_factor(clock.monotonic_s(), 0.1) == pytest.approx(2, abs=0.1)
        assert board.find("e1@1", "engines") is None

    def test_old_readings_are_not_used(self, board, clock):
        record(board, 200.0)
        clock.advance(timedelta(seconds=11))
        assert board.find("e1@1", "desk") is None

    def test_newest_reading_applies(self, board, clock):
        record(board, 200.0)
        board.merge("e1@1", "desk", 8.0, clock.monotonic_s() - 0.2)
        pace = board.find("e1@1", "desk")
        assert pace.last_reading == (clock.monotonic_s(), 2.0)

    def test_extreme_readings_are_bounded(self, board, clock):
        for pace in (1.0, 100_000.0) * 40:
            record(board, pace)
            clock.advance(timedelta(milliseconds=20))
            factor = board.find("e1@1", "desk").find_factor(clock.monotonic_s(), 0.0)
            assert 0.2 <= factor <= 8.0
