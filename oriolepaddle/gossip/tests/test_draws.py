from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gossip.codec import write_datagram
from oriolepaddle.gossip.tests.fleet import ORGANISATION, GossipFleet
from oriolepaddle.peers.gen_py.gossip.ttypes import Datagram, Draw


class DirectSocket:
    """Delivers a draw to its hub and the reply back at once."""

    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance

    def send(self, datagram: Datagram, address):
        for instance in self.fleet.instances.values():
            if instance.host == address[0] and instance is not self.instance:
                instance.state.draws.socket = ReplySocket(self.instance)
                instance.state.draws.answer(datagram.draw, (self.instance.host, 0))


class ReplySocket:
    def __init__(self, instance):
        self.instance = instance

    def send(self, datagram, address):
        self.instance.state.draws.receive(datagram.reply)


class SilentSocket:
    def send(self, datagram, address):
        """Drop the datagram."""


class TestTokenDraws:
    """Small rates and large requests, with the tokens split over two hubs."""

    @pytest.fixture
    def fleet(self):
        fleet = GossipFleet()
        fleet.add("n1", "nordur-a", 2.0)
        fleet.add("n2", "nordur-b", 2.0, seeds=["n1"])
        fleet.add("n3", "nordur-a", 0.4, seeds=["n1"])
        fleet.run(timedelta(seconds=4))
        return fleet

    @pytest.fixture
    def draws(self, fleet):
        instance = fleet.instances["n3"]
        instance.state.draws.socket = DirectSocket(fleet, instance)
        return instance.state.draws

    def list_available(self, fleet):
        return {
            name: instance.state.limiter.available(ORGANISATION)
            for name, instance in fleet.instances.items()
        }

    def test_draws_from_one_hub_that_has_enough(self, fleet, draws):
        available = self.list_available(fleet)
        drawn = draws.draw("norddal", 200, 0)
        assert drawn.tokens == 200
        assert sum(available.values()) - sum(self.list_available(fleet).values()) == 200

    def test_draws_from_both_hubs_if_neither_has_enough(self, fleet, draws):
        available = self.list_available(fleet)
        needed = int(available["n1"] + available["n2"]) - 2
        assert draws.draw("norddal", needed, 0).tokens == needed

    def test_draws_nothing_if_all_have_too_little(self, fleet, draws):
        available = self.list_available(fleet)
        drawn = draws.draw("norddal", sum(available.values()) + 10, 0)
        assert drawn.tokens == 0
        assert drawn.retry_after > timedelta(0)
        assert self.list_available(fleet) == available

    def test_silent_hubs_raise_a_typed_refusal(self, fleet, draws):
        def wait(event, timeout):
            fleet.clock.advance(timeout)
            return event.is_set()

        fleet.clock.wait = wait
        draws.socket = SilentSocket()
        with pytest.raises(RefusedError) as caught:
            draws.draw("norddal", 10, 0)
        assert caught.value.code is ErrorCode.NOT_READY

    def test_excessive_draw_is_refused_with_a_valid_reply(self, fleet):
        """A caller may request more tokens than the rate yields in years."""
        sent = []
        instance = fleet.instances["n1"]
        instance.state.draws.socket = SimpleNamespace(
            send=lambda *item: sent.append(item)
        )
        instance.state.draws.answer(Draw(1, ORGANISATION.id, 2**40), ("10.0.0.3", 0))
        ((datagram, _),) = sent
        assert datagram.reply.tokens == 0
        assert write_datagram(datagram, b"a secret of the tests")
