import attrs
import pytest

from experiments.placement import SCENARIOS, VARIANTS, Region, summarize
from experiments.placement.batch_engine import BatchEngine, EngineParameters, EngineRun
from experiments.simulation import EventLoop
from oriolepaddle.placement import Job, PromptPart

SECONDS, SEEDS = 8.0, range(3)
SCENARIOS_BY_NAME = {item.name: item for item in SCENARIOS}
VARIANTS_BY_NAME = {item.name: item for item in VARIANTS}


def run(scenario, variant, seconds=SECONDS, seeds=SEEDS):
    return [
        outcome
        for seed in seeds
        for outcome in Region(
            SCENARIOS_BY_NAME[scenario], VARIANTS_BY_NAME[variant], seed
        ).run(seconds)
    ]


class TestBatchEngine:
    @pytest.fixture
    def loop(self):
        return EventLoop()

    def submit(self, loop, engine, job):
        times = []
        run = EngineRun(job, lambda: times.append(loop.monotonic_s()), lambda: None)
        engine.submit(run)
        return times

    def test_prefills_the_prompt_before_the_first_token(self, loop):
        engine = BatchEngine(loop, EngineParameters())
        times = self.submit(loop, engine, Job("s", (), 9_200, 1))
        loop.run(10.0)
        assert times == [pytest.approx(0.1 + 5 * 0.003, abs=0.005)]

    def test_prefills_a_cached_prefix_once(self, loop):
        engine = BatchEngine(loop, EngineParameters())
        parts = (PromptPart("a", 9_000),)
        for _ in range(2):
            self.submit(loop, engine, Job("s", parts, 9_200, 1))
            loop.run(loop.monotonic_s() + 1.0)
        assert engine.prefilled_tokens == 9_200 + 200

    def test_long_prompts_delay_streams(self, loop):
        def find_end_s(others):
            loop = EventLoop()
            engine = BatchEngine(loop, EngineParameters())
            times = self.submit(loop, engine, Job("s", (), 100, 100))
            for _ in range(others):
                self.submit(loop, engine, Job("s", (), 9_200, 1))
            loop.run(100.0)
            return times[-1]

        assert find_end_s(10) > find_end_s(0) + 0.9

    def test_more_urgent_requests_are_admitted_first(self, loop):
        engine = BatchEngine(loop, attrs.evolve(EngineParameters(), slots=1))
        self.submit(loop, engine, Job("s", (), 100, 10))
        later = self.submit(loop, engine, Job("s", (), 100, 1))
        sooner = self.submit(loop, engine, Job("s", (), 100, 1, urgency=2))
        loop.run(10.0)
        assert sooner < later

    def test_unresponsive_engine_drops_its_requests(self, loop):
        engine = BatchEngine(loop, EngineParameters())
        engine.is_unresponsive = True
        times = self.submit(loop, engine, Job("s", (), 100, 1))
        loop.run(1.0)
        engine.restart()
        loop.run(2.0)
        assert times == []


class TestRegion:
    def test_same_seed_gives_the_same_outcomes(self):
        first, second = (run("busy", "chosen", 1.0, [3]) for _ in range(2))
        assert [item.first_event_s for item in first] == [
            item.first_event_s for item in second
        ]

    def test_every_request_has_one_outcome(self):
        summary = summarize("all", run("peak", "chosen", 2.0, [3]))
        total = summary.on_time + summary.late + summary.refused + summary.incomplete
        assert total == pytest.approx(1.0)

    def test_stream_weights_increase_the_earned_share(self):
        """The load is long prompts and long answers at 70% of the peak."""
        before = summarize("all", run("busy", "first byte only"))
        after = summarize("all", run("busy", "chosen"))
        assert after.earned_share >= before.earned_share
        assert after.earned_share_of_largest >= before.earned_share_of_largest

    def test_announced_prefixes_increase_the_share_on_time(self):
        """The load is a region's peak; an engine can't cache all subjects."""
        before = summarize("all", run("peak", "neither fetched nor told"))
        after = summarize("all", run("peak", "chosen"))
        assert after.on_time >= before.on_time
        assert after.earned_share >= before.earned_share
        assert after.refused <= before.refused

    def test_paces_increase_the_earned_share(self):
        """Three of fourteen engines are 2.5 times slower for 0.6 s at a time."""
        for scenario in ("busy, uneven", "peak, uneven"):
            before = summarize("all", run(scenario, "without paces", seeds=range(2)))
            after = summarize("all", run(scenario, "chosen", seeds=range(2)))
            assert after.earned_share >= before.earned_share
            assert after.on_time >= before.on_time


class TestCompetingKinds:
    """Long prompts, due late, filled the engines' queues up to their own target, so
    that no short one, due soon, could be on time."""

    @pytest.mark.parametrize("load", [1.0, 1.5, 3.0])
    def test_waiting_long_prompts_leave_room_for_short_ones(self, load):
        scenario = f"competing, load {load}"
        long, short = SCENARIOS_BY_NAME[scenario].kinds
        before, after = (
            {
                kind: summarize(kind, [o for o in outcomes if o.kind.name == kind])
                for kind in ("long", "short")
            }
            | {"all": summarize("all", outcomes)}
            for outcomes in (
                run(scenario, name, 6.0, [1]) for name in ("chosen", "queue")
            )
        )
        assert after["all"].earned_share > 1.1 * before["all"].earned_share
        assert after["short"].on_time > 1.3 * before["short"].on_time
        assert after["all"].refused < before["all"].refused
        gained, lost = (
            sign * (after[kind.name].on_time - before[kind.name].on_time) * weight
            for kind, sign, weight in (
                (short, 1, short.rate_per_s * short.value),
                (long, -1, long.rate_per_s * long.value),
            )
        )
        assert gained > 3 * max(0.0, lost)
        assert after["long"].on_time > 0.4 * before["long"].on_time

    def test_nobody_waits_without_overload(self):
        outcomes = run("competing, load 0.3", "queue", 4.0, [1])
        assert not any(o.waited_s or o.is_refused for o in outcomes)

    def test_nobody_waits_past_the_point_of_being_on_time(self):
        outcomes = run("competing, load 3.0", "queue", 4.0, [1])
        waits = [o.waited_s for o in outcomes if o.waited_s]
        assert waits
        assert max(waits) < 2.035

    def test_few_wait_in_vain(self):
        """A request that is kept and then refused is worse off than one that is
        refused at once."""
        outcomes = run("competing, load 1.5", "queue", 6.0, [1])
        long = [o for o in outcomes if o.kind.name == "long"]
        in_vain = [o for o in long if o.waited_s and o.is_refused]
        assert len(in_vain) < 0.1 * len(long)
