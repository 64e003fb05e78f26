import contextlib
import http.client
import time

import pytest

from oriolepaddle.daemon.tests.edge_fleet import ENGINES, EdgeFleet
from oriolepaddle.platform.standins import CrashStage, RunnerBehaviour

RUNNER_COUNT = 8
MAX_CRASHES = 5
"""The number of crashes after which the platform's rules bind."""
DEADLY_PART = "dead"
DEADLY_BODY = b"deadly"
REPORT_SPREAD_S = 0.3


@pytest.fixture
def fleet():
    fleet = EdgeFleet()
    for number in range(RUNNER_COUNT):
        runner = fleet.add_runner(f"e{number}", ENGINES, events=5)
        runner.deadly_part = DEADLY_PART
    fleet.add_instance("n1")
    fleet.add_instance("n2")
    fleet.await_ready()
    yield fleet
    fleet.close()


def send_prompt(fleet, instance, *parts):
    return fleet.request(
        instance,
        "/ask/1",
        method="POST",
        X_Oriolepaddle_Token_Count="3000,50",
        X_Oriolepaddle_Prompt_Prefix=",".join(f"{part}:700" for part in parts),
    )


def send_deadly_prompts(fleet):
    """Send more such prompts than there are runners, no two of them alike."""
    return [
        send_prompt(
            fleet, f"n{1 + number % 2}", "5c1e", "91bd", DEADLY_PART, f"a{number}"
        )[0]
        for number in range(RUNNER_COUNT + 2)
    ]


def count_crashes(fleet):
    return sum(runner.has_crashed for runner in fleet.runners.values())


class TestResetConnections:
    def test_refuse_no_part_of_the_prompts(self, fleet):
        for runner in fleet.runners.values():
            runner.behaviours.extend([RunnerBehaviour.CUT_BODY] * 3)
        for number in range(2 * RUNNER_COUNT):
            send_prompt(fleet, "n1", "5c1e", "91bd", f"a{number}")
        for runner in fleet.runners.values():
            runner.behaviours.clear()
        for instance in ("n1", "n2"):
            assert send_prompt(fleet, instance, "5c1e", "91bd", "b1")[0] == 200


class TestCrashingPart:
    def test_does_not_crash_one_endpoint_after_another(self, fleet):
        statuses = send_deadly_prompts(fleet)
        assert count_crashes(fleet) <= MAX_CRASHES
        assert statuses[-1] == 503

    def test_does_not_affect_prompts_that_share_other_parts(self, fleet):
        send_deadly_prompts(fleet)
        for instance in ("n1", "n2"):
            status, _ = send_prompt(fleet, instance, "5c1e", "91bd", "b1")
            assert status == 200


class TestRepeatedRequest:
    @pytest.mark.parametrize("path", ["/ask/1", "/chat/1"])
    @pytest.mark.parametrize("stage", CrashStage)
    def test_does_not_crash_one_endpoint_after_another(self, fleet, stage, path):
        for runner in fleet.runners.values():
            runner.deadly_body, runner.crash_stage = DEADLY_BODY, stage
        assert send_until_refused(fleet, path) == 503
        assert count_crashes(fleet) <= MAX_CRASHES


def send_until_refused(fleet, path):
    """Send one request to the instances in turn; return the last status."""
    status = 0
    for number in range(3 * RUNNER_COUNT):
        response = fleet.send(
            f"n{1 + number % 2}", path, method="POST", body=DEADLY_BODY
        )
        status = response.status
        with contextlib.suppress(http.client.HTTPException, OSError):
            response.read()
        if status == 503:
            break
        time.sleep(REPORT_SPREAD_S)
    return status
