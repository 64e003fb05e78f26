"""The components that run orders at most once."""

from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.listeners import Listeners
from oriolepaddle.gateway.order_runner import GatewayOrderRunner
from oriolepaddle.orders import (
    ORDERS_SERVICE,
    OrderArchive,
    OrderForwarder,
    OrderHandler,
    OrderHandover,
    OrderLimits,
    OrderNumberCodec,
    OrderRegistry,
)
from oriolepaddle.peers import PeerPool
from oriolepaddle.settings import Settings

__all__ = ["OrderComponents"]

MAX_RUNNING_ORDERS = 16
HANDOVER_TIMEOUT = timedelta(seconds=5)


class OrderComponents:
    """Issues, runs, forwards and hands over orders.

    Args:
        settings: The peer secret.
        clock: The clock.
        fleet: Membership.
        listeners: The listeners; peers' calls about orders arrive at one of them.
        runner: Sends orders to endpoints.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        fleet: Fleet,
        listeners: Listeners,
        runner: GatewayOrderRunner,
    ) -> None:
        membership = fleet.membership
        secret = settings.peer_secret.encode()
        codec = OrderNumberCodec([secret])
        # Orders have their own links, because a link carries one call at a time.
        self._pool = PeerPool(membership.identity, secret, membership)
        self._executor = ThreadPoolExecutor(MAX_RUNNING_ORDERS, "orders")
        archive = OrderArchive(clock)
        limits = OrderLimits()
        self.registry = OrderRegistry(membership.identity, codec, clock, limits)
        self.forwarder = OrderForwarder(
            self._pool, codec, membership, archive, clock, runner.may_run_in
        )
        handler = OrderHandler(
            self.registry,
            archive,
            runner,
            self._executor,
            clock,
            max_running=MAX_RUNNING_ORDERS,
        )
        self._handover = OrderHandover(
            self.registry, archive, self._pool, membership, clock, limits.lifetime
        )
        listeners.peers.register(ORDERS_SERVICE, handler)

    def hand_over(self, drain_timeout: timedelta) -> None:
        """Wait for orders in flight, then hand over the stored answers."""
        self._handover.leave(drain_timeout, HANDOVER_TIMEOUT)

    def close(self) -> None:
        """Close the links and stop the threads."""
        self._pool.close()
        self._executor.shutdown(wait=True)
