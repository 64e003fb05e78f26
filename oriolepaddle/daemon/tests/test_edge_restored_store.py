import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    KEY,
    OTHER_KEY,
    EdgeFleet,
    await_true,
    make_document,
)
from oriolepaddle.platform.standins import StoreMode

WITHDRAWAL_BOUND_S = 5.0
"""The time within which a withdrawn key is refused everywhere."""
HEARTBEATS = 12
UNKNOWN_KEY_STATUS = 401
OK = 200


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    for name in ("d1", "d2"):
        fleet.add_runner(name, DESK)
    for name in ("n1", "n2", "n3"):
        fleet.add_instance(name)
    fleet.await_ready()
    yield fleet
    fleet.close()


def withdraw(version):
    document = make_document(version)
    return document | {"tenants": [{"name": "sudurvik", "apiKeys": [OTHER_KEY]}]}


def heartbeat(fleet, count=HEARTBEATS):
    for _ in range(count):
        for name in fleet.runners:
            fleet.register(name)


def find_statuses(fleet, key):
    return {fleet.request(name, "/read/1", key=key)[0] for name in fleet.instances}


class TestRestoredStore:
    """The failure: a key that was withdrawn after a restoration stayed in use."""

    @pytest.mark.parametrize("is_behind", [False, True])
    def test_withdrawal_below_the_watched_revision_is_read(self, fleet, is_behind):
        copy = fleet.store.copy()
        heartbeat(fleet)
        assert find_statuses(fleet, KEY) == {OK}
        fleet.store.mode = StoreMode.RESET
        fleet.store.restore(copy)
        fleet.publish(withdraw(2))
        heartbeat(fleet, 1 if is_behind else 2 * HEARTBEATS)
        fleet.store.mode = StoreMode.SERVING
        await_true(
            lambda: find_statuses(fleet, KEY) == {UNKNOWN_KEY_STATUS},
            WITHDRAWAL_BOUND_S,
        )
        assert find_statuses(fleet, OTHER_KEY) == {OK}
        # An instance that learns from others doesn't read the store itself.
        assert any(item.catalog.era == 2 for item in fleet.instances.values())

    def test_older_copy_doesnt_bring_a_withdrawn_key_back(self, fleet):
        copy = fleet.store.copy()
        fleet.publish(withdraw(2))
        await_true(lambda: find_statuses(fleet, KEY) == {UNKNOWN_KEY_STATUS})
        fleet.store.mode = StoreMode.RESET
        fleet.store.restore(copy)
        heartbeat(fleet)
        fleet.store.mode = StoreMode.SERVING
        await_true(lambda: 2 in {item.catalog.era for item in fleet.instances.values()})
        # Written again by the operator.
        assert find_statuses(fleet, KEY) == {UNKNOWN_KEY_STATUS}
        fleet.publish(withdraw(2))
        await_true(lambda: find_statuses(fleet, OTHER_KEY) == {OK})
        assert find_statuses(fleet, KEY) == {UNKNOWN_KEY_STATUS}
