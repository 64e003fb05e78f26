import pytest

from oriolepaddle.daemon.tests.edge_fleet import DESK, ENGINES, EdgeFleet
from oriolepaddle.platform.standins import RunnerBehaviour

SEAL = "X-Oriolepaddle-Server-Seal"
OUTCOME = "X-Request-Outcome"
STATUSES = (408, 429, 503)
ONCE = ("/book/1", "/ask/1")


@pytest.fixture
def fleet():
    """Two data centres; orders of one are served in the other."""
    fleet = EdgeFleet()
    fleet.add_runner("d1", DESK, "sudur-a")
    fleet.add_runner("e1", ENGINES, "sudur-a", events=5)
    fleet.add_instance("s1", "sudur-a")
    fleet.add_instance("n1")
    fleet.await_ready()
    yield fleet
    fleet.close()


def fail(fleet, status, fields=(), behaviour=RunnerBehaviour.ERROR):
    for runner in fleet.runners.values():
        runner.error_status = status
        runner.error_fields = list(fields)
        runner.behaviours.extend([behaviour] * 8)


def count_runs(fleet):
    received = [item for r in fleet.runners.values() for item in r.received]
    return sum(item.has_run for item in received)


class TestOrderThatRan:
    """The failure: a request that had run was answered as one that had not."""

    @pytest.mark.parametrize("instance", ["s1", "n1"])
    @pytest.mark.parametrize("path", ONCE)
    @pytest.mark.parametrize("status", STATUSES)
    def test_is_not_answered_as_not_run(self, fleet, status, path, instance):
        fail(fleet, status, [("Retry-After", "0.1")])
        response = fleet.send(instance, path, method="POST")
        assert response.status == 502
        assert response.getheader(SEAL) is None
        assert response.getheader("Retry-After") is None
        assert response.getheader(OUTCOME) == "unknown"
        assert count_runs(fleet) == 1

    @pytest.mark.parametrize("instance", ["s1", "n1"])
    def test_is_not_believed_to_be_refused_by_a_peer(self, fleet, instance):
        fail(fleet, 500, [(OUTCOME, "not-run")])
        response = fleet.send(instance, "/book/1", method="POST")
        assert response.status == 500
        assert response.getheader(OUTCOME) is None
        assert count_runs(fleet) == 1

    def test_leaves_the_endpoint_in_use(self, fleet):
        fail(fleet, 503)
        assert fleet.request("s1", "/book/1", method="POST")[0] == 502
        fleet.runners["d1"].behaviours.clear()
        assert fleet.request("s1", "/book/2", method="POST")[0] == 200


class TestRefusal:
    """The failure: a true refusal lost its promise."""

    @pytest.mark.parametrize("instance", ["s1", "n1"])
    @pytest.mark.parametrize("path", ONCE)
    def test_stays_one(self, fleet, path, instance):
        fail(fleet, 503, behaviour=RunnerBehaviour.SHED)
        response = fleet.send(instance, path, method="POST")
        assert response.status == 503
        assert response.getheader(OUTCOME) == "not-run"
        assert float(response.getheader("Retry-After")) > 0
        assert count_runs(fleet) == 0

    def test_of_another_endpoint_stays_one(self, fleet):
        fleet.runners["d1"].id = "another"
        response = fleet.send("s1", "/book/1", method="POST")
        assert response.status == 503
        assert response.getheader(OUTCOME) == "not-run"


class TestRepeatableRequest:
    """The failure: the endpoint's own failure was replaced without need."""

    @pytest.mark.parametrize("status", STATUSES)
    def test_gets_the_status_of_the_endpoint(self, fleet, status):
        fail(fleet, status)
        response = fleet.send("s1", "/read/1")
        assert (response.status, response.read()) == (status, b"failed")
        assert response.getheader(SEAL) is not None
