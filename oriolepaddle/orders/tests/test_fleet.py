from datetime import timedelta

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oriolepaddle.errors import ErrorCode, Outcome, RefusedError
from oriolepaddle.orders import ForwardEvent
from oriolepaddle.orders.tests.fleet import LIFETIME, NODES, Fleet

FAULTS = ("none", "cut", "lose request", "lose reply", "delay", "double")
BEHAVIOURS = (
    "answer",
    "refuse",
    "crash before the run",
    "crash after the run",
    "restart issuer",
    "sleep",
)
NOT_RUN, UNKNOWN, RUN = Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RUN


class TestForwardedOrders:
    """A fault at each message, followed by repeats through other instances."""

    @pytest.mark.parametrize(
        ("faults", "behaviours", "first", "repeat"),
        [
            ([], [], "answer", "answer"),
            (["cut"], [], "answer", "answer"),
            (["cut"] * 3, [], UNKNOWN, "answer"),
            (["lose request"], [], "answer", "answer"),
            (["lose reply"], [], "answer", "answer"),
            (["delay"], [], "answer", "answer"),
            (["double"], [], "answer", "answer"),
            (["lose reply"] * 6, [], UNKNOWN, "answer"),
            (["lose request"] * 6, [], UNKNOWN, "answer"),
            (["delay"] * 6, [], UNKNOWN, "answer"),
            (["delay", "lose reply"], [], "answer", "answer"),
            ([], ["refuse"], NOT_RUN, "answer"),
            (["double"], ["refuse"], NOT_RUN, "answer"),
            (["lose reply"], ["refuse"], NOT_RUN, "answer"),
            ([], ["crash before the run"], UNKNOWN, UNKNOWN),
            ([], ["crash after the run"], UNKNOWN, UNKNOWN),
            (["lose reply"], ["crash after the run"], UNKNOWN, UNKNOWN),
            ([], ["restart issuer"], UNKNOWN, UNKNOWN),
            ([], ["sleep"], NOT_RUN, "answer"),
        ],
    )
    def test_faults(self, faults, behaviours, first, repeat):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        assert fleet.send("b", number, faults=faults, behaviours=behaviours) == first
        fleet.deliver_delayed()
        fleet.check()
        assert fleet.send("c", number) == repeat
        assert fleet.send("a", number) == repeat
        fleet.deliver_delayed()
        fleet.check()

    def test_events_are_counted(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.send("b", number, faults=["cut", "lose reply", "lose reply"])
        fleet.restart("a")
        fleet.send("b", number)
        assert fleet.nodes["b"].forwarder.counts() == {
            ForwardEvent.ATTEMPT_LOST: 1,
            ForwardEvent.REPLY_LOST: 1,
            ForwardEvent.COLLECT_LOST: 1,
            ForwardEvent.OUTCOME_UNKNOWN: 1,
        }

    def test_restarted_issuer_is_unknown(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.restart("a")
        assert {fleet.send(via, number) for via in NODES} == {UNKNOWN}
        assert not fleet.endpoint.runs

    def test_paused_issuer_does_not_send_late(self):
        fleet = Fleet()
        issuer = fleet.nodes["a"]
        number = issuer.registry.issue("office")
        issuer.executor.is_paused = True
        assert fleet.send("b", number) == UNKNOWN
        issuer.executor.resume()
        assert not fleet.endpoint.runs
        assert fleet.send("b", number) == "answer"

    def test_closed_executor_refuses(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.nodes["a"].executor.submit = self.refuse
        assert fleet.send("b", number) == NOT_RUN
        assert not fleet.endpoint.runs

    def refuse(self, work, *args):
        raise RuntimeError("cannot schedule new futures after shutdown")

    def test_issuer_refuses_a_withdrawn_key(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.is_key_withdrawn = True
        assert fleet.send("b", number) == NOT_RUN
        assert not fleet.endpoint.runs

    def test_other_request_conflicts_everywhere(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.send("b", number)
        assert {fleet.send(via, number, b"two") for via in NODES} == {NOT_RUN}
        fleet.check()

    def test_handed_over_answers_survive_the_issuer(self):
        fleet = Fleet()
        registry = fleet.nodes["a"].registry
        used, unused = registry.issue("office"), registry.issue("office")
        fleet.send("b", used)
        assert set(fleet.nodes["a"].leave()) == {"b", "c"}
        assert fleet.send("a", used) == "answer"
        fleet.restart("a")
        assert [fleet.send(via, used) for via in NODES] == ["answer"] * 3
        assert [fleet.send(via, unused) for via in NODES] == [UNKNOWN] * 3
        assert fleet.send("c", used, b"two") == NOT_RUN
        fleet.clock.advance(LIFETIME)
        assert [fleet.send(via, used) for via in NODES] == [UNKNOWN] * 3
        fleet.check()

    def test_answers_survive_a_rolling_restart(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.send("b", number)
        for name in NODES * 2:
            fleet.nodes[name].leave()
            fleet.restart(name)
        assert [fleet.send(via, number) for via in NODES] == ["answer"] * 3
        fleet.clock.advance(LIFETIME)
        assert [fleet.send(via, number) for via in NODES] == [UNKNOWN] * 3

    def test_key_withdrawn_while_connecting_leaves_the_number_unused(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.withdraw_at_run = True
        assert fleet.send("b", number) == NOT_RUN
        fleet.withdraw_at_run = fleet.is_key_withdrawn = False
        assert fleet.send("b", number) == "answer"

    def test_unreachable_successor_is_skipped(self):
        fleet = Fleet()
        number = fleet.nodes["a"].registry.issue("office")
        fleet.send("a", number)
        fleet.cut_links.add(frozenset("ab"))
        assert fleet.nodes["a"].leave() == ("c",)
        fleet.restart("a")
        assert fleet.send("b", number) == "answer"


ATTEMPTS = st.tuples(
    st.sampled_from(NODES),
    st.integers(0, 9),
    st.sampled_from([b"one", b"one", b"one", b"two"]),
    st.lists(st.sampled_from(FAULTS), max_size=7),
    st.lists(st.sampled_from(BEHAVIOURS), max_size=2),
)


class OrderMachine(RuleBasedStateMachine):
    """Any sequence of requests, repeats, crashes, pauses, cuts and late messages."""

    nodes = st.sampled_from(NODES)

    def __init__(self):
        super().__init__()
        # Little enough memory that records of used numbers are evicted.
        self.fleet = Fleet(max_bytes=1_200)
        self.numbers = [
            self.fleet.nodes[node].registry.issue("office")
            for node in NODES
            for _ in range(2)
        ]

    @rule(node=nodes)
    def issue(self, node):
        try:
            self.numbers.append(self.fleet.nodes[node].registry.issue("office"))
        except RefusedError as error:
            assert error.code is ErrorCode.DRAINING

    @rule(attempts=st.lists(ATTEMPTS, min_size=1, max_size=6))
    def send(self, attempts):
        for via, index, body, faults, behaviours in attempts:
            number = self.numbers[index % len(self.numbers)]
            self.fleet.send(via, number, body, faults, behaviours)

    @rule()
    def deliver_delayed(self):
        self.fleet.deliver_delayed()

    @rule(node=nodes)
    def pause(self, node):
        self.fleet.nodes[node].executor.is_paused = True

    @rule()
    def resume(self):
        for process in self.fleet.processes:
            process.executor.resume()

    @rule(node=nodes)
    def restart(self, node):
        self.fleet.restart(node)

    @rule(node=nodes)
    def leave(self, node):
        self.fleet.nodes[node].leave()

    @rule(pair=st.sampled_from(["ab", "bc", "ac"]))
    def toggle_link(self, pair):
        self.fleet.cut_links ^= {frozenset(pair)}

    @rule(minutes=st.integers(1, 4))
    def wait(self, minutes):
        self.fleet.clock.advance(timedelta(minutes=minutes))

    @invariant()
    def invariants_hold(self):
        self.fleet.check()


# Without shrinking, which would exceed the time limit of a test.
OrderMachine.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
TestOrderMachine = OrderMachine.TestCase
