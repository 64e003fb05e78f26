import pytest

from oriolepaddle.config.tests.fleet import Fleet, make_ticket


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.platform.publish("tickets/1", make_ticket(1, ("x", 1), ("y", 1)))
    fleet.run(10)
    assert fleet.distinct_rates() == [{"x": 1, "y": 1}]
    return fleet
