from hypothesis import given, settings, strategies as st

from oriolepaddle.admission import FairQueue, Waiter
from oriolepaddle.admission.fair_queue import CREDIT_TOKENS


def make_waiter(organisation, sequence, cost=100.0, weight=1.0):
    return Waiter(organisation, weight, cost, 100.0, 0, 0.0, sequence)


class TestFairQueue:
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 500)), max_size=60)
    )
    def test_busy_organisations_stay_within_one_request(self, requests):
        queue = FairQueue()
        for sequence, (organisation, cost) in enumerate(requests):
            queue.push(make_waiter(organisation, sequence, float(cost)))
        left = {name: sum(o == name for o, _ in requests) for name in "abc"}
        served = dict.fromkeys("abc", 0.0)
        while all(left.values()):
            waiter = queue.pop()
            served[waiter.organisation] += waiter.cost_tokens
            left[waiter.organisation] -= 1
            assert max(served.values()) - min(served.values()) <= 500

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.sampled_from(["push a", "push b", "pop", "remove"])))
    def test_gives_back_each_request_once(self, steps):
        queue = FairQueue()
        held = []
        for sequence, step in enumerate(steps):
            if step.startswith("push"):
                held.append(make_waiter(step[-1], sequence))
                queue.push(held[-1])
            elif step == "pop":
                waiter = queue.pop()
                assert (waiter is None) == (not held)
                held = [item for item in held if item is not waiter]
            elif held:
                queue.remove(held.pop(0))
            assert len(queue) == len(held)

    def test_newcomer_starts_at_the_present_time(self):
        queue = FairQueue()
        for sequence in range(20):
            queue.push(make_waiter("busy", sequence))
        for _ in range(10):
            queue.pop()
        for sequence in range(20, 30):
            queue.push(make_waiter("idle", sequence))
        turns = [queue.pop().organisation for _ in range(10)]
        assert 4 <= turns.count("idle") <= 6

    def test_pause_saves_up_no_more_than_the_credit(self):
        queue = FairQueue()
        queue.push(make_waiter("idle", 0))
        queue.pop()
        for sequence in range(400):
            queue.push(make_waiter("busy", sequence))
        for _ in range(200):
            queue.pop()
        for sequence in range(400, 600):
            queue.push(make_waiter("idle", sequence))
        turns = [queue.pop().organisation for _ in range(100)]
        ahead = turns.count("idle") - turns.count("busy")
        assert ahead * 100.0 <= CREDIT_TOKENS + 100.0
