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
    def test_busy_organisations_differ_by_at_most_one_request(self, requests):
        queue = FairQueue()
        for sequence, (organisation, cost) in enumerate(requests):
            queue.push(make_waiter(organisation, sequence, float(cost)))
        remaining = {name: sum(o == name for o, _ in requests) for name in "abc"}
        served = dict.fromkeys("abc", 0.0)
        while all(remaining.values()):
            waiter = queue.pop()
            served[waiter.organisation] += waiter.cost_tokens
            remaining[waiter.organisation] -= 1
            assert max(served.values()) - min(served.values()) <= 500

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.sampled_from(["push a", "push b", "pop", "remove"])))
    def test_each_request_is_returned_once(self, steps):
        queue = FairQueue()
        pushed = []
        for sequence, step in enumerate(steps):
            if step.startswith("push"):
                pushed.append(make_waiter(step[-1], sequence))
                queue.push(pushed[-1])
            elif step == "pop":
                waiter = queue.pop()
                assert (waiter is None) == (not pushed)
                pushed = [item for item in pushed if item is not waiter]
            elif pushed:
                queue.remove(pushed.pop(0))
            assert len(queue) == len(pushed)

    def test_new_organisation_starts_at_the_current_virtual_time(self):
        queue = FairQueue()
        for sequence in range(20):
            queue.push(make_waiter("busy", sequence))
        for _ in range(10):
            queue.pop()
        for sequence in range(20, 30):
            queue.push(make_waiter("new", sequence))
        turns = [queue.pop().organisation for _ in range(10)]
        assert 4 <= turns.count("new") <= 6

    def test_idle_organisation_lags_by_at_most_the_credit(self):
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
