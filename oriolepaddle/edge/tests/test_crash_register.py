from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge import EdgeRequest
from oriolepaddle.edge.crash_register import (
    MEMORY_S,
    CrashRegister,
    make_request_fingerprint,
)

REQUEST = EdgeRequest("1", "POST", "h", "/a", "/a?x", (), b"body", "k", 0.0)


class TestCrashRegister:
    @pytest.fixture
    def clock(self):
        return ManualClock()

    @pytest.fixture
    def register(self, clock):
        return CrashRegister(clock)

    def test_refuses_after_two_lives(self, register):
        register.record_crash("f", "e1@1")
        register.record_crash("f", "e1@1")
        assert not register.is_refused("f")
        register.record_crash("f", "e1@2")
        assert register.is_refused("f")
        assert not register.is_refused("other")

    def test_answer_clears_it(self, register):
        register.record_crash("f", "e1@1")
        register.clear("f")
        register.record_crash("f", "e2@1")
        assert not register.is_refused("f")

    def test_adds_up_what_instances_saw(self, register, clock):
        other = CrashRegister(clock)
        other.record_crash("f", "e2@1")
        register.record_crash("f", "e1@1")
        register.merge(other.entries())
        register.merge(other.entries())
        assert register.is_refused("f")

    def test_forgets(self, register, clock):
        register.record_crash("f", "e1@1")
        register.record_crash("f", "e2@1")
        clock.advance(timedelta(seconds=MEMORY_S + 1))
        assert not register.is_refused("f")
        assert register.entries() == {}


class TestFingerprint:
    def test_is_the_same_for_whoever_sends_it(self):
        again = attrs.evolve(REQUEST, id="2", key="other", arrived_s=9.0)
        assert make_request_fingerprint(again) == make_request_fingerprint(REQUEST)

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/a?y"}, {"host": "i"}]
    )
    def test_differs_with_what_is_asked(self, changes):
        other = attrs.evolve(REQUEST, **changes)
        assert make_request_fingerprint(other) != make_request_fingerprint(REQUEST)
