import contextlib
from datetime import timedelta

import pytest

from oriolepaddle.edge.crash_guard import make_keys
from oriolepaddle.edge.tests.crash_fakes import (
    ANSWER,
    FAILED,
    MAX_RUNS,
    PARTS,
    REPLACED,
    RUNS,
    SILENT,
    TRUNCATED,
    UNREACHABLE,
    break_off,
    make_request,
    make_sink,
)
from oriolepaddle.errors import RefusedError
from oriolepaddle.placement import PromptPart

DEADLY_PARTS = (PromptPart("5c1e", 700), PromptPart("dead", 700), PromptPart("a", 100))
SOUND_PARTS = (PromptPart("5c1e", 700), PromptPart("91bd", 700), PromptPart("b", 100))
DETECTION_TIME = timedelta(seconds=9)
MAX_UNSEEN_RUNS = 5
"""Endpoints that a part may crash before it is refused, however they end."""


class PartLoad:
    """Prompts with a part that breaks off every run, and sound prompts beside them."""

    def __init__(self, instance, clock, endpoints):
        endpoints.refuses_connections = False
        self.instance, self.clock, self.endpoints = instance, clock, endpoints
        self.number = 0

    def start(self, parts=DEADLY_PARTS):
        self.number += 1
        return self.instance.start(
            make_request(self.number, parts, body=b"%d" % self.number)
        )

    def fail(self, error=TRUNCATED, sink=None):
        """Let a run with the part fail; return its endpoint."""
        guard = self.start()
        endpoint = self.endpoints.add()
        guard.record_failure(endpoint, sink or make_sink(), error)
        guard.end_attempt()
        return endpoint

    def answer(self, endpoint=None, parts=SOUND_PARTS):
        guard = self.start(parts)
        sent_s = self.clock.monotonic_s()
        guard.record_first_event(endpoint or self.endpoints.add(), sent_s)

    def resolve(self):
        self.instance.crashes.resolve_pending_runs(
            self.endpoints.find_end, self.clock.monotonic_s()
        )

    def count_runs(self, fail):
        """Return the runs with the part until it is refused."""
        for number in range(RUNS):
            try:
                fail()
            except RefusedError:
                return number
            self.clock.advance(timedelta(seconds=1))
            self.resolve()
            self.answer()
        return RUNS


@pytest.fixture
def load(instances, clock, endpoints):
    return PartLoad(instances[0], clock, endpoints)


class TestUnseenEnd:
    """Guards against sending on a part that ends endpoints whose listeners stay."""

    def test_part_is_refused_before_an_end_is_known(self, load):
        assert load.count_runs(load.fail) <= MAX_UNSEEN_RUNS

    def test_end_that_the_list_shows_counts_as_a_crash(self, load, endpoints):
        def fail():
            endpoints.replaced.add(load.fail().id)

        assert load.count_runs(fail) <= 2

    @pytest.mark.parametrize("error", [REPLACED, UNREACHABLE])
    def test_end_that_a_later_attempt_meets_counts_as_a_crash(
        self, load, endpoints, error
    ):
        def fail():
            endpoint = load.fail()
            endpoints.refuses_connections = True
            guard = load.start(SOUND_PARTS)
            guard.record_failure(endpoint, make_sink(), error)
            endpoints.refuses_connections = False

        assert load.count_runs(fail) <= 2

    def test_silent_end_counts_as_a_crash(self, load, endpoints):
        def fail():
            endpoints.replaced.add(load.fail(SILENT, make_sink(ANSWER)).id)

        assert load.count_runs(fail) <= 2

    def test_silent_run_counts_before_it_is_given_up(self, load, endpoints, clock):
        def fall_silent():
            guard = load.start()
            endpoint = endpoints.add()
            guard.start_run(endpoint, make_sink(ANSWER))
            endpoints.replaced.add(endpoint.id)

        assert load.count_runs(fall_silent) <= 2

    def test_sound_prompts_are_served(self, load):
        load.count_runs(load.fail)
        load.start(SOUND_PARTS)


class TestLivingEndpoint:
    """Guards against refusing parts whose runs only were reset, cut off or silent."""

    def fail_and_serve(self, load, error, after):
        for _ in range(RUNS):
            after(load.fail(error))
            load.clock.advance(timedelta(seconds=1))
            load.resolve()
        load.start()

    def test_that_answers_after_a_reset_accuses_nothing(self, load, clock):
        def answer_later(endpoint):
            clock.advance(timedelta(seconds=1))
            load.answer(endpoint, SOUND_PARTS)

        self.fail_and_serve(load, TRUNCATED, answer_later)

    def test_that_outlives_the_detection_accuses_nothing(self, load, clock):
        self.fail_and_serve(load, FAILED, lambda _: clock.advance(DETECTION_TIME))

    def test_that_leaves_as_planned_accuses_nothing(self, load, endpoints):
        self.fail_and_serve(load, FAILED, lambda item: endpoints.leaving.add(item.id))

    def test_that_is_silent_accuses_nothing(self, load, clock):
        self.fail_and_serve(load, SILENT, lambda _: clock.advance(DETECTION_TIME))

    def test_that_is_removed_while_it_serves_accuses_nothing(
        self, load, clock, endpoints
    ):
        for _ in range(RUNS):
            guard = load.start()
            endpoint = endpoints.add()
            guard.start_run(endpoint, make_sink(ANSWER))
            endpoints.replaced.add(endpoint.id)
            clock.advance(timedelta(milliseconds=500))
            load.resolve()
            guard.record_first_event(endpoint, clock.monotonic_s())
            clock.advance(timedelta(seconds=1))
            load.resolve()

    def test_many_resets_at_once_accuse_nothing(self, load):
        for _ in range(RUNS):
            load.fail()
        load.start()


class TestEqualBodies:
    """Guards against taking prompts that differ in the header for one request."""

    def test_sound_prompts_are_served_beside_one_that_crashes(
        self, instances, clock, endpoints
    ):
        sound, deadly = (
            (*PARTS[:1], PromptPart(name, 100)) for name in ("sound", "deadly")
        )
        for number in range(2 * MAX_RUNS):
            guard = instances[0].start(make_request(number, sound))
            guard.record_answer(ANSWER)
            with contextlib.suppress(RefusedError):
                crasher = instances[0].start(make_request(number, deadly))
                break_off(crasher, endpoints, "after an event")
            clock.advance(timedelta(seconds=2))
        instances[0].start(make_request(98, sound))
        with pytest.raises(RefusedError):
            instances[0].start(make_request(99, deadly))
        assert endpoints.count <= MAX_RUNS

    def test_prompts_with_other_shared_parts_are_other_requests(self):
        keys = [
            make_keys(make_request(1, (PromptPart(name, 9), PARTS[1])), "s").request
            for name in ("a", "b")
        ]
        assert keys[0] != keys[1]
