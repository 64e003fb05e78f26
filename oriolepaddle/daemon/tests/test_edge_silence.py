import http.client

import pytest

from oriolepaddle.daemon.tests.edge_fleet import DESK, ENGINES, EdgeFleet
from oriolepaddle.daemon.tests.slow_clock import SlowClock
from oriolepaddle.platform.standins import RunnerBehaviour

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 6)]
MAX_DETECTION_S = 2.0
"""The shortest time after which callers abandon a stream."""
SLOW_CLOCK_FACTOR = 4.0
"""Excludes most of the time that a busy machine takes to run the steps."""


STALL_CLOCK_FACTOR = 2.0
"""Smaller, since the deadline of an attempt is kept in real time."""


@pytest.fixture
def fleet(request):
    fleet = EdgeFleet(SlowClock(getattr(request, "param", SLOW_CLOCK_FACTOR)))
    for name in ("d1", "d2"):
        fleet.add_runner(name, DESK)
    for name in ("e1", "e2"):
        fleet.add_runner(name, ENGINES, events=5)
    fleet.add_instance("n1")
    fleet.await_ready()
    yield fleet
    fleet.close()


class TestSilentEndpoint:
    """The failure: an endpoint accepts requests and answers none of them."""

    @pytest.mark.parametrize(
        ("path", "method", "names"),
        [("/read/1", "GET", ("d1", "d2")), ("/chat/1", "POST", ("e1", "e2"))],
    )
    def test_retryable_request_is_retried_at_another_endpoint(
        self, fleet, path, method, names
    ):
        for name in names:
            fleet.runners[name].behaviours.append(RunnerBehaviour.SILENT)
        fleet.runners[names[1]].behaviours.clear()
        started_s = fleet.clock.monotonic_s()
        statuses = [fleet.request("n1", path, method=method)[0] for _ in range(3)]
        assert statuses == [200, 200, 200]
        assert fleet.clock.monotonic_s() - started_s < MAX_DETECTION_S

    def test_order_is_not_sent_again(self, fleet):
        for name in ("d1", "d2"):
            fleet.runners[name].behaviours.append(RunnerBehaviour.SILENT)
        status, _ = fleet.request(
            "n1", "/book/1", method="POST", X_Oriolepaddle_Deadline_Ms="1500"
        )
        assert status in (502, 504)
        received = [len(fleet.runners[name].received) for name in ("d1", "d2")]
        assert sum(received) == 1


class TestStalledStream:
    """The failure: an engine stops in the middle of its streams and stays connected."""

    @pytest.mark.parametrize("fleet", [STALL_CLOCK_FACTOR], indirect=True)
    def test_is_resumed_at_another_endpoint(self, fleet):
        # Whichever engine is chosen first, the other one goes on.
        engines = [fleet.runners[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.behaviours.append(RunnerBehaviour.STALLED)
        started_s = fleet.clock.monotonic_s()
        response = fleet.send(
            "n1", "/chat/1", method="POST", X_Oriolepaddle_Deadline_Ms="5000"
        )
        first = response.read(len(EVENTS[0]))
        for engine in engines:
            engine.behaviours.clear()
        assert first + response.read() == b"".join(EVENTS)
        assert fleet.clock.monotonic_s() - started_s < MAX_DETECTION_S
        assert sum(len(engine.received) for engine in engines) == 2

    def test_that_may_run_once_is_left_running(self, fleet):
        for name in ("e1", "e2"):
            fleet.runners[name].behaviours.append(RunnerBehaviour.STALLED)
        response = fleet.send(
            "n1", "/ask/1", method="POST", X_Oriolepaddle_Deadline_Ms="1500"
        )
        with pytest.raises(http.client.IncompleteRead):
            response.read()
        received = [len(fleet.runners[name].received) for name in ("e1", "e2")]
        assert sum(received) == 1
