from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.config.model import Endpoint, Route, RouteKind
from oriolepaddle.errors import RefusedError
from oriolepaddle.gateway.start import wait_to_resume
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import Quarantine, QuarantineSettings
from oriolepaddle.quarantine.tests.fleet import make_evidence
from oriolepaddle.routing import RoutingRequest

FINGERPRINT = b"f" * 16
ENGINE = Endpoint("e1", "nordur-a", "127.0.0.1:1", ("oriole-answers",))


class WaitingClock(ManualClock):
    """A manual clock that a wait advances by its timeout."""

    def wait(self, event, timeout):
        self.advance(timeout)
        return event.is_set()


def make_routing(deadline_s):
    route = Route("oriole-answers", RouteKind.MODEL)
    return RoutingRequest("r1", route, None, 10, 10, (), deadline_s)


class TestBrokenStream:
    """A stream that broke while its engine did not respond to the health check.

    The request is then a suspect, which may be resumed only in its turn.
    """

    @pytest.fixture
    def context(self):
        clock = WaitingClock()
        identity = PeerIdentity("n1", 1, "nordur-a")
        quarantine = Quarantine(clock, QuarantineSettings(), identity)
        quarantine.start_run(FINGERPRINT, ENGINE.id).fail(make_evidence())
        return SimpleNamespace(clock=clock, quarantine=quarantine)

    def test_is_not_resumed_at_once(self, context):
        with pytest.raises(RefusedError):
            context.quarantine.start_run(FINGERPRINT, ENGINE.id)

    def test_is_resumed_at_its_engine_in_its_turn(self, context):
        found = wait_to_resume(context, make_routing(60.0), FINGERPRINT, ENGINE)
        assert found is ENGINE
        context.quarantine.start_run(FINGERPRINT, found.id)

    def test_does_not_wait_beyond_its_deadline(self, context):
        with pytest.raises(RefusedError):
            wait_to_resume(context, make_routing(0.0), FINGERPRINT, ENGINE)
        assert context.clock.monotonic_s() < timedelta(seconds=1).total_seconds()
