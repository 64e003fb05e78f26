import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.placement.cold_start import BURST_REQUESTS, ColdStartBucket

RATE = 2.6
TOLERATED_RATE_FACTOR, TOLERATED_BURST_REQUESTS = 1.5, 3.0
"""A cold endpoint tolerates its rate times the factor, plus the burst, per second."""


class TestColdStartBucket:
    def test_one_instance_sends_at_the_rate(self):
        bucket = ColdStartBucket(RATE, 0.0, 1.0)
        times = [t / 100 for t in range(1000) if bucket.acquire(t / 100, 1.0)]
        assert len(times) == pytest.approx(10 * RATE, abs=BURST_REQUESTS)
        assert times[0] == 0.0

    def test_instance_without_a_share_sends_nothing(self):
        bucket = ColdStartBucket(RATE, 0.0, 0.0)
        assert not any(bucket.acquire(float(t), 0.0) for t in range(100))

    def test_lost_share_discards_its_balance(self):
        bucket = ColdStartBucket(RATE, 0.0, 1.0)
        assert not bucket.can_acquire(10.0, 0.0)
        assert not bucket.can_acquire(10.0, 1.0)

    def test_endpoint_without_a_rate_gets_no_request(self):
        assert not ColdStartBucket(0.0, 0.0, 1.0).can_acquire(5.0, 1.0)


class ColdEndpointMachine(RuleBasedStateMachine):
    """Shares of the rate move between instances that all have requests to send."""

    PARTS = 8

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.holders = [0] * self.PARTS
        self.buckets = {
            name: ColdStartBucket(RATE, 0.0, self.share(name)) for name in range(4)
        }
        self.sent = []

    def share(self, name):
        return self.holders.count(name) / self.PARTS

    @rule(milliseconds=st.integers(1, 700))
    def pass_time(self, milliseconds):
        self.now_s += milliseconds / 1000

    @rule(part=st.integers(0, PARTS - 1), holder=st.integers(-1, 3))
    def move_part(self, part, holder):
        # A holder of -1 means that no instance has the part. An instance that loses a
        # part refreshes its bucket before it can get the part back, as losing and
        # regaining a part takes longer than the refresh interval.
        former = self.holders[part]
        self.holders[part] = holder
        if former >= 0:
            self.buckets[former].refresh(self.now_s, self.share(former))

    @rule(name=st.integers(0, 3), count=st.integers(1, 5))
    def send(self, name, count):
        for _ in range(count):
            if self.buckets[name].acquire(self.now_s, self.share(name)):
                self.sent.append(self.now_s)

    @invariant()
    def endpoint_is_not_overloaded(self):
        recent = [sent_s for sent_s in self.sent if sent_s > self.now_s - 1.0]
        assert len(recent) <= RATE * TOLERATED_RATE_FACTOR + TOLERATED_BURST_REQUESTS


TestColdEndpointMachine = ColdEndpointMachine.TestCase
TestColdEndpointMachine.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
