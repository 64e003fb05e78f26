"""Orders under faults of daemon processes and their links."""

import json
import threading

import pytest

from oriolepaddle.daemon.tests.fleet import (
    Fleet,
    await_true,
    count_runs,
    issue,
    send_order,
)
from oriolepaddle.standins import RelayMode, make_object as make


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.close()


@pytest.fixture
def running(fleet):
    return fleet.start(n1="nordur-a", n2="nordur-a", s1="sudur-a")


class TestOrders:
    @pytest.mark.parametrize("mode", [RelayMode.CUT, RelayMode.DROP_OPEN])
    def test_cut_during_the_run_is_unknown_and_run_once(self, fleet, mode):
        fleet.publish([make("route", "visit-desk", kind="service", first_byte_s=1)])
        fleet.start(n1="nordur-a", n2="nordur-a", s1="sudur-a")
        n1, n2 = fleet.daemons["n1"], fleet.daemons["n2"]
        number = issue(n1)
        order = {"stay": "family-11"}
        fleet.desk.may_answer.clear()
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(send_order(n1, number, order))
        )
        caller.start()
        await_true(lambda: count_runs(fleet, order) == 1)
        fleet.desk_link.set_mode(mode)
        caller.join()
        fleet.desk.may_answer.set()
        fleet.desk_link.set_mode(RelayMode.PASS)
        answers += [send_order(daemon, number, order) for daemon in (n1, n2, n1)]
        outcomes = {json.loads(body)["error"]["outcome"] for _, body in answers}
        assert outcomes == {"unknown"}
        assert count_runs(fleet, order) == 1

    def test_endpoint_that_is_down_is_not_run(self, running):
        number = issue(running.daemons["n1"])
        running.desk.close()
        running.desk_link.close()
        order = {"stay": "family-12"}
        _, body = send_order(running.daemons["n1"], number, order)
        assert json.loads(body)["error"]["outcome"] == "not run"
        assert count_runs(running, order) == 0

    def test_issuer_that_slept_sends_nothing_late(self, running):
        n1, n2 = running.daemons["n1"], running.daemons["n2"]
        number = issue(n1)
        n1.freeze()
        order = {"stay": "family-13"}
        answer = send_order(n2, number, order)
        n1.wake()
        outcome = json.loads(answer[1])["error"]["outcome"]
        runs = count_runs(running, order)
        assert runs <= 1
        assert outcome == "unknown" or runs == 0

    def test_killed_issuers_order_is_not_run_again_elsewhere(self, running):
        n1, n2 = running.daemons["n1"], running.daemons["n2"]
        number = issue(n1)
        order = {"stay": "family-10"}
        running.desk.may_answer.clear()
        caller = threading.Thread(target=send_order, args=(n1, number, order))
        caller.start()
        await_true(lambda: count_runs(running, order) == 1)
        n1.kill()
        running.desk.may_answer.set()
        caller.join()
        answer = send_order(n2, number, order)
        assert json.loads(answer[1])["error"]["outcome"] == "unknown"
        assert count_runs(running, order) == 1
