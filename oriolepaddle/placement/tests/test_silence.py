from collections import Counter
from datetime import timedelta

import pytest
from loguru import logger

from oriolepaddle.placement import Placer
from oriolepaddle.placement.silence import EXPECTED_FACTOR, QUIET_S, SilenceWatch
from oriolepaddle.placement.tests.engines import make_dossier, register

STEP_S = 0.02
READING_S = 0.1
DARK_FROM_S, ENDS_S = 1.0, 4.0


@pytest.fixture
def watch():
    return SilenceWatch()


class TestSilenceWatch:
    def test_overdue_request_without_a_byte_means_silence(self, watch):
        watch.expect(0.0, 0.1)
        due_s = EXPECTED_FACTOR * 0.1 + QUIET_S
        assert not watch.is_silent(due_s)
        assert watch.is_silent(due_s + 0.01)

    def test_endpoint_that_sends_to_others_is_not_silent(self, watch):
        watch.expect(0.0, 0.1)
        watch.record_activity(2.0)
        assert not watch.is_silent(2.0 + QUIET_S)
        assert watch.is_silent(2.01 + QUIET_S)

    def test_idle_endpoint_is_not_silent(self, watch):
        watch.forget(watch.expect(0.0, 0.1))
        assert not watch.is_silent(100.0)

    def test_long_expectations_wait_longer(self, watch):
        number = watch.expect(0.0, 1.0)
        assert not watch.seems_lost(number, 2.0)
        assert watch.seems_lost(number, 2.5)

    def test_request_that_later_ones_overtake_is_lost(self, watch):
        lost, answered = watch.expect(0.0, 0.1), watch.expect(0.1, 0.1)
        watch.record_activity(1.0)
        assert not watch.seems_lost(lost, 1.0)
        watch.answer(answered)
        assert watch.seems_lost(lost, 1.0)
        assert not watch.is_silent(1.0)

    def test_request_that_overtook_others_is_not(self, watch):
        watch.answer(watch.expect(0.0, 0.1))
        later = watch.expect(0.5, 0.1)
        watch.record_activity(1.2)
        assert not watch.seems_lost(later, 1.2)


class DarkEngine:
    """Plays requests at two engines of which one stops to answer."""

    def __init__(self, placer, clock):
        self._placer = placer
        self._clock = clock
        self._running = []
        self.sent = Counter()

    def play(self, now_s, is_dark):
        for ends_s, name, placed in list(self._running):
            if ends_s <= now_s and not (is_dark and name == "e1"):
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
        self.sent[name, is_dark] += 1
        placed = self._placer.start(choice, job)
        self._running.append((now_s + READING_S, name, placed))
        self._clock.advance(timedelta(seconds=STEP_S))

    def leave_all(self, name):
        """Let every caller that waits at an engine leave."""
        for item in [item for item in self._running if item[1] == name]:
            item[2].end()
            self._running.remove(item)


class TestDarkEngine:
    """The load: 50 prompts a second at two engines, one of which goes dark."""

    def test_gets_little_more_once_it_is_silent(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True)
        for name in ("e1", "e2"):
            register(catalog, name)
        load = DarkEngine(placer, clock)
        for step in range(round(ENDS_S / STEP_S)):
            now_s = step * STEP_S
            load.play(now_s, is_dark=now_s >= DARK_FROM_S)
        assert load.sent["e1", False] > 10
        # What comes before the silence can be noticed, at half of the rate.
        longest_s = QUIET_S + (EXPECTED_FACTOR + 1) * 2 * READING_S
        assert load.sent["e1", True] <= longest_s / STEP_S / 2

    def test_is_logged_once_and_again_when_it_is_heard(self, clock, catalog):
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

    def test_is_not_trusted_at_once_when_its_callers_have_left(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True)
        for name in ("e1", "e2"):
            register(catalog, name)
        choice = placer.choose(make_dossier("a"))
        placed = placer.start(choice, make_dossier("a"))
        clock.advance(timedelta(seconds=1))
        assert placed.seems_lost()
        placed.end()
        assert placer.choose(make_dossier("a")).endpoint.id != choice.endpoint.id
