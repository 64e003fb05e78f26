import pytest

from oriolepaddle.catalog import EndpointState
from oriolepaddle.placement.capacity import RegionCapacity
from oriolepaddle.placement.load import INITIAL_PREFILL_TOKENS_PER_S
from oriolepaddle.placement.tests.engines import DESK, ENGINES, register

SERVICE_S = 0.024


@pytest.fixture
def capacity(clock, catalog):
    return RegionCapacity(
        clock, catalog, lambda name: name.split("-")[0], lambda service: SERVICE_S
    )


class TestAddedWait:
    def test_is_shared_by_the_slots_of_a_region(self, capacity, catalog):
        register(catalog, "d1", DESK)
        register(catalog, "d2", DESK)
        register(catalog, "far", DESK, data_centre="sudur-a")
        added_s = capacity.estimate_added_wait_s("nordur", DESK, 0)
        assert added_s == pytest.approx(SERVICE_S / 12)

    def test_of_an_engine_grows_with_the_prompt(self, capacity, catalog):
        for number in range(4):
            register(catalog, f"e{number}")
        added_s = capacity.estimate_added_wait_s("nordur", ENGINES, 9000)
        assert added_s == pytest.approx(9000 / INITIAL_PREFILL_TOKENS_PER_S / 4)

    def test_is_infinite_without_a_usable_endpoint(self, capacity, catalog, clock):
        register(catalog, "leaving", DESK, state=EndpointState.LEAVING)
        register(catalog, "cold", DESK, cold_until_s=clock.monotonic_s() + 5)
        assert capacity.estimate_added_wait_s("nordur", DESK, 0) == float("inf")
