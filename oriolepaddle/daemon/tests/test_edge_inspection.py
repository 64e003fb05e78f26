import json

import pytest
from typer.testing import CliRunner

from oriolepaddle.crashes import RequestKeys
from oriolepaddle.ctl.commands import app
from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    NETWORK,
    EdgeFleet,
    await_true,
)

TOKEN = "a token of the test fleet"
LIST = ("quarantine", "list")


@pytest.fixture(scope="module")
def fleet():
    fleet = EdgeFleet()
    fleet.add_runner("d1", DESK)
    fleet.add_runner("e1", ENGINES, events=3)
    for name in ("n1", "n2"):
        host = NETWORK.add_host()
        (port,) = NETWORK.find_ports(host, 1)
        fleet.add_instance(name, metrics_address=f"{host}:{port}", operator_token=TOKEN)
    fleet.await_ready()
    yield fleet
    fleet.close()


def run(fleet, *arguments, token=TOKEN):
    address = fleet.settings["n1"].metrics_address
    options = ["--address", address, "--token", token]
    return CliRunner().invoke(app, [*arguments, *options])


def read(fleet, *arguments):
    result = run(fleet, *arguments, "--json")
    assert result.exit_code == 0, result.output
    return json.loads(result.output)


class TestInspection:
    def test_shows_the_status(self, fleet):
        status = read(fleet, "status")
        assert status["instance"] == "n1"
        assert status["highest_ticket"] == 1
        assert status["is_ready"] and status["is_hub"] and not status["is_draining"]
        assert 0 <= status["endpoints_age_s"] < 10

    def test_lists_instances(self, fleet):
        (other,) = read(fleet, "instances")
        assert other["instance"] == "n2"
        assert other["is_alive"]

    def test_lists_endpoints(self, fleet):
        listed = {item["endpoint"]: item for item in read(fleet, "endpoints")}
        assert set(listed) == {"d1", "e1"}
        assert listed["e1"]["may_get_work"]

    def test_shows_a_limit(self, fleet):
        assert read(fleet, "limits", "norddal")["organisation"] == "norddal"

    def test_explains_a_route(self, fleet):
        explained = read(fleet, "route", "explain", "ask", "--prompt", "when " * 900)
        assert explained["endpoint"] == "e1"
        (score,) = explained["scores"]
        assert score["uncached_tokens"] == 900

    def test_explains_a_route_that_is_bound_elsewhere(self, fleet):
        explained = read(fleet, "route", "explain", "home")
        assert explained["endpoint"] is None
        assert explained["residency"] == ["sudur"]

    @pytest.mark.parametrize(
        "arguments", [("route", "explain", "none"), ("limits", "nobody")]
    )
    def test_reports_unknown_names(self, fleet, arguments):
        result = run(fleet, *arguments)
        assert result.exit_code == 1
        assert "route_unknown" in result.output

    def test_needs_the_token(self, fleet):
        result = run(fleet, "status", token="wrong")
        assert result.exit_code == 1
        assert "permission" in result.output


class TestGauges:
    def test_are_among_the_metrics(self, fleet):
        values = {}

        def read_metrics():
            lines = run(fleet, "metrics").output.splitlines()
            pairs = [line.split() for line in lines if not line.startswith("#")]
            values.update({name: float(value) for name, value in pairs})
            return values["oriolepaddle_ready"] == 1.0

        await_true(read_metrics)
        assert values["oriolepaddle_store_calls"] >= 1
        assert values["oriolepaddle_peers_reachable"] == 1
        assert values["oriolepaddle_config_age_seconds"] < 10


class TestQuarantine:
    def test_shows_and_clears_what_crashes_endpoints(self, fleet):
        crashes = fleet.instances["n1"].context.crashes
        for name in ("e8@1", "e9@1"):
            keys = RequestKeys(f"request:{name}", frozenset({"engines/dead"}))
            crashes.record_crash(name, keys, has_begun=True)
        entries = {item["fingerprint"]: item for item in read(fleet, *LIST)}
        assert entries["engines/dead"]["state"] == "quarantined"
        assert entries["engines/dead"]["endpoints"] == ["e8@1", "e9@1"]
        assert entries["request:e8@1"]["state"] == "suspect"
        metrics = run(fleet, "metrics").output
        assert 'oriolepaddle_crash_events_total{event="crash_cause_found"} 1.0' in (
            metrics
        )
        assert read(fleet, "quarantine", "clear", "engines/dead")["cleared"]
        listed = {item["fingerprint"] for item in read(fleet, *LIST)}
        assert "engines/dead" not in listed
        assert run(fleet, "quarantine", "clear", "engines/dead").exit_code != 0
