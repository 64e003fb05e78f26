import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.placement.cold_start import BURST, ColdStartBucket

RATE = 2.6
BORNE_PART, BORNE_MORE = 1.5, 3.0
"""What a cold endpoint bears in a second: its rate times the part, and some more."""


class TestColdStartBucket:
    def test_one_instance_sends_at_the_rate(self):
        bucket = ColdStartBucket(RATE, 0.0, 1.0)
        times = [t / 100 for t in range(1000) if bucket.take(t / 100, 1.0)]
        assert len(times) == pytest.approx(10 * RATE, abs=BURST)
        assert times[0] == 0.0

    def test_instance_without_a_part_sends_nothing(self):
        bucket = ColdStartBucket(RATE, 0.0, 0.0)
        assert not any(bucket.take(float(t), 0.0) for t in range(100))

    def test_part_that_is_lost_takes_what_was_held_with_it(self):
        bucket = ColdStartBucket(RATE, 0.0, 1.0)
        assert not bucket.is_open(10.0, 0.0)
        assert not bucket.is_open(10.0, 1.0)

    def test_endpoint_without_a_rate_gets_nothing(self):
        assert not ColdStartBucket(0.0, 0.0, 1.0).is_open(5.0, 1.0)


class ColdEndpointMachine(RuleBasedStateMachine):
    """Instances whose parts move between them while all have requests to send."""

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
        # Held by nobody, as far as the instances can tell, or by one of them. A
        # part that has left an instance stays away for longer than a round.
        former = self.holders[part]
        self.holders[part] = holder
        if former >= 0:
            self.buckets[former].renew(self.now_s, self.share(former))

    @rule(name=st.integers(0, 3), count=st.integers(1, 5))
    def send(self, name, count):
        for _ in range(count):
            if self.buckets[name].take(self.now_s, self.share(name)):
                self.sent.append(self.now_s)

    @invariant()
    def endpoint_bears_it(self):
        last = [sent_s for sent_s in self.sent if sent_s > self.now_s - 1.0]
        assert len(last) <= RATE * BORNE_PART + BORNE_MORE


TestColdEndpointMachine = ColdEndpointMachine.TestCase
TestColdEndpointMachine.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
