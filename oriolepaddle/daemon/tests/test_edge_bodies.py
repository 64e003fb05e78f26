import http.client

import pytest

from oriolepaddle.daemon.tests.edge_fleet import DESK, EdgeFleet, await_true
from oriolepaddle.platform.standins import RunnerBehaviour

MEMORY_MB = 1.0
"""The bodies that an instance holds are bounded by a sixth of it."""


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    yield fleet
    fleet.close()


@pytest.fixture
def instance(fleet):
    for name in ("d1", "d2"):
        fleet.add_runner(name, DESK)
    instance = fleet.add_instance("n1", memory_mb=MEMORY_MB)
    fleet.await_ready()
    return instance


class TestEndlessBody:
    # An endpoint that sends bodies without end must not take an instance's memory.
    def test_request_that_may_be_repeated_goes_to_another_endpoint(
        self, fleet, instance
    ):
        fleet.runners["d1"].behaviours.append(RunnerBehaviour.ENDLESS)
        fleet.runners["d2"].behaviours.append(RunnerBehaviour.ENDLESS)
        fleet.runners["d2"].behaviours.clear()
        statuses = [fleet.request("n1", "/read/1")[0] for _ in range(4)]
        assert statuses == [200] * 4
        await_true(lambda: instance.buffers.used_bytes == 0)

    def test_order_is_visibly_cut_and_leaves_no_memory_taken(self, fleet, instance):
        for name in ("d1", "d2"):
            fleet.runners[name].behaviours.append(RunnerBehaviour.ENDLESS)
        response = fleet.send("n1", "/book/1", method="POST")
        assert response.status == 200
        with pytest.raises(http.client.IncompleteRead):
            response.read()
        await_true(lambda: instance.buffers.used_bytes == 0)
        for name in ("d1", "d2"):
            fleet.runners[name].behaviours.clear()
        assert fleet.request("n1", "/book/2", method="POST")[0] == 200
