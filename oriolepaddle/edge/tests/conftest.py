import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.tests.crash_fakes import Endpoints, Instance


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def endpoints():
    return Endpoints()


@pytest.fixture
def instances(clock, endpoints):
    return [Instance(clock, endpoints) for _ in range(2)]
