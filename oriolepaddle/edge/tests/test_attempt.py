import threading

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.attempt import Attempt, AttemptSupersededError
from oriolepaddle.errors import EndpointTimeoutError

TIMEOUT_S = 5.0


def run_on_thread(action):
    thread = threading.Thread(target=action, daemon=True)
    thread.start()
    return thread


@pytest.fixture
def first():
    return Attempt(ManualClock())


@pytest.fixture
def events():
    return []


@pytest.fixture
def alternative(first, events):
    return first.add_alternative(lambda: events.append("took over"))


class TestFirstAttempt:
    """The failure: two attempts wrote parts of the same response."""

    def test_that_responds_supersedes_the_alternative(self, first, alternative):
        cancelled = []
        alternative.cancellation.attach(cancelled.append)
        first.claim()
        with pytest.raises(AttemptSupersededError):
            alternative.claim()
        assert [type(error) for error in cancelled] == [AttemptSupersededError]
        assert not alternative.has_taken_over

    def test_that_is_replaced_delivers_nothing_more(self, first, alternative):
        first.end()
        alternative.claim()
        with pytest.raises(EndpointTimeoutError):
            first.claim()
        with pytest.raises(EndpointTimeoutError):
            first.check()

    def test_has_no_alternative_while_it_delivers(self, first):
        first.claim()
        assert first.add_alternative(lambda: None) is None
        first.release()
        assert first.add_alternative(lambda: None) is not None

    def test_has_one_alternative_at_a_time(self, first, alternative):
        assert alternative is not None
        assert first.add_alternative(lambda: None) is None

    def test_that_has_ended_gets_no_alternative(self, first):
        first.end()
        assert first.add_alternative(lambda: None) is None


class TestAlternative:
    """The failure: an alternative wrote before the first attempt had ended."""

    def test_waits_for_the_end_of_the_first_attempt(self, first, alternative, events):
        def _end(error):
            events.append("cancelled")
            run_on_thread(_end_first)

        def _end_first():
            events.append("ended")
            first.end()

        first.cancellation.attach(_end)
        alternative.claim()
        assert events == ["cancelled", "ended", "took over"]
        assert alternative.has_taken_over and not alternative.is_pending

    def test_claims_again_without_effect(self, first, alternative, events):
        first.end()
        alternative.claim()
        alternative.claim()
        assert events == ["took over"]

    def test_cancelled_before_its_transfer_is_not_sent(self, first, alternative):
        first.claim()
        with pytest.raises(AttemptSupersededError):
            alternative.cancellation.attach(lambda error: None)

    def test_of_an_alternative_is_not_possible(self, alternative):
        assert alternative.add_alternative(lambda: None) is None


class TestEndOfAlternative:
    """The failure: the request's thread missed how its alternative ended."""

    def test_that_completed_the_response(self, first, alternative):
        first.end()
        alternative.start(alternative.claim)
        assert first.await_alternative()

    def test_that_failed_before_it_responded(self, first, alternative):
        gate = threading.Event()

        def _fail():
            gate.wait(TIMEOUT_S)
            raise EndpointTimeoutError("no response")

        alternative.start(_fail)
        first.end()
        gate.set()
        assert not first.await_alternative()
        assert not first.has_alternative

    def test_that_failed_after_it_took_over(self, first, alternative):
        def _fail():
            alternative.claim()
            raise ConnectionResetError("the caller disconnected")

        first.end()
        alternative.start(_fail)
        with pytest.raises(ConnectionResetError):
            first.await_alternative()

    def test_that_was_cancelled(self, first, alternative):
        gate = threading.Event()
        alternative.cancellation.attach(lambda error: gate.set())
        alternative.start(lambda: gate.wait(TIMEOUT_S))
        first.cancel_alternative(ConnectionResetError("the caller disconnected"))
        assert gate.is_set()

    def test_without_an_alternative(self, first):
        assert not first.await_alternative()
