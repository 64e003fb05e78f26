from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.edge.placing import LATE_PATIENCE_PART, make_job, place
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job

JOB = Job("engines", max_first_byte_s=0.6)
NEAR = Choice(None, 0.2, 0)
SLOW = Choice(None, 0.45, 0)
FEW, MANY = 3, 26
LOST = Choice(None, 0.05, 0, is_blocked=True)


def make_peer(expected_s):
    return PeerChoice("s1", "sudur", "10.0.0.1:80", expected_s)


def ask(near=None, peer=None, allows_near=True, excluded=(), instances=FEW):
    def choose(job, excluded):
        if isinstance(near, RefusedError):
            raise near
        return near

    context = SimpleNamespace(
        region="nordur",
        placer=SimpleNamespace(choose=choose),
        regions=SimpleNamespace(choose=lambda *_: peer),
        count_instances=lambda: instances,
    )
    admitted = SimpleNamespace(allows_region=lambda _: allows_near, residency=())
    progress = SimpleNamespace(excluded=set(excluded), may_forward=True)
    return place(context, admitted, JOB, progress)


def make(now_s, may_have_run=False, tokens=9_000):
    route = SimpleNamespace(target=timedelta(seconds=0.6))
    admitted = SimpleNamespace(route=route, service="engines")
    request = SimpleNamespace(
        parts=(), input_tokens=tokens, output_tokens=50, arrived_s=0.0
    )
    return make_job(admitted, request, now_s, 5.0 - now_s, may_have_run)


class TestJob:
    def test_has_patience_while_it_can_be_on_time(self):
        assert make(0.1).max_first_byte_s == pytest.approx(0.5)

    def test_late_one_has_a_little_and_is_ranked_behind(self):
        assert make(2.0).max_first_byte_s == pytest.approx(LATE_PATIENCE_PART * 0.6)
        assert make(2.0).urgency > make(0.1).urgency > make(0.1, tokens=600).urgency

    def test_one_that_may_have_run_waits_as_long_as_it_can(self):
        """It cannot be refused truthfully, so a late answer is the best left."""
        job = make(2.0, may_have_run=True)
        assert job.max_first_byte_s == pytest.approx(3.0)


class TestPlace:
    def test_stays_near_without_a_clear_gain(self):
        assert ask(NEAR, make_peer(0.15)) is NEAR

    def test_leaves_for_a_clear_gain(self):
        peer = make_peer(0.05)
        assert ask(NEAR, peer) is peer

    def test_stays_in_good_time_where_many_would_leave(self):
        """The load: short queues that one region announces draw all instances."""
        assert ask(NEAR, make_peer(0.05), instances=MANY) is NEAR
        assert ask(SLOW, make_peer(0.4), instances=MANY) is SLOW

    def test_leaves_with_many_others_when_it_would_be_late(self):
        peer = make_peer(0.3)
        assert ask(SLOW, peer, instances=MANY) is peer

    def test_leaves_where_nothing_runs_near(self):
        peer = make_peer(0.5)
        refusal = RefusedError("none", code=ErrorCode.NO_ENDPOINT)
        assert ask(refusal, peer) is peer

    def test_leaves_where_nothing_near_could_be_reached(self):
        """The load: all endpoints of a region lose power, and are still listed."""
        peer = make_peer(0.5)
        assert ask(LOST, peer) is peer

    def test_leaves_after_two_failures_near(self):
        peer = make_peer(0.5)
        assert ask(NEAR, peer, excluded=["e1"]) is NEAR
        assert ask(NEAR, peer, excluded=["e1", "e2"]) is peer

    def test_tries_what_could_not_be_reached_rather_than_nothing(self):
        assert ask(LOST, make_peer(0.9)) is LOST
        assert ask(LOST) is LOST


class TestRefusal:
    """The load: a region that bound requests may not leave is down or full."""

    def test_region_without_instances_is_told_as_such(self):
        with pytest.raises(RefusedError) as caught:
            ask(allows_near=False)
        assert caught.value.code is ErrorCode.RESIDENCY_UNSERVABLE

    def test_full_region_is_told_as_such(self):
        with pytest.raises(RefusedError) as caught:
            ask(peer=make_peer(0.9), allows_near=False)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert "sudur" in caught.value.message

    def test_near_refusal_goes_before(self):
        refusal = RefusedError("none", code=ErrorCode.NO_ENDPOINT)
        with pytest.raises(RefusedError) as caught:
            ask(refusal, make_peer(0.9))
        assert caught.value is refusal
