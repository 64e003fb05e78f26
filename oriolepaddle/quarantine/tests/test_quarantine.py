import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError, SettingsError
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import (
    ConnectionEnd,
    CrashEvidence,
    EntryState,
    HealthAnswer,
    Quarantine,
    QuarantineSettings,
    StartAction,
)
from oriolepaddle.quarantine.tests.fleet import SETTINGS, make_evidence, start_run

CRASHER = b"c" * 16
INNOCENT = b"i" * 16
LINK_FAULT = CrashEvidence(ConnectionEnd.RESET, HealthAnswer.ANSWERED, "1", "1")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock, SETTINGS, PeerIdentity("a", 1, "lombardia-lodi"))


def crash(quarantine, clock, fingerprint, endpoint, evidence=None):
    run = start_run(quarantine, clock, fingerprint, endpoint)
    run.fail(evidence or make_evidence())


def is_refused(quarantine, fingerprint):
    try:
        quarantine.check(fingerprint)
    except RefusedError as error:
        assert error.code is ErrorCode.QUARANTINED
        assert error.outcome is Outcome.NOT_RUN
        return True
    return False


class TestQuarantine:
    def test_second_crash_quarantines(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        assert not is_refused(quarantine, CRASHER)
        crash(quarantine, clock, CRASHER, "e2")
        assert is_refused(quarantine, CRASHER)
        with pytest.raises(RefusedError):
            quarantine.advise_start(CRASHER, "e3")
        with pytest.raises(RefusedError):
            quarantine.start_run(CRASHER, "e3")

    def test_finished_run_clears_a_suspect(self, quarantine, clock):
        crash(quarantine, clock, INNOCENT, "e1")
        start_run(quarantine, clock, INNOCENT, "e2").finish()
        assert not quarantine.has_active_crashes(INNOCENT)
        crash(quarantine, clock, INNOCENT, "e3")
        assert not is_refused(quarantine, INNOCENT)

    def test_late_answer_does_not_clear_a_quarantined_request(self, quarantine, clock):
        late = quarantine.start_run(CRASHER, "e1")
        quarantine.start_run(CRASHER, "e2").fail(make_evidence())
        # Another instance's report of a second crash arrives during a run.
        other = Quarantine(clock, SETTINGS, PeerIdentity("b", 1, "lombardia-lodi"))
        other.start_run(CRASHER, "e3").fail(make_evidence())
        quarantine.merge(other.export())
        late.finish()
        assert is_refused(quarantine, CRASHER)

    def test_runs_at_the_same_crash_count_as_one(self, quarantine):
        for incarnation in ("1", None):
            fingerprint = (incarnation or "none").encode()
            runs = [quarantine.start_run(fingerprint, "e1") for _ in range(3)]
            for run in runs:
                run.fail(make_evidence(incarnation))
                run.fail(make_evidence(incarnation))
            assert quarantine.has_active_crashes(fingerprint)
            assert not is_refused(quarantine, fingerprint)

    def test_quarantine_clears_fingerprints_at_the_same_crash(self, quarantine, clock):
        runs = [quarantine.start_run(each, "e1") for each in (CRASHER, INNOCENT)]
        for run in runs:
            run.fail(make_evidence())
        assert quarantine.has_active_crashes(INNOCENT)
        crash(quarantine, clock, CRASHER, "e2")
        assert is_refused(quarantine, CRASHER)
        assert not quarantine.has_active_crashes(INNOCENT)

    def test_link_fault_and_cancel_are_no_crash(self, quarantine):
        run = quarantine.start_run(INNOCENT, "e1")
        run.fail(LINK_FAULT)
        quarantine.start_run(INNOCENT, "e1").abandon()
        assert quarantine.list() == ()

    def test_late_health_answer_refutes_a_crash(self, quarantine, clock):
        unexplained = CrashEvidence(ConnectionEnd.RESET, incarnation_before="1")
        crash(quarantine, clock, INNOCENT, "e1", unexplained)
        quarantine.record_health_answer("e1", "1", clock.monotonic_s())
        assert quarantine.has_active_crashes(INNOCENT)
        clock.advance(timedelta(seconds=1))
        quarantine.record_health_answer("e1", "1", clock.monotonic_s())
        assert not quarantine.has_active_crashes(INNOCENT)

    def test_crash_counts_after_one_of_its_incarnation_was_refuted(
        self, quarantine, clock
    ):
        crash(quarantine, clock, CRASHER, "e1")
        clock.advance(timedelta(seconds=1))
        quarantine.record_health_answer("e1", "1", clock.monotonic_s())
        crash(quarantine, clock, CRASHER, "e1")
        assert quarantine.has_active_crashes(CRASHER)

    def test_entries_expire_over_a_pause(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        crash(quarantine, clock, CRASHER, "e2")
        clock.advance(SETTINGS.life)
        assert not is_refused(quarantine, CRASHER)
        assert quarantine.list() == ()

    def test_crashes_expire_one_by_one(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        clock.advance(SETTINGS.life / 2)
        crash(quarantine, clock, CRASHER, "e2")
        clock.advance(SETTINGS.life / 2)
        (entry,) = quarantine.list()
        assert [each.endpoint for each in entry.crashes] == ["e2"]

    def test_operator_clears(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        crash(quarantine, clock, CRASHER, "e2")
        assert quarantine.list()[0].state is EntryState.QUARANTINED
        quarantine.clear(CRASHER)
        assert quarantine.list()[0].state is EntryState.CLEARED
        assert not is_refused(quarantine, CRASHER)

    def test_entries_are_bounded_and_quarantined_ones_stay(self, clock):
        settings = QuarantineSettings(max_entries=10)
        identity = PeerIdentity("a", 1, "lombardia-lodi")
        quarantine = Quarantine(clock, settings, identity)
        crash(quarantine, clock, CRASHER, "e1")
        crash(quarantine, clock, CRASHER, "e2")
        for number in range(100):
            crash(quarantine, clock, number.to_bytes(16, "big"), "e3")
        assert len(quarantine.list()) == 10
        assert is_refused(quarantine, CRASHER)


class TestQuarantineSettings:
    @pytest.mark.parametrize(
        "wrong",
        [
            {"crash_limit": 1},
            {"spread_time": timedelta(0)},
            {"life": timedelta(0)},
            {"claim_renewal": timedelta(minutes=1)},
        ],
    )
    def test_settings_out_of_range_are_refused(self, wrong):
        with pytest.raises(SettingsError):
            QuarantineSettings(**wrong)


class TestTrials:
    def test_suspect_avoids_the_endpoint_that_crashed(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        advice = quarantine.advise_start(CRASHER, "e1")
        assert advice.action is StartAction.OTHER_ENDPOINT
        only = quarantine.advise_start(CRASHER, "e1", is_only_candidate=True)
        assert only.action is StartAction.WAIT

    def test_suspects_run_apart(self, quarantine, clock):
        for run in [quarantine.start_run(each, "e1") for each in (CRASHER, INNOCENT)]:
            run.fail(make_evidence())
        run = start_run(quarantine, clock, CRASHER, "e2")
        advice = quarantine.advise_start(INNOCENT, "e2")
        assert advice.action is StartAction.OTHER_ENDPOINT
        assert quarantine.advise_start(b"new", "e2").action is StartAction.AVOID
        run.abandon()
        start_run(quarantine, clock, INNOCENT, "e2").finish()

    def test_suspect_has_one_run_at_a_time(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        run = start_run(quarantine, clock, CRASHER, "e2")
        for _ in range(3):
            assert quarantine.advise_start(CRASHER, "e3").action is StartAction.WAIT
            clock.advance(SETTINGS.claim_min_age)
        run.finish()
        assert quarantine.advise_start(CRASHER, "e3").action is StartAction.START

    @pytest.mark.parametrize("offset_ms", range(0, 2000, 100))
    def test_wait_is_never_zero(self, quarantine, clock, offset_ms):
        crash(quarantine, clock, CRASHER, "e1")
        clock.advance(timedelta(milliseconds=offset_ms))
        quarantine.advise_start(CRASHER, "e2")
        # Two steps and one step differ in the last digit due to rounding.
        clock.advance(SETTINGS.claim_min_age * 0.37)
        for _ in range(3):
            advice = quarantine.advise_start(CRASHER, "e2")
            if advice.action is StartAction.START:
                return
            assert advice.delay > timedelta(0)
            clock.advance(advice.delay)
        pytest.fail("the claim never allowed a start")

    def test_start_without_a_standing_claim_is_not_run(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        quarantine.advise_start(CRASHER, "e2")
        with pytest.raises(RefusedError) as refusal:
            quarantine.start_run(CRASHER, "e2")
        assert refusal.value.outcome is Outcome.NOT_RUN

    def test_claim_is_void_after_a_pause(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        quarantine.advise_start(CRASHER, "e2")
        clock.advance(SETTINGS.claim_min_age)
        assert quarantine.advise_start(CRASHER, "e2").action is StartAction.START
        clock.advance(timedelta(minutes=5))
        with pytest.raises(RefusedError):
            quarantine.start_run(CRASHER, "e2")
        assert quarantine.advise_start(CRASHER, "e2").action is StartAction.WAIT

    def test_threads_start_a_suspect_once(self, quarantine, clock):
        crash(quarantine, clock, CRASHER, "e1")
        quarantine.advise_start(CRASHER, "e2")
        clock.advance(SETTINGS.claim_min_age)
        barrier = threading.Barrier(8)

        def start():
            barrier.wait(10)
            try:
                return quarantine.start_run(CRASHER, "e2")
            except RefusedError:
                return None

        with ThreadPoolExecutor(8) as executor:
            futures = [executor.submit(start) for _ in range(8)]
        assert sum(future.result() is not None for future in futures) == 1
