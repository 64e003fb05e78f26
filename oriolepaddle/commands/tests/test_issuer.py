from datetime import timedelta

import pytest
from hypothesis import given, settings, strategies as st

from oriolepaddle.commands.tests.engines import (
    DataCentre,
    Engine,
    endpoint_entry,
    placement_entry,
)
from oriolepaddle.config import Entry
from oriolepaddle.config.model import ObjectKind

MINUTE = timedelta(minutes=1)


def make_data_centre(is_fenced=True, **limits):
    engine = Engine(is_fenced)
    data_centre = DataCentre({"e": engine}, **limits)
    data_centre.publish(placement_entry("e", 5))
    return data_centre, engine


class TestReconcile:
    def test_second_issuer_finds_the_command_applied(self):
        data_centre, engine = make_data_centre()
        assert data_centre.reconcile("a") == ["applied"]
        assert data_centre.reconcile("b") == ["in place"]
        assert engine.accepted_tickets == [5]

    @pytest.mark.parametrize("is_fenced", [True, False])
    def test_empty_engine_is_loaded_again(self, is_fenced):
        data_centre, engine = make_data_centre(is_fenced)
        data_centre.reconcile("a")
        engine.crash()
        data_centre.clock.advance(MINUTE)
        assert data_centre.reconcile("b") == ["applied"]
        assert engine.state.version == "v5"

    def test_new_ticket_with_the_same_content_raises_the_fence(self):
        data_centre, engine = make_data_centre()
        data_centre.reconcile("a")
        data_centre.publish(placement_entry("e", 6, version="v5"))
        assert data_centre.reconcile("a") == ["applied"]
        assert engine.state.ticket == 6

    def test_role_and_adapters_are_commanded(self):
        data_centre, engine = make_data_centre()
        data_centre.reconcile("a")
        data_centre.publish(
            placement_entry("e", 7, version="v5", adapters=("x",), role="decode")
        )
        assert data_centre.reconcile("a") == ["applied"]
        assert (engine.state.adapters, engine.state.role) == (("x",), "decode")

    def test_placement_with_the_highest_ticket_is_commanded(self):
        data_centre, engine = make_data_centre()
        data_centre.publish(placement_entry("e", 8, name="other"))
        data_centre.reconcile("a")
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
        data_centre, engine = make_data_centre()
        data_centre.publish(entry)
        assert data_centre.reconcile("a") == []
        assert engine.accepted_tickets == []

    def test_placements_of_other_data_centres_are_ignored(self):
        data_centre, _ = make_data_centre()
        data_centre.publish(placement_entry("elsewhere", 5))
        assert data_centre.reconcile("a") == ["applied"]

    def test_pause_grows_with_the_rank(self):
        data_centre, _ = make_data_centre()
        ranks = {name: issuer.rank() for name, issuer in data_centre.issuers.items()}
        assert sorted(ranks.values()) == [0, 1]
        first, second = sorted(data_centre.issuers, key=ranks.get)
        pauses = [data_centre.issuers[name].next_pause() for name in (first, second)]
        assert pauses[0] <= timedelta(seconds=6) < pauses[1]


class TestStaleIssuer:
    """Instance b has ticket 9; a was suspended or cut off and still has ticket 5."""

    def make(self, is_fenced):
        data_centre, engine = make_data_centre(is_fenced)
        data_centre.publish(placement_entry("e", 9), to=("b",))
        return data_centre, engine

    def test_newer_ticket_of_the_engine_stops_a_stale_issuer(self):
        data_centre, engine = self.make(True)
        assert data_centre.reconcile("b") == ["applied"]
        assert data_centre.reconcile("a") == ["stale ticket"]
        assert engine.accepted_tickets == [9]

    def test_fenced_engine_refuses_a_suspended_sender(self):
        data_centre, engine = self.make(True)
        data_centre.control.faults = ["suspend after check"]
        data_centre.control.on_suspend = lambda: data_centre.reconcile("b")
        assert data_centre.reconcile("a") == ["refused"]
        assert engine.accepted_tickets == [9]

    def test_stale_instance_sends_nothing_to_an_unfenced_engine(self):
        data_centre, engine = self.make(False)
        data_centre.reconcile("b")
        data_centre.freshness["a"].seconds = 9.0
        assert data_centre.reconcile("a") == ["stale knowledge"]
        assert engine.accepted_tickets == [9]

    def test_freshness_is_checked_just_before_the_send(self):
        data_centre, engine = self.make(False)
        data_centre.control.faults = ["suspend before check"]
        data_centre.control.on_suspend = lambda: setattr(
            data_centre.freshness["a"], "seconds", 60.0
        )
        assert data_centre.reconcile("a") == ["stale knowledge"]
        assert engine.accepted_tickets == []

    def test_ticket_is_checked_just_before_the_send(self):
        data_centre, engine = self.make(False)
        data_centre.control.faults = ["suspend before check"]
        data_centre.control.on_suspend = lambda: data_centre.publish(
            placement_entry("e", 9)
        )
        assert data_centre.reconcile("a") == ["superseded"]
        assert engine.accepted_tickets == []

    def test_next_pass_corrects_an_unfenced_engine_with_an_older_command(self):
        data_centre, engine = self.make(False)
        data_centre.control.faults = ["suspend after check"]
        data_centre.control.on_suspend = lambda: data_centre.reconcile("b")
        data_centre.reconcile("a")
        assert engine.accepted_tickets == [9, 5]
        data_centre.clock.advance(MINUTE)
        assert data_centre.reconcile("b") == ["applied"]
        assert engine.state.version == "v9"

    def test_older_command_during_the_send_is_corrected_in_the_same_pass(self):
        data_centre, engine = self.make(False)
        data_centre.control.faults = ["late"]
        assert data_centre.reconcile("a") == ["failed"]
        accept = engine.accept

        def accept_and_deliver_delayed(command):
            engine.accept = accept
            accept(command)
            data_centre.control.deliver_delayed()

        engine.accept = accept_and_deliver_delayed
        assert data_centre.reconcile("b") == ["corrected"]
        assert engine.accepted_tickets == [9, 5, 9]

    def test_isolated_instance_still_loads_fenced_engines(self):
        data_centre, engine = make_data_centre(True)
        data_centre.freshness["a"].seconds = float("inf")
        assert data_centre.reconcile("a") == ["applied"]
        assert engine.accepted_tickets == [5]


class TestLoads:
    def make(self, count, max_loads=2):
        engines = {f"e{i}": Engine(loads_slowly=True) for i in range(count)}
        data_centre = DataCentre(engines, max_loads=max_loads)
        data_centre.publish(*(placement_entry(name, 5) for name in engines))
        return data_centre, engines

    def test_two_issuers_respect_the_load_limit(self):
        data_centre, engines = self.make(7)
        for _ in range(7):
            for name in ("a", "b"):
                data_centre.reconcile(name)
                loading = [e for e in engines.values() if e.state.is_loading]
                assert len(loading) <= 2
            for engine in engines.values():
                engine.finish_load()
        assert all(engine.accepted_tickets == [5] for engine in engines.values())

    def test_issuers_that_read_before_either_sends_choose_the_same_engines(self):
        data_centre, engines = self.make(7)
        data_centre.control.faults = ["suspend before check"]
        data_centre.control.on_suspend = lambda: data_centre.reconcile("b")
        data_centre.reconcile("a")
        assert sum(engine.state.is_loading for engine in engines.values()) == 2

    def test_lost_load_occupies_its_slot_for_the_grace_period(self):
        data_centre, engines = self.make(3)
        data_centre.control.faults = ["lost", "lost"]
        assert data_centre.reconcile("a").count("failed") == 2
        assert set(data_centre.reconcile("a")) == {"backing off", "waiting for loads"}
        data_centre.clock.advance(MINUTE)
        assert data_centre.reconcile("a").count("applied") == 2

    def test_failing_load_backs_off_so_that_others_load(self):
        data_centre, engines = self.make(3, max_loads=1)
        data_centre.reconcile("a")
        (failing,) = [e for e in engines.values() if e.state.is_loading]
        for _ in range(30):
            failing.crash()
            data_centre.clock.advance(timedelta(seconds=5))
            data_centre.reconcile("a")
            for engine in engines.values():
                engine.finish_load()
        others = [e.accepted_tickets for e in engines.values() if e is not failing]
        assert others == [[5], [5]]
        assert 2 <= len(failing.accepted_tickets) <= 8

    def test_unreadable_engine_does_not_block_others(self):
        data_centre, engines = self.make(2)
        del data_centre.control.engines["e0"]
        assert sorted(data_centre.reconcile("a")) == ["applied", "unreadable"]


FAULTS = ("none", "lost", "late", "double", "reply lost")
STEPS = st.sampled_from(
    ["a", "b", "publish", "replicate", "crash", "deliver", "wait", "isolate"]
)


class TestConvergence:
    @pytest.mark.parametrize("is_fenced", [True, False])
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.lists(STEPS, max_size=25), st.lists(st.sampled_from(FAULTS), max_size=9))
    def test_engine_converges_to_the_newest_placement_after_any_faults(
        self, is_fenced, steps, faults
    ):
        data_centre, engine = make_data_centre(is_fenced)
        data_centre.control.faults = faults
        newest = 5
        for step in steps:
            ticket_before = engine.state.ticket
            if step == "publish":
                newest += 1
                data_centre.publish(placement_entry("e", newest), to=("a",))
                data_centre.freshness["b"].seconds = 60.0
            elif step == "replicate":
                data_centre.publish(placement_entry("e", newest))
                data_centre.freshness["b"].seconds = 0.0
            elif step == "crash":
                engine.crash()
            elif step == "deliver":
                data_centre.control.deliver_delayed()
            elif step == "wait":
                data_centre.clock.advance(MINUTE)
            elif step == "isolate":
                data_centre.freshness["a"].seconds = 60.0
            else:
                accepted = len(engine.accepted_tickets)
                data_centre.reconcile(step)
                is_stale = data_centre.freshness[step].seconds > 8
                assert (
                    is_fenced
                    or not is_stale
                    or len(engine.accepted_tickets) == accepted
                )
            assert (
                not is_fenced or step == "crash" or engine.state.ticket >= ticket_before
            )
        self.recover(data_centre, newest)
        assert engine.state.version == f"v{newest}"

    def recover(self, data_centre, newest):
        """End all faults, then run two passes of each issuer."""
        data_centre.control.faults = []
        data_centre.control.deliver_delayed()
        data_centre.publish(placement_entry("e", newest))
        for freshness in data_centre.freshness.values():
            freshness.seconds = 0.0
        for _ in range(2):
            data_centre.clock.advance(timedelta(minutes=6))
            for name in ("a", "b"):
                data_centre.reconcile(name)
