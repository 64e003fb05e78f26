import random
from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.edge.forwarding import RegionForecast, choose_forecast
from oriolepaddle.edge.placing import LATE_WAIT_FRACTION, make_job, place
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job

JOB = Job("engines", max_first_byte_s=0.6)
NEAR = Choice(None, 0.2, 0)
SLOW = Choice(None, 0.45, 0)
FEW, MANY = 3, 26
UNREACHABLE = Choice(None, 0.05, 0, is_blocked=True)


def make_peer(expected_s):
    return PeerChoice("s1", "sudur", "10.0.0.1:80", expected_s)


def _choose_by_share(peer, limit_s):
    forecast = RegionForecast(peer.region, peer.expected_s, 0.0)
    chosen = choose_forecast([forecast], limit_s, random.Random(1))
    return None if chosen is None else peer


def place_job(near=None, peer=None, allows_near=True, excluded=(), instances=FEW):
    def choose(job, excluded):
        if isinstance(near, RefusedError):
            raise near
        return near

    context = SimpleNamespace(
        region="nordur",
        placer=SimpleNamespace(choose=choose, list_without_permit=lambda *_: []),
        regions=SimpleNamespace(
            choose=lambda *_: peer,
            choose_by_share=lambda *args: _choose_by_share(peer, args[-1]),
        ),
        count_instances=lambda: instances,
    )
    admitted = SimpleNamespace(allows_region=lambda _: allows_near, residency=())
    progress = SimpleNamespace(excluded=set(excluded), may_forward=True)
    return place(context, admitted, JOB, progress)


def make_job_at(now_s, may_have_run=False, tokens=9_000):
    route = SimpleNamespace(name="dossiers", target=timedelta(seconds=0.6))
    admitted = SimpleNamespace(route=route, service="engines")
    request = SimpleNamespace(
        parts=(),
        input_tokens=tokens,
        output_tokens=50,
        arrived_s=0.0,
        body=b"",
    )
    return make_job(admitted, request, now_s, 5.0 - now_s, may_have_run)


class TestJob:
    def test_waits_while_it_can_be_on_time(self):
        assert make_job_at(0.1).max_first_byte_s == pytest.approx(0.5)

    def test_late_request_waits_briefly_and_has_a_lower_rank(self):
        assert make_job_at(2.0).max_first_byte_s == pytest.approx(
            LATE_WAIT_FRACTION * 0.6
        )
        assert (
            make_job_at(2.0).urgency
            > make_job_at(0.1).urgency
            > make_job_at(0.1, tokens=600).urgency
        )

    def test_request_that_may_have_run_waits_until_its_deadline(self):
        """It can't be refused as "not run", so a late response is the best outcome."""
        job = make_job_at(2.0, may_have_run=True)
        assert job.max_first_byte_s == pytest.approx(3.0)


class TestPlace:
    def test_stays_in_the_region_without_a_clear_gain(self):
        assert place_job(NEAR, make_peer(0.15)) is NEAR

    def test_is_forwarded_for_a_clear_gain(self):
        peer = make_peer(0.05)
        assert place_job(NEAR, peer) is peer

    def test_stays_when_on_time_in_a_region_of_many_instances(self):
        """Guards against a stampede: all instances forward to a region that reports
        short queues."""
        assert place_job(NEAR, make_peer(0.05), instances=MANY) is NEAR
        assert place_job(SLOW, make_peer(0.4), instances=MANY) is SLOW

    def test_is_forwarded_from_a_region_of_many_instances_when_late(self):
        peer = make_peer(0.3)
        assert place_job(SLOW, peer, instances=MANY) is peer

    def test_is_forwarded_when_no_local_endpoint_runs_the_service(self):
        peer = make_peer(0.5)
        refusal = RefusedError("none", code=ErrorCode.NO_ENDPOINT)
        assert place_job(refusal, peer) is peer

    def test_is_forwarded_when_no_local_endpoint_is_reachable(self):
        """Guards against sending to endpoints that lost power and are still listed."""
        peer = make_peer(0.5)
        assert place_job(UNREACHABLE, peer) is peer

    def test_is_forwarded_after_two_local_failures(self):
        peer = make_peer(0.5)
        assert place_job(NEAR, peer, excluded=["e1"]) is NEAR
        assert place_job(NEAR, peer, excluded=["e1", "e2"]) is peer

    def test_uses_an_unreachable_endpoint_if_there_is_no_alternative(self):
        assert place_job(UNREACHABLE, make_peer(0.9)) is UNREACHABLE
        assert place_job(UNREACHABLE) is UNREACHABLE


class TestRefusal:
    """The only region that a request's residency allows is down or overloaded."""

    def test_region_without_instances_is_reported(self):
        with pytest.raises(RefusedError) as caught:
            place_job(allows_near=False)
        assert caught.value.code is ErrorCode.RESIDENCY_UNSERVABLE

    def test_overloaded_region_is_reported(self):
        with pytest.raises(RefusedError) as caught:
            place_job(peer=make_peer(0.9), allows_near=False)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert "sudur" in caught.value.message

    def test_local_refusal_takes_precedence(self):
        refusal = RefusedError("none", code=ErrorCode.NO_ENDPOINT)
        with pytest.raises(RefusedError) as caught:
            place_job(refusal, make_peer(0.9))
        assert caught.value is refusal


class TestLimitedEndpoints:
    """Endpoints that lack nothing but a permit, which hubs may have."""

    def place(self, draw):
        endpoint = SimpleNamespace(incarnation="e1@1")

        def _choose(job, excluded=(), permitted=None):
            if permitted is None:
                raise RefusedError("no permit", code=ErrorCode.NO_ENDPOINT)
            return Choice(permitted, 0.05, 0)

        context = SimpleNamespace(
            region="nordur",
            placer=SimpleNamespace(
                choose=_choose, list_without_permit=lambda *_: [endpoint]
            ),
            permits=SimpleNamespace(draw=draw),
            generator=random.Random(1),
            regions=SimpleNamespace(choose=lambda *_: None),
            count_instances=lambda: 1,
        )
        admitted = SimpleNamespace(allows_region=lambda _: True, residency=())
        progress = SimpleNamespace(excluded=set(), may_forward=True)
        return place(context, admitted, JOB, progress)

    def test_run_the_request_with_a_drawn_permit(self):
        drawn = []
        choice = self.place(drawn.append)
        assert drawn == [choice.endpoint.incarnation] == ["e1@1"]

    def test_refuse_it_at_once_with_the_hubs_delay_extended_at_random(self):
        def _refuse(incarnation):
            raise RefusedError("none left", retry_after=timedelta(seconds=1))

        delays = set()
        for _ in range(3):
            with pytest.raises(RefusedError) as caught:
                self.place(_refuse)
            assert caught.value.code is ErrorCode.OVERLOADED
            delays.add(caught.value.retry_after)
        assert min(delays) >= timedelta(seconds=1)
        assert max(delays) <= timedelta(seconds=2)
