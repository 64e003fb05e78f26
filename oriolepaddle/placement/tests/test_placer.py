from collections import Counter
from datetime import timedelta

import pytest

from oriolepaddle.catalog import EndpointState
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Job, PeerLoad, Placer
from oriolepaddle.placement.tests.engines import (
    DESK,
    ENGINES,
    make_dossier,
    register,
    run,
)


class TestChoice:
    def test_prefers_the_least_prefill_left(self, placer, catalog):
        for name in ("e1", "e2"):
            register(catalog, name)
        first, _ = run(placer, make_dossier("a"))
        second, _ = run(placer, make_dossier("b"))
        assert first.endpoint.id != second.endpoint.id

    def test_same_prefix_goes_to_the_same_endpoint(self, placer, catalog):
        """Many questions to a few dossiers arrive one after the other."""
        for number in range(6):
            register(catalog, f"e{number}")
        used = Counter()
        for question in range(60):
            job = make_dossier(f"dossier-{question % 6}")
            choice, placed = run(placer, job)
            used[(question % 6, choice.endpoint.id)] += 1
            placed.record_first_byte()
            placed.succeed()
            placed.end()
        assert len(used) <= 9

    def test_instances_agree_without_communication(self, clock, catalog):
        for number in range(6):
            register(catalog, f"e{number}")
        placers = [Placer(clock, catalog, lambda name: True) for _ in range(2)]
        for question in range(20):
            job = make_dossier(f"dossier-{question}")
            chosen = {placer.choose(job).endpoint.id for placer in placers}
            assert len(chosen) == 1

    def test_counts_the_load_of_other_instances(self, placer, catalog):
        for name in ("e1", "e2"):
            register(catalog, name)
        placer.choose(make_dossier("a"))
        placer.apply_peer("n2", {"e1": PeerLoad(10, 60_000, 90_000)})
        chosen = {placer.choose(make_dossier(f"d{n}")).endpoint.id for n in range(8)}
        assert chosen == {"e2"}

    def test_ignores_other_regions_and_excluded_incarnations(self, placer, catalog):
        register(catalog, "far", data_centre="sudur-a")
        near = register(catalog, "near")
        assert placer.choose(make_dossier("a")).endpoint == near
        with pytest.raises(RefusedError) as caught:
            placer.choose(make_dossier("a"), {near.incarnation})
        assert caught.value.code is ErrorCode.NO_ENDPOINT

    def test_avoids_an_unreachable_endpoint(self, placer, catalog):
        for name in ("e1", "e2"):
            register(catalog, name)
        choice, placed = run(placer, make_dossier("a"))
        placed.fail(is_unreachable=True)
        placed.end()
        other = placer.choose(make_dossier("a"))
        assert other.endpoint.id != choice.endpoint.id


class TestEstimate:
    def test_is_none_while_every_endpoint_is_unreachable(self, placer, catalog):
        """Other regions would send their requests here while all of it is down."""
        register(catalog, "e1")
        assert placer.estimate_s(ENGINES, 2000) is not None
        _, placed = run(placer, make_dossier("a"))
        placed.fail(is_unreachable=True)
        placed.end()
        assert placer.estimate_s(ENGINES, 2000) is None

    def test_service_time_outlives_its_endpoints(self, placer, catalog, clock):
        register(catalog, "d1", DESK)
        job = Job(DESK, max_first_byte_s=1.0)
        for _ in range(60):
            _, placed = run(placer, job)
            clock.advance(timedelta(milliseconds=20))
            placed.succeed()
            placed.end()
        register(catalog, "d1", DESK, state=EndpointState.LEAVING)
        assert placer.estimate_service_s(DESK) == pytest.approx(0.02, abs=0.002)


class TestOverload:
    def test_refuses_at_once_what_would_begin_too_late(self, placer, catalog):
        """More long prompts arrive at once than one engine can prefill in time."""
        register(catalog, "e1")
        admitted = 0
        refusal = None
        for number in range(60):
            try:
                run(placer, make_dossier(f"d{number}"))
                admitted += 1
            except RefusedError as error:
                refusal = error
        assert 4 <= admitted <= 12
        assert refusal.code is ErrorCode.OVERLOADED
        assert refusal.retry_after > timedelta(0)

    def test_short_requests_are_accepted_while_long_ones_are_refused(
        self, placer, catalog
    ):
        register(catalog, "e1")
        with pytest.raises(RefusedError):
            for number in range(60):
                run(placer, make_dossier(f"d{number}"))
        placer.choose(Job(ENGINES, (), 600, 100, 0.7))

    def test_ended_runs_leave_no_trace(self, placer, catalog, clock):
        register(catalog, "e1")
        for number in range(200):
            _, placed = run(placer, make_dossier(f"d{number}"))
            if number % 2:
                placed.record_first_byte()
            placed.end()
        clock.advance(timedelta(minutes=1))
        assert placer.own_loads() == {}


class TestSpeed:
    """One engine prefills four times as slowly as expected."""

    def learn(self, placer, clock, slow):
        for number in range(12):
            choice, placed = run(
                placer, make_dossier(f"d{number}", max_first_byte_s=60)
            )
            seconds = 0.4 if choice.endpoint.id == slow else 0.1
            clock.advance(timedelta(seconds=seconds))
            placed.record_first_byte()
            placed.succeed()
            placed.end()

    def test_slow_prefill_is_learned_from_first_bytes(self, placer, catalog, clock):
        register(catalog, "e1")
        self.learn(placer, clock, "e1")
        choice = placer.choose(make_dossier("new", max_first_byte_s=60))
        assert 0.3 < choice.expected_s < 0.5

    def test_speed_learned_by_other_instances_is_used(self, placer, catalog, clock):
        register(catalog, "e1")
        self.learn(placer, clock, "e1")
        other = Placer(clock, catalog, lambda name: True)
        other.choose(make_dossier("first"))
        other.apply_peer("n1", placer.own_loads())
        choice = other.choose(make_dossier("new", max_first_byte_s=60))
        assert 0.25 < choice.expected_s < 0.5


class TestColdEndpoint:
    def test_request_rate_is_limited(self, placer, catalog, clock):
        register(catalog, "e1", cold_until_s=100.0)
        sent = 0
        for _ in range(400):
            clock.advance(timedelta(milliseconds=10))
            try:
                _, placed = run(placer, make_dossier("a", max_first_byte_s=60))
            except RefusedError:
                continue
            placed.end()
            sent += 1
        assert sent <= 4 * 3 + 1

    def test_is_not_chosen_without_a_share_of_its_rate(self, clock, catalog):
        placer = Placer(clock, catalog, lambda name: True, lambda: 0.0)
        register(catalog, "e1", cold_until_s=100.0)
        with pytest.raises(RefusedError):
            placer.choose(make_dossier("a"))

    def test_permit_is_acquired_with_the_choice(self, placer, catalog):
        """Guards against two requests that get the same permit: both choose an endpoint
        before either is sent."""
        register(catalog, "e1", cold_until_s=100.0)
        placer.choose(make_dossier("a"))
        with pytest.raises(RefusedError):
            placer.choose(make_dossier("b"))


class TestPlainService:
    def test_spreads_over_its_endpoints(self, placer, catalog):
        for name in ("d1", "d2"):
            register(catalog, name, DESK)
        used = Counter(run(placer, Job(DESK))[0].endpoint.id for _ in range(20))
        assert set(used) == {"d1", "d2"}
