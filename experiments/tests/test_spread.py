import random

from experiments._platform_model import Events
from experiments.spread import run_outage, run_spread
from experiments.tombstones import DottedEntry, merge_dotted


class TestEvents:
    def test_runs_in_order_of_time(self):
        events, times_s = Events(), []
        events.at(2.0, lambda: times_s.append(events.clock.monotonic_s()))
        events.at(1.0, lambda: times_s.append(events.clock.monotonic_s()))
        events.run_until(3.0)
        assert times_s == [1.0, 2.0]


class TestSpread:
    def test_ticket_is_in_force_in_time_and_cheap(self):
        result = run_spread(6, 3, "platform down")
        assert result.unspread == 0
        assert result.worst_s <= 8
        assert result.mean_bytes_per_s <= 7000

    def test_outage_ends_below_the_platforms_rate(self):
        calls, _ = run_outage(20)
        assert calls <= 20 * 2000 / 420


class TestMergeDotted:
    def test_cases_of_the_paper(self):
        first = (("a", 1),)
        both = (("a", 1), ("b", 2))
        current = DottedEntry(first, frozenset(first))
        newer = DottedEntry(both, frozenset([("b", 2)]))
        removed = DottedEntry(first, frozenset())
        unseen = DottedEntry((), frozenset())
        sibling = DottedEntry((("b", 1),), frozenset([("b", 1)]))
        assert merge_dotted(current, newer) == newer
        assert merge_dotted(removed, current).dots == frozenset()
        assert merge_dotted(current, unseen) == current
        assert len(merge_dotted(current, sibling).dots) == 2

    def test_is_commutative(self):
        generator = random.Random(1)
        for _ in range(50):
            one, other = (
                DottedEntry(
                    vector := tuple((n, generator.randrange(1, 4)) for n in "abc"),
                    frozenset([generator.choice(vector)]),
                )
                for _ in range(2)
            )
            assert merge_dotted(one, other) == merge_dotted(other, one)
