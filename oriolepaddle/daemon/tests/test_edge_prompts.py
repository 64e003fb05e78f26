import pytest

from oriolepaddle.daemon.tests.edge_fleet import ENGINES, EdgeFleet
from oriolepaddle.placement import PeerLoad

NAMES = ("e1", "e2")
BUSY = PeerLoad(40, 400_000, 0)


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    for name in NAMES:
        fleet.add_runner(name, ENGINES, events=5)
    fleet.add_instance("n1")
    fleet.await_ready()
    yield fleet
    fleet.close()


def send_prompt(fleet, last_part):
    status, _ = fleet.request(
        "n1",
        "/ask/1",
        method="POST",
        X_Oriolepaddle_Token_Count="9000,50",
        X_Oriolepaddle_Prompt_Prefix=f"5c1e:2500,91bd:4000,{last_part}:2500",
    )
    assert status == 200


class TestPrefixSource:
    """Guards against a second prefill while the engine with the prefix is busy."""

    def test_other_engine_gets_the_address_to_fetch_from(self, fleet):
        send_prompt(fleet, "a1")
        (first,) = [name for name in NAMES if fleet.runners[name].received]
        (other,) = set(NAMES) - {first}
        instance = fleet.instances["n1"]
        instance.context.placer.apply_peer("n2", {fleet.runners[first].id: BUSY})
        send_prompt(fleet, "a2")
        headers = fleet.runners[other].received[-1].headers
        assert headers["kv-fetch"] == fleet.runners[first].address
        assert b"oriolepaddle_prefix_fetches_total 1.0" in instance.metrics.render()

    def test_same_engine_gets_no_address(self, fleet):
        send_prompt(fleet, "a1")
        send_prompt(fleet, "a2")
        received = [run for name in NAMES for run in fleet.runners[name].received]
        assert len(received) == 2
        assert all("kv-fetch" not in run.headers for run in received)
