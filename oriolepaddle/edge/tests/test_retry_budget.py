from datetime import timedelta

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.retry_budget import FleetRetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 52.0, 10.0


def make_budget(clock, instances):
    return FleetRetryBudget(clock, RATIO, EXTRA, WINDOW_S, lambda: instances)


class TestFleetRetryBudget:
    def test_all_instances_together_stay_within_the_bound(self):
        """Guards against too many retries when every request fails everywhere."""
        clock = ManualClock()
        budgets = [make_budget(clock, 6) for _ in range(6)]
        requests, retries = [], []
        for _ in range(400):
            clock.advance(timedelta(milliseconds=50))
            now_s = clock.monotonic_s()
            for budget in budgets:
                requests.append(now_s)
                budget.record_request("desk")
                if budget.acquire("desk"):
                    retries.append(now_s)
        for start in range(11):
            window = (float(start), start + WINDOW_S)
            retry_count = sum(window[0] <= at < window[1] for at in retries)
            request_count = sum(window[0] <= at < window[1] for at in requests)
            assert retry_count <= RATIO * request_count + EXTRA

    def test_new_incarnation_does_not_start_with_a_full_budget(self):
        budget = make_budget(ManualClock(), 1)
        acquired = sum(budget.acquire("desk") for _ in range(20))
        assert acquired <= 1

    def test_each_service_has_its_own_budget(self):
        budget = make_budget(ManualClock(), 1)
        assert budget.acquire("desk")
        assert budget.acquire("engines")
