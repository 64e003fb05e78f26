import itertools
import threading
import time

import pytest

from oriolepaddle.daemon.tests.edge_fleet import DESK, EdgeFleet
from oriolepaddle.platform.standins import RunnerBehaviour

SETTLING_S = 2.0
"""Time in which all instances learn of a signal; the platform allows six seconds."""
WINDOW_S = 4.0
LOAD_S = 6.0
SENDERS = 6
PAUSE_S = 0.05


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    for name in ("d1", "d2", "d3"):
        fleet.add_runner(name, DESK)
    for name in ("n1", "n2", "n3"):
        fleet.add_instance(name)
    fleet.await_ready()
    yield fleet
    fleet.close()


def send_load(fleet, duration_s, path="/read/1"):
    """Send requests to all instances at once; return their statuses."""
    statuses = []
    until_s = time.monotonic() + duration_s

    def _send(names):
        for name in names:
            if time.monotonic() >= until_s:
                return
            statuses.append(fleet.request(name, path)[0])
            time.sleep(PAUSE_S)

    instances = list(fleet.instances)
    threads = [
        threading.Thread(
            target=_send,
            args=(itertools.cycle(instances[n % 3 :] + instances[: n % 3]),),
        )
        for n in range(SENDERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def count_in_windows(runner, from_s):
    """Return the most requests that a runner received in any window."""
    times = [item.received_s for item in runner.received if item.received_s >= from_s]
    return max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )


def allowed_requests(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


class TestLimit:
    @pytest.mark.parametrize("limit", [1, 4])
    def test_of_an_endpoint_is_kept_by_all_instances_together(self, fleet, limit):
        limited = fleet.runners["d1"]
        limited.limit = str(limit)
        started_s = time.monotonic()
        statuses = send_load(fleet, SETTLING_S + LOAD_S)
        received = count_in_windows(limited, started_s + SETTLING_S)
        assert received <= allowed_requests(limit)
        assert statuses.count(200) > 0.95 * len(statuses)

    def test_of_all_endpoints_is_kept_and_used(self, fleet):
        for runner in fleet.runners.values():
            runner.limit = "2"
        started_s = time.monotonic()
        statuses = send_load(fleet, SETTLING_S + LOAD_S)
        for runner in fleet.runners.values():
            received = count_in_windows(runner, started_s + SETTLING_S)
            assert 0.5 * 2 * WINDOW_S <= received <= allowed_requests(2)
        assert set(statuses) == {200, 503}


class TestLeaving:
    @pytest.mark.parametrize(
        "behaviour",
        [RunnerBehaviour.ANSWER, RunnerBehaviour.ERROR, RunnerBehaviour.SHED],
    )
    def test_endpoint_gets_nothing_after_the_answer_that_says_so(
        self, fleet, behaviour
    ):
        leaving = fleet.runners["d1"]
        leaving.tells_leaving = True
        leaving.behaviours.extend([behaviour] * 100)
        send_load(fleet, SETTLING_S)
        told_s = time.monotonic()
        assert leaving.received
        statuses = send_load(fleet, SETTLING_S)
        assert count_in_windows(leaving, told_s) == 0
        assert set(statuses) == {200}

    def test_next_incarnation_gets_requests(self, fleet):
        leaving = fleet.runners["d1"]
        leaving.tells_leaving = True
        send_load(fleet, SETTLING_S)
        leaving.tells_leaving = False
        leaving.born_ms += 1
        # A new endpoint is expected to be slower than those that are known.
        for name in ("d2", "d3"):
            fleet.runners[name].limit = "1"
        fleet.register("d1")
        told_s = time.monotonic()
        send_load(fleet, SETTLING_S)
        assert count_in_windows(leaving, told_s) > 0


class TestPause:
    PAUSE_S = 3.0

    def test_endpoint_gets_nothing_until_its_end(self, fleet):
        paused = fleet.runners["d1"]
        paused.retry_after = str(self.PAUSE_S)
        paused.behaviours.extend([RunnerBehaviour.SHED] * 100)
        for name in ("d2", "d3"):
            fleet.runners[name].limit = "5"
        send_load(fleet, 1.0)
        answered_s = paused.received[0].received_s
        assert len(paused.received) >= len(fleet.instances)
        paused.behaviours.clear()
        paused.received.clear()
        send_load(fleet, self.PAUSE_S - 0.5 - (time.monotonic() - answered_s))
        assert paused.received == []
        send_load(fleet, 2.0)
        assert paused.received

    def test_of_all_endpoints_is_told_to_callers(self, fleet):
        for runner in fleet.runners.values():
            runner.retry_after = str(self.PAUSE_S)
            runner.behaviours.extend([RunnerBehaviour.SHED] * 100)
        for name in fleet.instances:
            for _ in range(3):
                fleet.request(name, "/read/1")
        counts = [len(runner.received) for runner in fleet.runners.values()]
        started_s = time.monotonic()
        response = fleet.send("n1", "/read/1")
        assert response.status == 503
        assert 1.0 < float(response.headers["Retry-After"]) <= 2 * self.PAUSE_S
        assert time.monotonic() - started_s < 0.3
        assert counts == [len(runner.received) for runner in fleet.runners.values()]
