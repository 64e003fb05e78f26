"""Endpoints that report their pace."""

import random
from datetime import timedelta

import attrs
import pytest

from oriolepaddle.placement import Job, Placer
from oriolepaddle.placement.tests.engines import (
    DESK,
    ENGINES,
    make_dossier,
    register,
    run,
)
from oriolepaddle.signals import PaceBoard, ReportedLoad

REQUEST = Job(DESK)


@pytest.fixture
def paces(clock):
    return PaceBoard(clock)


@pytest.fixture
def placer(clock, catalog, paces):
    generator = random.Random(1)
    return Placer(clock, catalog, lambda name: True, paces=paces, generator=generator)


def report(paces, clock, factors, service, count=40):
    for _ in range(count):
        for endpoint, factor in factors.items():
            load = ReportedLoad(1, 0, 6, 100.0 * factor)
            paces.record(endpoint.incarnation, service, load)
        clock.advance(timedelta(milliseconds=20))


class TestPace:
    @pytest.mark.parametrize("service", [DESK, ENGINES])
    def test_slower_endpoint_is_expected_later(
        self, placer, catalog, paces, clock, service
    ):
        usual = register(catalog, "e1", service=service)
        slow = register(catalog, "e2", service=service)
        report(paces, clock, {usual: 1.0, slow: 2.5}, service)
        job = REQUEST if service == DESK else make_dossier("a")
        scores = placer.explain(job)
        assert [score.endpoint for score in scores] == ["e1", "e2"]
        assert scores[1].expected_s > 1.8 * scores[0].expected_s

    @pytest.mark.parametrize("job", [REQUEST, make_dossier("a")])
    def test_scores_are_unchanged_without_a_fourth_figure(
        self, clock, catalog, placer, paces, job
    ):
        without = Placer(clock, catalog, lambda name: True)
        for name in ("e1", "e2"):
            endpoint = register(catalog, name, service=job.service)
            paces.record(endpoint.incarnation, job.service, ReportedLoad(9, 9, 6))
        for _ in range(20):
            runs = [run(each, job) for each in (placer, without)]
            assert runs[0][0] == runs[1][0]
            clock.advance(timedelta(milliseconds=150))
            for _, placed in runs:
                placed.record_first_byte()
                placed.succeed()
                placed.end()
            assert placer.explain(job) == without.explain(job)

    def test_learned_time_does_not_count_the_pace_twice(
        self, placer, catalog, paces, clock
    ):
        """Otherwise an endpoint looks slow long after its slowdown."""
        slow = register(catalog, "e1", service=DESK)
        report(paces, clock, {slow: 2.5}, DESK)
        for _ in range(30):
            _, placed = run(placer, REQUEST)
            report(paces, clock, {slow: 2.5}, DESK, count=10)
            placed.record_first_byte()
            placed.succeed()
            placed.end()
        assert placer.estimate_service_s(DESK) == pytest.approx(0.08, rel=0.1)
        assert placer.choose(REQUEST).expected_s == pytest.approx(0.2, rel=0.1)

    def test_constant_false_pace_is_corrected(self, placer, catalog, paces, clock):
        false = register(catalog, "e1", service=DESK)
        for _ in range(40):
            _, placed = run(placer, REQUEST)
            report(paces, clock, {false: 5.0}, DESK, count=4)
            placed.record_first_byte()
            placed.succeed()
            placed.end()
        assert placer.choose(REQUEST).expected_s == pytest.approx(0.08, rel=0.1)


class TestSpread:
    def test_requests_go_to_all_good_endpoints(self, placer, catalog, paces, clock):
        """All instances would choose the endpoint that looked best in old reports."""
        endpoints = [register(catalog, f"e{n}", service=DESK) for n in range(6)]
        report(paces, clock, dict.fromkeys(endpoints, 1.0), DESK)
        chosen = {run(placer, REQUEST)[0].endpoint.id for _ in range(12)}
        assert len(chosen) == 6

    def test_own_requests_are_weighted_by_the_pace(self, placer, catalog, paces, clock):
        usual = register(catalog, "e1", service=DESK)
        slow = register(catalog, "e2", service=DESK)
        report(paces, clock, {usual: 1.0, slow: 2.0}, DESK)
        counts = {"e1": 0, "e2": 0}
        for _ in range(6):
            choice, _ = run(placer, REQUEST)
            counts[choice.endpoint.id] += 1
        assert counts == {"e1": 4, "e2": 2}

    @pytest.mark.parametrize("service", [DESK, ENGINES])
    def test_request_is_not_refused_while_an_endpoint_is_in_time(
        self, placer, catalog, paces, clock, service
    ):
        """A good endpoint may be too slow for a request that the best one serves."""
        usual = register(catalog, "e1", service=service)
        slow = register(catalog, "e2", service=service)
        report(paces, clock, {usual: 1.0, slow: 1.4}, service)
        job = REQUEST if service == DESK else make_dossier("a")
        best, _ = (score.expected_s for score in placer.explain(job))
        job = attrs.evolve(job, max_first_byte_s=1.01 * best)
        for _ in range(20):
            assert placer.choose(job).endpoint.id == "e1"


class TestExplain:
    def test_shows_what_the_expected_time_is_derived_from(
        self, placer, catalog, paces, clock
    ):
        endpoint = register(catalog, "e1", service=DESK)
        report(paces, clock, {endpoint: 2.0}, DESK)
        run(placer, REQUEST)
        clock.advance(timedelta(milliseconds=80))
        (score,) = placer.explain(REQUEST)
        assert score.request_cost_s == pytest.approx(0.08, rel=0.05)
        assert 0 < score.remaining_s < 0.08
        assert score.factor == pytest.approx(2.0, rel=0.15)
        assert (score.pace, score.pace_age_s) == (2.0, pytest.approx(0.1))
