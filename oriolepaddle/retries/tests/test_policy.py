import random
from datetime import timedelta

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import (
    AnswerTruncatedError,
    AuthenticationError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    ErrorCode,
    Outcome,
    PeerTimeoutError,
    PeerUnavailableError,
    RefusedError,
    SettingsError,
)
from oriolepaddle.retries import (
    Failure,
    RetryAction,
    RetryBudget,
    RetryPolicy,
    RetryReason,
    RetrySettings,
)

UNREACHABLE = EndpointUnreachableError("no connection")
FAILED = EndpointFailedError("reset")
MAX_ADDED = 0.10


def make_policy(clock=None, **settings):
    return RetryPolicy(
        clock or ManualClock(), RetrySettings(**settings), random.Random(1)
    )


def make_failure(error=UNREACHABLE, **changes):
    values = {
        "attempt": 1,
        "organisation": "ripeners",
        "endpoint": "consiglio-1",
        "is_idempotent": True,
        "bytes_sent_to_caller": 0,
        "deadline_s": 60.0,
        "is_resumable": False,
    }
    return Failure(error=error, **(values | changes))


CASES = [
    # error, is_idempotent, bytes sent, is_resumable, action, reason
    (UNREACHABLE, False, 0, False, "retry", "not_run"),
    (EndpointRefusedError("busy"), False, 0, False, "retry", "not_run"),
    (PeerUnavailableError("down"), False, 0, False, "retry", "not_run"),
    (FAILED, False, 0, False, "give_up", "outcome_unknown"),
    (FAILED, False, 9, True, "give_up", "outcome_unknown"),
    (EndpointTimeoutError("late"), False, 0, True, "give_up", "outcome_unknown"),
    (PeerTimeoutError("late"), False, 0, False, "give_up", "outcome_unknown"),
    (UNREACHABLE, False, 1, False, "give_up", "outcome_unknown"),
    (
        EndpointUnreachableError("sent in part", outcome=Outcome.UNKNOWN),
        False,
        0,
        False,
        "give_up",
        "outcome_unknown",
    ),
    (FAILED, True, 0, False, "retry", "idempotent"),
    (FAILED, True, 9, False, "give_up", "bytes_sent"),
    (FAILED, True, 9, True, "resume", "resumable"),
    (AnswerTruncatedError("cut"), True, 9, True, "resume", "resumable"),
    (PeerTimeoutError("late"), True, 0, False, "retry", "idempotent"),
    (AuthenticationError("gone"), True, 0, False, "give_up", "not_retryable"),
    (
        RefusedError("crashes", code=ErrorCode.QUARANTINED),
        True,
        0,
        False,
        "give_up",
        "not_retryable",
    ),
]


class TestRetryPolicy:
    @pytest.mark.parametrize(
        ("error", "is_idempotent", "sent", "is_resumable", "action", "reason"), CASES
    )
    def test_decides_by_error(
        self, error, is_idempotent, sent, is_resumable, action, reason
    ):
        failure = make_failure(
            error,
            is_idempotent=is_idempotent,
            bytes_sent_to_caller=sent,
            is_resumable=is_resumable,
        )
        decision = make_policy().decide(failure)
        assert (decision.action, decision.reason) == (action, reason)

    def test_attempts_are_bounded(self):
        policy = make_policy(max_attempts=2)
        assert policy.decide(make_failure()).action is RetryAction.RETRY
        decision = policy.decide(make_failure(attempt=2))
        assert decision.reason is RetryReason.ATTEMPTS_EXHAUSTED

    def test_deadline_is_checked_after_a_pause(self):
        clock = ManualClock()
        policy = make_policy(clock)
        failure = make_failure(deadline_s=30.0)
        clock.advance(timedelta(hours=3))
        assert policy.decide(failure).reason is RetryReason.DEADLINE

    def test_declined_retry_withdraws_no_tokens(self):
        policy = make_policy(budget_cap=1.0)
        assert policy.decide(make_failure(deadline_s=0.0)).action == "give_up"
        assert policy.decide(make_failure()).action is RetryAction.RETRY

    @given(attempt=st.integers(1, 10_000))
    @hypothesis_settings(derandomize=True, deadline=None)
    def test_delay_is_bounded(self, attempt):
        policy = make_policy(max_attempts=20_000)
        decision = policy.decide(make_failure(attempt=attempt))
        assert timedelta(0) <= decision.delay <= timedelta(seconds=1)

    @pytest.mark.parametrize(
        "invalid", [{"budget_ratio": 1.0}, {"max_attempts": 0}, {"timeout_cost": 0.5}]
    )
    def test_settings_out_of_range_are_rejected(self, invalid):
        with pytest.raises(SettingsError):
            RetrySettings(**invalid)


def run_requests(policy, outcomes, organisations=3):
    """Run requests to endpoints; return how many retries the policy allowed."""
    retries = 0
    for number, (endpoint, is_working) in enumerate(outcomes):
        organisation = f"organisation-{number % organisations}"
        if is_working:
            policy.record_success(organisation, endpoint)
            continue
        failure = make_failure(organisation=organisation, endpoint=endpoint)
        if policy.decide(failure).action is RetryAction.RETRY:
            retries += 1
            policy.record_success(organisation, "other")
    return retries


class TestRetryBudgets:
    @pytest.mark.parametrize(
        "is_working",
        [
            lambda number: False,
            lambda number: number % 9 != 0,
            lambda number: (number // 200) % 2 == 0,
            lambda number: number % 2 == 0,
            lambda number: number < 1000,
        ],
        ids=["all down", "one endpoint down", "flapping", "half refuse", "then down"],
    )
    @pytest.mark.parametrize("organisations", [3, 23_000])
    def test_retries_stay_under_their_share(self, is_working, organisations):
        outcomes = [(f"endpoint-{n % 9}", is_working(n)) for n in range(5000)]
        retries = run_requests(make_policy(), outcomes, organisations)
        assert retries < MAX_ADDED * len(outcomes)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=400))
    @hypothesis_settings(derandomize=True, deadline=None)
    def test_any_sequence_stays_within_the_bound(self, outcomes):
        settings = RetrySettings()
        retries = run_requests(make_policy(), outcomes)
        bound = settings.budget_cap + settings.budget_ratio * len(outcomes)
        assert retries <= bound

    def test_failing_organisation_leaves_retries_to_others(self):
        policy = make_policy()
        for _ in range(100):
            policy.decide(make_failure(organisation="failing"))
        decision = policy.decide(make_failure(organisation="failing"))
        assert decision.reason is RetryReason.ORGANISATION_BUDGET
        other = make_failure(organisation="other", endpoint="consiglio-2")
        assert policy.decide(other).action is RetryAction.RETRY

    def test_failing_endpoint_leaves_retries_to_others(self):
        policy = make_policy()
        for number in range(100):
            policy.decide(make_failure(organisation=f"organisation-{number}"))
        failing = make_failure(organisation="new")
        assert policy.decide(failing).reason is RetryReason.ENDPOINT_BUDGET
        other = make_failure(organisation="new", endpoint="consiglio-2")
        assert policy.decide(other).action is RetryAction.RETRY

    def test_timeout_costs_more(self):
        settings = {"budget_cap": 2.0, "timeout_cost": 2.0}
        late = make_failure(EndpointTimeoutError("late"))
        policy = make_policy(**settings)
        assert policy.decide(late).action is RetryAction.RETRY
        assert policy.decide(make_failure()).reason is RetryReason.INSTANCE_BUDGET
        policy = make_policy(**settings)
        assert policy.decide(make_failure()).action is RetryAction.RETRY
        assert policy.decide(late).reason is RetryReason.INSTANCE_BUDGET
        assert policy.decide(make_failure()).action is RetryAction.RETRY

    def test_idle_organisation_regains_retries(self):
        policy = make_policy()
        failure = make_failure(organisation="quiet", endpoint="a")
        while policy.decide(failure).action is RetryAction.RETRY:
            policy.record_success("busy", "b")
        for _ in range(1000):
            policy.record_success("busy", "b")
        assert policy.decide(failure).action is RetryAction.RETRY

    def test_number_of_buckets_is_bounded(self):
        budget = RetryBudget(cap=1.0, share=0.0, max_names=100)
        for number in range(1000):
            budget.deposit(str(number), 0.1)
        assert len(budget) == 100
