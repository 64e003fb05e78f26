import copy

import pytest

from oriolepaddle.errors import RefusedError
from oriolepaddle.quarantine import (
    StartAction,
)
from oriolepaddle.quarantine.tests.fleet import SETTINGS, Fleet, make_evidence

CRASHER = b"c" * 16
INNOCENT = b"i" * 16


class TestClaims:
    @pytest.mark.parametrize("first", ["a", "b"])
    @pytest.mark.parametrize("gap_s", [0.0, 0.1, 0.39])
    def test_claims_within_a_spread_time_start_one_run(self, gap_s, first):
        """Each claim arrives one full spread time after it was made."""
        fleet = Fleet("abc")
        fleet.crash("c", CRASHER, "e1")
        fleet.tick()
        second = "b" if first == "a" else "a"
        wait_s = SETTINGS.claim_min_age.total_seconds()
        steps = [
            (0.0, 0, lambda: request_start(first)),
            (gap_s, 0, lambda: request_start(second)),
            (0.4, 1, lambda: send_report(first, second)),
            (gap_s + 0.4, 1, lambda: send_report(second, first)),
            (wait_s, 2, lambda: request_start(first)),
            (gap_s + wait_s, 2, lambda: request_start(second)),
        ]
        reports = {}
        runs = []

        def request_start(name):
            endpoint = {"a": "e2", "b": "e3"}[name]
            advice = fleet[name].advise_start(CRASHER, endpoint)
            reports.setdefault(name, copy.deepcopy(fleet[name].export()))
            if advice.action is StartAction.START:
                runs.append(fleet[name].start_run(CRASHER, endpoint))

        def send_report(sender, receiver):
            fleet[receiver].merge(reports[sender])

        now_s = 0.0
        for at_s, _, step in sorted(steps, key=lambda each: each[:2]):
            # The extra microsecond keeps rounding from making a wait too short.
            fleet.advance(at_s - now_s + 1e-6)
            now_s = at_s
            step()
        assert len(runs) == 1

    def test_repeat_at_another_instance_waits_for_the_run(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet["a"].advise_start(CRASHER, "e2")
        fleet.advance(0.8)
        run = fleet["a"].start_run(CRASHER, "e2")
        fleet.tick()
        assert fleet["b"].advise_start(CRASHER, "e3").action is StartAction.WAIT
        assert fleet["b"].advise_start(b"new", "e2").action is StartAction.AVOID
        run.finish()
        fleet.tick()
        assert fleet["b"].advise_start(CRASHER, "e3").action is StartAction.START

    def test_run_started_before_the_report_blocks_other_instances(self):
        fleet = Fleet()
        early = fleet["b"].start_run(CRASHER, "e2")
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        assert fleet["a"].advise_start(CRASHER, "e3").action is StartAction.WAIT
        early.fail(make_evidence())
        fleet.tick()
        with pytest.raises(RefusedError):
            fleet["a"].advise_start(CRASHER, "e3")

    def test_claim_of_a_vanished_instance_ends(self):
        fleet = Fleet()
        fleet.crash("a", CRASHER, "e1")
        fleet.tick()
        fleet["a"].advise_start(CRASHER, "e2")
        fleet.tick()
        del fleet.nodes["a"]
        assert fleet["b"].advise_start(CRASHER, "e3").action is StartAction.WAIT
        fleet.advance(SETTINGS.claim_life.total_seconds())
        advice = fleet["b"].advise_start(CRASHER, "e3")
        assert advice.endpoint == "e3"
