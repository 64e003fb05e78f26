from collections import Counter
from datetime import timedelta

import pytest
from loguru import logger

from oriolepaddle.placement import Placer
from oriolepaddle.placement.silence import (
    MIN_SILENCE_S,
    OVERDUE_FACTOR,
    SilenceDetector,
)
from oriolepaddle.placement.tests.engines import make_dossier, register

STEP_S = 0.02
PREFILL_S = 0.1
FAILS_AT_S, ENDS_AT_S = 1.0, 4.0


@pytest.fixture
def detector():
    return SilenceDetector()


class TestSilenceDetector:
    def test_overdue_request_without_a_byte_means_silence(self, detector):
        detector.record_sent(0.0, 0.1)
        due_s = OVERDUE_FACTOR * 0.1 + MIN_SILENCE_S
        assert not detector.is_silent(due_s)
        assert detector.is_silent(due_s + 0.01)

    def test_endpoint_that_sends_other_data_is_not_silent(self, detector):
        detector.record_sent(0.0, 0.1)
        detector.record_activity(2.0)
        assert not detector.is_silent(2.0 + MIN_SILENCE_S)
        assert detector.is_silent(2.01 + MIN_SILENCE_S)

    def test_idle_endpoint_is_not_silent(self, detector):
        detector.discard(detector.record_sent(0.0, 0.1))
        assert not detector.is_silent(100.0)

    def test_longer_expected_time_allows_a_longer_wait(self, detector):
        number = detector.record_sent(0.0, 1.0)
        assert not detector.seems_lost(number, 2.0)
        assert detector.seems_lost(number, 2.5)

    def test_request_overtaken_by_a_later_one_is_lost(self, detector):
        lost, answered = detector.record_sent(0.0, 0.1), detector.record_sent(0.1, 0.1)
        detector.record_activity(1.0)
        assert not detector.seems_lost(lost, 1.0)
        detector.record_first_byte(answered)
        assert detector.seems_lost(lost, 1.0)
        assert not detector.is_silent(1.0)

    def test_request_sent_after_the_last_answered_one_is_not_lost(self, detector):
        detector.record_first_byte(detector.record_sent(0.0, 0.1))
        later = detector.record_sent(0.5, 0.1)
        detector.record_activity(1.2)
        assert not detector.seems_lost(later, 1.2)


class SilentEngineSimulation:
    """Simulates requests at two engines, of which `e1` stops responding."""

    def __init__(self, placer, clock):
        self._placer = placer
        self._clock = clock
        self._running = []
        self.sent = Counter()

    def play(self, now_s, is_silent):
        for ends_s, name, placed in list(self._running):
            if ends_s <= now_s and not (is_silent and name == "e1"):
                placed.record_activity()
                placed.record_first_byte()
                placed.succeed()
                placed.end()
                self._running.remove((ends_s, name, placed))
        job = make_dossier(
            f"d{round(now_s / STEP_S)}", tokens=9000, max_first_byte_s=60
        )
        choice = self._placer.choose(job)
        name = choice.endpoint.id
        self.sent[name, is_silent] += 1
        placed = self._placer.start(choice, job)
        self._running.append((now_s + PREFILL_S, name, placed))
        self._clock.advance(timedelta(seconds=STEP_S))

    def cancel_all(self, name):
        """Cancel all requests that wait at an engine."""
        for item in [item for item in self._running if item[1] == name]:
            item[2].end()
            self._running.remove(item)


class TestSilentEngine:
    """Two engines get 50 prompts a second, and one of them stops responding."""

    def test_gets_few_requests_once_it_is_silent(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True)
        for name in ("e1", "e2"):
            register(catalog, name)
        load = SilentEngineSimulation(placer, clock)
        for step in range(round(ENDS_AT_S / STEP_S)):
            now_s = step * STEP_S
            load.play(now_s, is_silent=now_s >= FAILS_AT_S)
        assert load.sent["e1", False] > 10
        # Half of the requests sent before the silence can be detected.
        longest_s = MIN_SILENCE_S + (OVERDUE_FACTOR + 1) * 2 * PREFILL_S
        assert load.sent["e1", True] <= longest_s / STEP_S / 2

    def test_silence_and_recovery_are_logged_once_each(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True)
        register(catalog, "e1")
        lines = []
        number = logger.add(lambda message: lines.append(message.record["message"]))
        job = make_dossier("a", max_first_byte_s=60)
        placed = placer.start(placer.choose(job), job)
        clock.advance(timedelta(seconds=2))
        for _ in range(3):
            placer.choose(job)
        placed.record_activity()
        placer.choose(job)
        logger.remove(number)
        assert lines == ["endpoint_silent", "endpoint_heard"]

    def test_stays_blocked_after_its_callers_have_left(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True)
        for name in ("e1", "e2"):
            register(catalog, name)
        choice = placer.choose(make_dossier("a"))
        placed = placer.start(choice, make_dossier("a"))
        clock.advance(timedelta(seconds=1))
        assert placed.seems_lost()
        placed.end()
        assert placer.choose(make_dossier("a")).endpoint.id != choice.endpoint.id
