import math
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.config.model import DataCentre, ObjectKind, Organisation
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError
from oriolepaddle.routing import LoadReport, LoadSummary
from oriolepaddle.routing.local_fleet import ENGINE_QUEUE_FRACTION
from oriolepaddle.routing.tests.conftest import (
    ROUTE,
    Bench,
    make_endpoint,
    make_request,
)


def refusal(router, request):
    with pytest.raises(RefusedError) as caught:
        router.choose(request)
    assert caught.value.outcome is Outcome.NOT_RUN
    return caught.value.code


def summary(data_centre="sudur-a", **values):
    fields = {"queueing_s": 0.0, "free_slots": 100.0}
    return LoadSummary(data_centre=data_centre, route=ROUTE.id, **fields | values)


class TestResidency:
    @pytest.mark.parametrize(
        ("organisation", "route", "served"),
        [
            ((), (), True),
            (("nordur",), (), True),
            (("sudur", "nordur"), ("nordur",), True),
            (("sudur",), (), False),
            ((), ("sudur",), False),
            (("nordur",), ("sudur",), False),
        ],
    )
    def test_organisation_and_route_are_intersected(
        self, bench, organisation, route, served
    ):
        bench.put(make_endpoint())
        router = bench.make_router()
        bound_route = attrs.evolve(ROUTE, residency=route)
        request = make_request(residency=organisation, route=bound_route)
        assert router.is_allowed("e1", request) is served
        if served:
            assert router.choose(request).endpoint.id == "e1"
        else:
            assert refusal(router, request) is ErrorCode.RESIDENCY_UNSERVABLE

    def test_restricted_request_is_refused_when_its_region_fails(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        router.apply_summaries([summary()])
        router.record_endpoint_failure("e1")
        request = make_request(residency=("nordur",))
        assert refusal(router, request) is ErrorCode.RESIDENCY_UNSERVABLE
        assert router.choose(make_request()).data_centre == "sudur-a"

    def test_ticket_restricts_a_request_in_flight(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        request = make_request()
        assert router.is_allowed("e1", request)
        bench.put(Organisation("norddal", 1.0, 1.0, residency=("sudur",)))
        assert not router.is_allowed("e1", request)

    def test_unknown_data_centre_is_outside_every_region(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        bench.delete(ObjectKind.DATA_CENTRE, "nordur-a")
        assert not router.is_allowed("e1", make_request(residency=("nordur",)))
        assert router.is_allowed("e1", make_request())

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        bounds=st.sets(st.sampled_from(["nordur", "sudur", "austur"])),
        route_bounds=st.sets(st.sampled_from(["nordur", "sudur", "austur"])),
        failed=st.sets(st.sampled_from(["e1", "e2"])),
        summaries=st.lists(st.sampled_from(["sudur-a", "austur-a"])),
        hops=st.sampled_from([(), ("i1",)]),
    )
    def test_never_outside_the_allowed_regions(
        self, bounds, route_bounds, failed, summaries, hops
    ):
        bench = Bench()
        bench.put(DataCentre(id="austur-a", region="austur"))
        bench.put(make_endpoint("e1"))
        bench.put(make_endpoint("e2"))
        bench.put(make_endpoint("e3", data_centre="sudur-a"))
        router = bench.make_router()
        router.apply_summaries([summary(name) for name in summaries])
        for endpoint in failed:
            router.record_endpoint_failure(endpoint)
        route = attrs.evolve(ROUTE, residency=tuple(route_bounds))
        request = make_request(residency=tuple(bounds), route=route, hops=hops)
        try:
            decision = router.choose(request)
        except RefusedError:
            return
        assert (decision.endpoint is None) != (decision.data_centre is None)
        if decision.endpoint is not None:
            assert decision.endpoint.data_centre == "nordur-a"
            region = "nordur"
        else:
            assert not hops
            region = decision.data_centre.removesuffix("-a")
        assert not bounds or region in bounds
        assert not route_bounds or region in route_bounds


class TestLeavingEndpoint:
    def test_gets_no_new_requests(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        chosen = router.choose(make_request()).endpoint
        bench.put(make_endpoint(leaving=True))
        assert not router.is_allowed(chosen.id, make_request())
        assert refusal(router, make_request()) is ErrorCode.NO_ENDPOINT

    def test_deleted_endpoint_gets_no_new_requests(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        handle = router.start(make_request(), make_endpoint())
        bench.delete(ObjectKind.ENDPOINT, "e1")
        assert not router.is_allowed("e1", make_request())
        assert refusal(router, make_request()) is ErrorCode.NO_ENDPOINT
        handle.finish(10, failed=False)

    def test_moved_endpoint_is_not_local(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        bench.put(make_endpoint(data_centre="sudur-a"))
        assert not router.is_allowed("e1", make_request())
        decision = router.choose(make_request())
        assert (decision.endpoint, decision.data_centre) == (None, "sudur-a")
        forwarded = make_request(hops=("n9",))
        assert refusal(router, forwarded) is ErrorCode.HOP_LIMIT


class TestUnreportedDataCentre:
    def test_is_the_last_resort(self, bench):
        bench.put(make_endpoint("e2", data_centre="sudur-a"))
        router = bench.make_router()
        assert router.choose(make_request()).data_centre == "sudur-a"

    def test_is_not_used_outside_the_residency(self, bench):
        bench.put(make_endpoint("e2", data_centre="sudur-a"))
        request = make_request(residency=("nordur",))
        assert refusal(bench.make_router(), request) is ErrorCode.RESIDENCY_UNSERVABLE

    def test_is_not_used_if_its_endpoints_are_leaving(self, bench):
        bench.put(make_endpoint("e2", data_centre="sudur-a", leaving=True))
        assert refusal(bench.make_router(), make_request()) is ErrorCode.NO_ENDPOINT


class TestHops:
    def test_inconsistent_summaries_cause_no_forwarding_loop(self, bench):
        # Each data centre has a summary that shows the other one as free.
        north = bench.make_router("nordur-a")
        south = bench.make_router("sudur-a")
        north.apply_summaries([summary("sudur-a")])
        south.apply_summaries([summary("nordur-a")])
        assert north.choose(make_request()).data_centre == "sudur-a"
        forwarded = make_request(hops=("north-1",))
        assert refusal(south, forwarded) is ErrorCode.HOP_LIMIT

    def test_forwarded_request_is_not_forwarded_again(self, bench):
        bench.put(make_endpoint(slots=1))
        router = bench.make_router()
        router.apply_summaries([summary()])
        router.apply_load_report(LoadReport("e1", running=1, queued=50))
        assert router.choose(make_request()).data_centre == "sudur-a"
        forwarded = make_request(hops=("south-1",))
        assert router.choose(forwarded).endpoint.id == "e1"

    def test_excluded_endpoint_is_not_chosen_again(self, bench):
        bench.put(make_endpoint("e1"))
        bench.put(make_endpoint("e2"))
        router = bench.make_router()
        tried = make_request(excluded=frozenset(["e1"]))
        assert router.choose(tried).endpoint.id == "e2"


class TestSummaries:
    def test_stale_summary_is_not_used(self, bench):
        router = bench.make_router()
        router.apply_summaries([summary(age_s=4.0)])
        assert router.choose(make_request()).data_centre == "sudur-a"
        bench.clock.advance(timedelta(seconds=7))
        assert refusal(router, make_request()) is ErrorCode.NO_ENDPOINT

    def test_older_summary_does_not_replace_newer(self, bench):
        router = bench.make_router()
        router.apply_summaries([summary(queueing_s=math.inf)])
        router.apply_summaries([summary(age_s=3.0)])
        assert refusal(router, make_request()) is ErrorCode.NO_ENDPOINT

    def test_free_slots_of_one_summary_are_not_used_twice(self, bench):
        bench.put(make_endpoint(slots=1))
        router = bench.make_router()
        router.apply_load_report(LoadReport("e1", running=1, queued=1))
        local_s = router.choose(make_request()).scores[0].first_token_s
        assert 1.0 < local_s < 9.0
        router.apply_summaries([summary(free_slots=2.0, requests_per_s=0.1)])
        targets = [router.choose(make_request()).data_centre for _ in range(3)]
        assert targets == ["sudur-a", "sudur-a", None]

    def test_admission_wait_causes_forwarding_and_is_reported(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router(waiting_s=lambda route_id: 2.0)
        router.apply_summaries([summary()])
        assert router.choose(make_request()).data_centre == "sudur-a"
        admitted = router.choose(make_request(), is_admitted=True)
        assert admitted.endpoint.id == "e1"
        assert router.load_summaries()[0].queueing_s >= 2.0

    def test_delay_that_exceeds_the_gain_prevents_forwarding(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router(delay_s=5.0)
        router.apply_summaries([summary()])
        router.apply_load_report(LoadReport("e1", running=8, queued=4))
        assert router.choose(make_request()).endpoint.id == "e1"

    def test_failed_data_centre_reports_no_free_slots(self, bench):
        bench.put(make_endpoint())
        router = bench.make_router()
        assert router.load_summaries()[0].free_slots > 0
        router.record_endpoint_failure("e1")
        assert router.load_summaries()[0].free_slots == 0


class TestConcurrencyLimit:
    def test_is_an_even_share_when_the_endpoints_are_full(self, bench):
        bench.put(make_endpoint(slots=12))
        router = bench.make_router(instances=3)
        router.apply_load_report(LoadReport("e1", running=12, queued=6))
        places = 12 * (1 + ENGINE_QUEUE_FRACTION)
        assert router.concurrency_limit(ROUTE.id) == places / 3

    def test_grows_when_the_other_instances_are_idle(self, bench):
        bench.put(make_endpoint(slots=12))
        router = bench.make_router(instances=3)
        for _ in range(4):
            router.start(make_request(), make_endpoint(slots=12))
        bench.clock.advance(timedelta(seconds=1))
        router.apply_load_report(LoadReport("e1", running=4, queued=0))
        places = 12 * (1 + ENGINE_QUEUE_FRACTION)
        assert router.concurrency_limit(ROUTE.id) == int(4 + (places - 4) / 3)

    def test_failed_endpoint_has_no_slots(self, bench):
        bench.put(make_endpoint(slots=12))
        router = bench.make_router()
        router.record_endpoint_failure("e1")
        assert router.concurrency_limit(ROUTE.id) == 0
