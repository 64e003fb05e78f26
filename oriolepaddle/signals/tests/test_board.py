from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.signals import EndpointSignals, LimitEntry, SignalBoard
from oriolepaddle.signals.board import MAX_ENTRIES

NAMED, UNNAMED = EndpointSignals(limit_per_s=2.0), EndpointSignals()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def board(clock):
    return SignalBoard(clock)


class TestLimit:
    def test_is_known_from_the_answer_that_names_it(self, board, clock):
        board.record("e1@1", NAMED, clock.monotonic_s())
        assert board.find_limit("e1@1") == 2.0
        assert board.find_limit("e1@2") is None

    def test_changes_with_the_next_answer(self, board, clock):
        board.record("e1@1", NAMED, clock.monotonic_s())
        clock.advance(timedelta(seconds=1))
        board.record("e1@1", EndpointSignals(limit_per_s=0.3), clock.monotonic_s())
        assert board.find_limit("e1@1") == 0.3

    def test_is_lifted_by_a_later_request_whose_answer_lacks_it(self, board, clock):
        board.record("e1@1", NAMED, clock.monotonic_s())
        clock.advance(timedelta(seconds=1))
        board.record("e1@1", UNNAMED, clock.monotonic_s())
        assert board.find_limit("e1@1") is None

    def test_is_not_lifted_by_an_earlier_request_that_is_answered_late(
        self, board, clock
    ):
        sent_s = clock.monotonic_s()
        clock.advance(timedelta(seconds=1))
        board.record("e1@1", NAMED, sent_s)
        board.record("e1@1", UNNAMED, sent_s)
        assert board.find_limit("e1@1") == 2.0

    def test_that_another_instance_heard_earlier_replaces_nothing(self, board, clock):
        clock.advance(timedelta(seconds=9))
        now_s = clock.monotonic_s()
        board.record("e1@1", NAMED, now_s)
        board.merge([LimitEntry("e1@1", 7.0, now_s - 3, "n2")])
        assert board.find_limit("e1@1") == 2.0
        board.merge([LimitEntry("e1@1", None, now_s + 1, "n2")])
        assert board.find_limit("e1@1") is None
        board.merge([LimitEntry("e1@1", 7.0, now_s - 3, "n3")])
        assert board.find_limit("e1@1") is None

    def test_of_many_incarnations_takes_bounded_memory(self, board, clock):
        for number in range(MAX_ENTRIES + 5):
            clock.advance(timedelta(milliseconds=1))
            board.record(f"e{number}@1", NAMED, clock.monotonic_s())
        assert board.find_limit("e4@1") is None
        assert board.find_limit(f"e{MAX_ENTRIES + 4}@1") == 2.0
