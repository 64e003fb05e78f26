from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.commands.tests.engines import (
    Engine,
    Site,
    endpoint_entry,
    placement_entry,
)
from oriolepaddle.config import Entry
from oriolepaddle.config.model import ObjectKind

MINUTE = timedelta(minutes=1)


def make_site(is_fenced=True, **limits):
    engine = Engine(is_fenced)
    site = Site({"e": engine}, **limits)
    site.publish(placement_entry("e", 5))
    return site, engine


class TestReconcile:
    def test_both_issuers_say_the_same(self):
        site, engine = make_site()
        assert site.reconcile("a") == ["applied"]
        assert site.reconcile("b") == ["in place"]
        assert engine.taken == [5]

    @pytest.mark.parametrize("is_fenced", [True, False])
    def test_empty_engine_is_loaded_again(self, is_fenced):
        site, engine = make_site(is_fenced)
        site.reconcile("a")
        engine.crash()
        site.clock.advance(MINUTE)
        assert site.reconcile("b") == ["applied"]
        assert engine.state.version == "v5"

    def test_new_ticket_with_the_same_content_raises_the_fence(self):
        site, engine = make_site()
        site.reconcile("a")
        site.publish(placement_entry("e", 6, version="v5"))
        assert site.reconcile("a") == ["applied"]
        assert engine.state.ticket == 6

    def test_role_and_adapters_are_commanded(self):
        site, engine = make_site()
        site.reconcile("a")
        site.publish(
            placement_entry("e", 7, version="v5", adapters=("x",), role="decode")
        )
        assert site.reconcile("a") == ["applied"]
        assert (engine.state.adapters, engine.state.role) == (("x",), "decode")

    def test_highest_of_two_placements_counts(self):
        site, engine = make_site()
        site.publish(placement_entry("e", 8, name="other"))
        site.reconcile("a")
        assert engine.state.version == "v8"

    @pytest.mark.parametrize(
        "entry",
        [
            Entry(ObjectKind.PLACEMENT, "p-e", 6, None),
            Entry(ObjectKind.ENDPOINT, "e", 6, None),
            endpoint_entry("e", number=6, leaving=True),
        ],
    )
    def test_withdrawn_engines_get_no_command(self, entry):
        site, engine = make_site()
        site.publish(entry)
        assert site.reconcile("a") == []
        assert engine.taken == []

    def test_other_data_centres_are_left_alone(self):
        site, _ = make_site()
        site.publish(placement_entry("elsewhere", 5))
        assert site.reconcile("a") == ["applied"]

    def test_ranks_differ_and_pauses_grow(self):
        site, _ = make_site()
        ranks = {name: issuer.rank() for name, issuer in site.issuers.items()}
        assert sorted(ranks.values()) == [0, 1]
        first, second = sorted(site.issuers, key=ranks.get)
        pauses = [site.issuers[name].next_pause() for name in (first, second)]
        assert pauses[0] <= timedelta(seconds=6) < pauses[1]


class TestStaleIssuer:
    """b knows ticket 9; a woke up, or is cut off, with ticket 5."""

    def make(self, is_fenced):
        site, engine = make_site(is_fenced)
        site.publish(placement_entry("e", 9), to=("b",))
        return site, engine

    def test_fenced_engine_shows_its_ticket(self):
        site, engine = self.make(True)
        assert site.reconcile("b") == ["applied"]
        assert site.reconcile("a") == ["stale ticket"]
        assert engine.taken == [9]

    def test_fenced_engine_refuses_a_sender_that_slept(self):
        site, engine = self.make(True)
        site.control.faults = ["sleep after check"]
        site.control.on_sleep = lambda: site.reconcile("b")
        assert site.reconcile("a") == ["refused"]
        assert engine.taken == [9]

    def test_unfenced_engine_hears_nothing_from_a_stale_instance(self):
        site, engine = self.make(False)
        site.reconcile("b")
        site.ages["a"].seconds = 9.0
        assert site.reconcile("a") == ["stale knowledge"]
        assert engine.taken == [9]

    def test_freshness_is_checked_at_the_send(self):
        site, engine = self.make(False)
        site.control.faults = ["sleep before check"]
        site.control.on_sleep = lambda: setattr(site.ages["a"], "seconds", 60.0)
        assert site.reconcile("a") == ["stale knowledge"]
        assert engine.taken == []

    def test_ticket_is_checked_at_the_send(self):
        site, engine = self.make(False)
        site.control.faults = ["sleep before check"]
        site.control.on_sleep = lambda: site.publish(placement_entry("e", 9))
        assert site.reconcile("a") == ["superseded"]
        assert engine.taken == []

    def test_unfenced_engine_is_corrected_when_an_older_command_came_last(self):
        site, engine = self.make(False)
        site.control.faults = ["sleep after check"]
        site.control.on_sleep = lambda: site.reconcile("b")
        site.reconcile("a")
        assert engine.taken == [9, 5]
        site.clock.advance(MINUTE)
        assert site.reconcile("b") == ["applied"]
        assert engine.state.version == "v9"

    def test_older_command_that_comes_during_the_send_is_corrected_at_once(self):
        site, engine = self.make(False)
        site.control.faults = ["late"]
        assert site.reconcile("a") == ["failed"]
        take = engine.take

        def take_and_be_overtaken(command):
            engine.take = take
            take(command)
            site.control.deliver_delayed()

        engine.take = take_and_be_overtaken
        assert site.reconcile("b") == ["corrected"]
        assert engine.taken == [9, 5, 9]

    def test_isolated_instance_still_loads_fenced_engines(self):
        site, engine = make_site(True)
        site.ages["a"].seconds = float("inf")
        assert site.reconcile("a") == ["applied"]
        assert engine.taken == [5]


class TestLoads:
    def make(self, count, max_loads=2):
        engines = {f"e{i}": Engine(loads_slowly=True) for i in range(count)}
        site = Site(engines, max_loads=max_loads)
        site.publish(*(placement_entry(name, 5) for name in engines))
        return site, engines

    def test_two_issuers_keep_to_the_bound(self):
        site, engines = self.make(7)
        for _ in range(7):
            for name in ("a", "b"):
                site.reconcile(name)
                loading = [e for e in engines.values() if e.state.is_loading]
                assert len(loading) <= 2
            for engine in engines.values():
                engine.finish_load()
        assert all(engine.taken == [5] for engine in engines.values())

    def test_issuers_that_read_before_either_sends_choose_alike(self):
        site, engines = self.make(7)
        site.control.faults = ["sleep before check"]
        site.control.on_sleep = lambda: site.reconcile("b")
        site.reconcile("a")
        assert sum(engine.state.is_loading for engine in engines.values()) == 2

    def test_lost_load_keeps_its_place_for_the_grace(self):
        site, engines = self.make(3)
        site.control.faults = ["lost", "lost"]
        assert site.reconcile("a").count("failed") == 2
        assert set(site.reconcile("a")) == {"backing off", "waiting for loads"}
        site.clock.advance(MINUTE)
        assert site.reconcile("a").count("applied") == 2

    def test_failing_load_backs_off_and_lets_others_by(self):
        site, engines = self.make(3, max_loads=1)
        site.reconcile("a")
        (failing,) = [e for e in engines.values() if e.state.is_loading]
        for _ in range(30):
            failing.crash()
            site.clock.advance(timedelta(seconds=5))
            site.reconcile("a")
            for engine in engines.values():
                engine.finish_load()
        others = [e.taken for e in engines.values() if e is not failing]
        assert others == [[5], [5]]
        assert 2 <= len(failing.taken) <= 8

    def test_unreadable_engine_does_not_stop_others(self):
        site, engines = self.make(2)
        del site.control.engines["e0"]
        assert sorted(site.reconcile("a")) == ["applied", "unreadable"]


FAULTS = ("none", "lost", "late", "double", "answer lost")
STEPS = st.sampled_from(
    ["a", "b", "publish", "spread", "crash", "deliver", "wait", "cut"]
)


class TestConvergence:
    @pytest.mark.parametrize("is_fenced", [True, False])
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.lists(STEPS, max_size=25), st.lists(st.sampled_from(FAULTS), max_size=9))
    def test_every_run_of_faults_ends_at_the_newest(self, is_fenced, steps, faults):
        site, engine = make_site(is_fenced)
        site.control.faults = faults
        newest = 5
        for step in steps:
            before = engine.state.ticket
            if step == "publish":
                newest += 1
                site.publish(placement_entry("e", newest), to=("a",))
                site.ages["b"].seconds = 60.0
            elif step == "spread":
                site.publish(placement_entry("e", newest))
                site.ages["b"].seconds = 0.0
            elif step == "crash":
                engine.crash()
            elif step == "deliver":
                site.control.deliver_delayed()
            elif step == "wait":
                site.clock.advance(MINUTE)
            elif step == "cut":
                site.ages["a"].seconds = 60.0
            else:
                taken = len(engine.taken)
                site.reconcile(step)
                is_stale = site.ages[step].seconds > 8
                assert is_fenced or not is_stale or len(engine.taken) == taken
            assert not is_fenced or step == "crash" or engine.state.ticket >= before
        self.recover(site, newest)
        assert engine.state.version == f"v{newest}"

    def recover(self, site, newest):
        """End all faults, then let each issuer make a few passes."""
        site.control.faults = []
        site.control.deliver_delayed()
        site.publish(placement_entry("e", newest))
        for age in site.ages.values():
            age.seconds = 0.0
        for _ in range(2):
            site.clock.advance(timedelta(minutes=6))
            for name in ("a", "b"):
                site.reconcile(name)
