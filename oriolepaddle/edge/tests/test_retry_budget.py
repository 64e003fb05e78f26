from datetime import timedelta

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.retry_budget import RetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 52.0, 10.0


def make_budget(clock, instances):
    return RetryBudget(clock, RATIO, EXTRA, WINDOW_S, lambda: instances)


class TestRetryBudget:
    def test_all_instances_together_keep_the_bound(self):
        """The load: every request fails, at every instance, all the time."""
        clock = ManualClock()
        instances = [make_budget(clock, 6) for _ in range(6)]
        requests, repeats = [], []
        for _ in range(400):
            clock.advance(timedelta(milliseconds=50))
            now_s = clock.monotonic_s()
            for budget in instances:
                requests.append(now_s)
                budget.record_request("desk")
                if budget.acquire("desk"):
                    repeats.append(now_s)
        for start in range(11):
            window = (float(start), start + WINDOW_S)
            made = sum(window[0] <= at < window[1] for at in repeats)
            asked = sum(window[0] <= at < window[1] for at in requests)
            assert made <= RATIO * asked + EXTRA

    def test_new_life_does_not_begin_with_a_full_allowance(self):
        budget = make_budget(ManualClock(), 1)
        taken = sum(budget.acquire("desk") for _ in range(20))
        assert taken <= 1

    def test_is_kept_for_each_service(self):
        budget = make_budget(ManualClock(), 1)
        assert budget.acquire("desk")
        assert budget.acquire("engines")
