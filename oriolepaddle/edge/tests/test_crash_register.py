from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge import EdgeRequest
from oriolepaddle.edge.crash_register import (
    RETENTION_S,
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

    def test_refuses_after_crashes_of_two_incarnations(self, register):
        register.record_crash("f", "e1@1")
        register.record_crash("f", "e1@1")
        assert not register.is_refused("f")
        register.record_crash("f", "e1@2")
        assert register.is_refused("f")
        assert not register.is_refused("other")

    def test_answered_request_is_cleared(self, register):
        register.record_crash("f", "e1@1")
        register.clear("f")
        register.record_crash("f", "e2@1")
        assert not register.is_refused("f")

    def test_merges_crashes_recorded_by_other_instances(self, register, clock):
        other = CrashRegister(clock)
        other.record_crash("f", "e2@1")
        register.record_crash("f", "e1@1")
        register.merge(other.entries())
        register.merge(other.entries())
        assert register.is_refused("f")

    def test_crashes_expire(self, register, clock):
        register.record_crash("f", "e1@1")
        register.record_crash("f", "e2@1")
        clock.advance(timedelta(seconds=RETENTION_S + 1))
        assert not register.is_refused("f")
        assert register.entries() == {}


class TestFingerprint:
    def test_does_not_depend_on_the_caller(self):
        same = attrs.evolve(REQUEST, id="2", key="other", arrived_s=9.0)
        assert make_request_fingerprint(same) == make_request_fingerprint(REQUEST)

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/a?y"}, {"host": "i"}]
    )
    def test_depends_on_the_content(self, changes):
        other = attrs.evolve(REQUEST, **changes)
        assert make_request_fingerprint(other) != make_request_fingerprint(REQUEST)
