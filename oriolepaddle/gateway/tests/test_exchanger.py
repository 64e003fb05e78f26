import uuid
from types import SimpleNamespace

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import ErrorCode, OrderError, Outcome, RefusedError
from oriolepaddle.gateway.exchanger import Exchanger
from oriolepaddle.gateway.order_exchange import OrderExchange
from oriolepaddle.gateway.tests.conftest import KEY, make_request
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.orders import (
    OrderAnswer,
    OrderLimits,
    OrderNumberCodec,
    OrderRegistry,
)
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.web.activity import Activity

ORGANISATION = "norddal"
RATE_LIMITED = RefusedError("the rate is exceeded", code=ErrorCode.RATE_LIMITED)


class RefusingLimiter:
    def reserve(self, organisation, tokens):
        raise RATE_LIMITED


def make_registry(name):
    codec = OrderNumberCodec((b"secret",))
    identity = PeerIdentity(name, 7, "nordur-a")
    return OrderRegistry(identity, codec, ManualClock(), OrderLimits())


def make_exchanger(registry, is_stale=False, is_draining=False):
    context = SimpleNamespace(
        limiter=RefusingLimiter(),
        activity=Activity(ManualClock()),
        staleness=SimpleNamespace(is_too_stale=lambda: is_stale),
        metrics=GatewayMetrics(),
    )
    if is_draining:
        context.activity.drain()
    return Exchanger(context, OrderExchange(context, registry, None, None))


@pytest.fixture
def make_order(parser):
    def make_order(number):
        request = make_request(
            path="/services/visit-desk",
            data=b"{}",
            headers={"Authorization": f"Bearer {KEY}"},
        )
        return attrs.evolve(parser.parse(request), order_number=number)

    return make_order


def serve_refused(exchanger, order):
    with pytest.raises((RefusedError, OrderError)) as caught:
        exchanger.serve(order, None)
    return caught.value.code, caught.value.outcome


class TestRefusedOrder:
    """An order that is refused before its state is looked up.

    An earlier attempt may have run, so the outcome must not be "not run" unless this
    instance issued the order and never sent it.
    """

    @pytest.mark.parametrize(
        "state", [{}, {"is_stale": True}, {"is_draining": True}], ids=str
    )
    def test_order_of_another_issuer_has_unknown_outcome(self, make_order, state):
        issuer, other = make_registry("n1"), make_registry("n2")
        order = make_order(issuer.issue(ORGANISATION))
        code, outcome = serve_refused(make_exchanger(other, **state), order)
        assert outcome is Outcome.UNKNOWN
        assert code is ErrorCode.ORDER_OUTCOME_UNKNOWN

    def test_order_that_ran_here_has_unknown_outcome(self, make_order):
        registry = make_registry("n1")
        number = registry.issue(ORGANISATION)
        answer = OrderAnswer(201, (), b"booked", uuid.uuid4().hex)
        registry.run(number, ORGANISATION, b"digest", lambda: answer)
        code, outcome = serve_refused(make_exchanger(registry), make_order(number))
        assert outcome is Outcome.UNKNOWN

    def test_order_that_was_never_sent_is_not_run(self, make_order):
        registry = make_registry("n1")
        order = make_order(registry.issue(ORGANISATION))
        code, outcome = serve_refused(make_exchanger(registry), order)
        assert (code, outcome) == (ErrorCode.RATE_LIMITED, Outcome.NOT_RUN)

    def test_retry_after_is_preserved(self, make_order):
        issuer, other = make_registry("n1"), make_registry("n2")
        order = make_order(issuer.issue(ORGANISATION))
        with pytest.raises(OrderError) as caught:
            make_exchanger(other).serve(order, None)
        assert caught.value.retry_after == RATE_LIMITED.retry_after
