"""A gateway instance, assembled from its components."""

import random
import secrets
import threading
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.daemon.administration import InstanceAdministration
from oriolepaddle.daemon.background_tasks import BackgroundTasks
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.listeners import Listeners
from oriolepaddle.daemon.serving import Serving
from oriolepaddle.operators import OperatorApplication
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.settings import Settings

__all__ = ["GatewayInstance"]

HAND_OVER_TIME = timedelta(seconds=2)
READY_POLL_INTERVAL = timedelta(milliseconds=20)
MICROSECONDS_PER_S = 1_000_000


class GatewayInstance:
    """A gateway instance with its listeners.

    Args:
        settings: Checked settings.
        clock: The clock of all its components.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stopping = threading.Event()
        self.identity = PeerIdentity(
            settings.instance, _make_incarnation(clock), settings.data_centre
        )
        self.listeners = Listeners(settings, clock, self.identity)
        generator = random.Random(secrets.randbits(64))
        self.fleet = Fleet(settings, clock, self.identity, self.listeners, generator)
        self.serving = Serving(settings, clock, self.fleet, self.listeners, generator)
        self.drain_requested = threading.Event()
        self._administration = InstanceAdministration(
            clock, self.fleet, self.serving, self.drain_requested
        )
        self.listeners.operators.application = OperatorApplication(
            self._administration, settings.operator_token
        )
        self._background_tasks = BackgroundTasks(
            clock, self.fleet, self.serving, generator
        )

    def start(self) -> None:
        """Catch up with the configuration, then serve callers."""
        self.listeners.peers.start()
        self.listeners.operators.start()
        self.listeners.callers.start()
        self.fleet.start()
        while not self.fleet.sync.is_caught_up():
            if self._clock.wait(self.drain_requested, READY_POLL_INTERVAL):
                return
        self._background_tasks.start()
        self.listeners.callers.application = self.serving.application
        logger.info(
            "instance {} serves callers on port {}, peers on port {}, "
            "operators on port {}",
            self.identity.instance,
            self.listeners.callers.port,
            self.listeners.peers.port,
            self.listeners.operators.port,
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self._administration.status().is_ready

    def stop(self) -> None:
        """Stop gracefully: answer the requests in flight, then close."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        limit = timedelta(seconds=self._settings.drain_limit_s)
        activity = self.serving.context.activity
        self.fleet.membership.begin_leaving()
        self.serving.limiter.prepare_hand_over()
        self.listeners.callers.is_draining = True
        activity.drain()
        if not activity.wait(limit):
            logger.warning(
                "drain limit reached with {} requests in flight", activity.count
            )
        # The other instances need several rounds to borrow this instance's share.
        self._clock.wait(threading.Event(), HAND_OVER_TIME)
        self.serving.orders.hand_over(limit)
        self.serving.limiter.hand_over()
        self._close()

    def _close(self) -> None:
        self.listeners.callers.close()
        self._background_tasks.stop()
        self.fleet.stop()
        self.serving.orders.close()
        self.listeners.peers.close()
        self.listeners.operators.close()
        self.serving.context.transport.close()


def _make_incarnation(clock: Clock) -> int:
    # Wall-clock microseconds increase across restarts without stored state.
    return int(clock.now().timestamp() * MICROSECONDS_PER_S)
