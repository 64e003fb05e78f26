"""One entry instance, put together from its parts."""

import random
import secrets
import threading
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.listeners import Listeners
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.gateway import Authenticator, CallerApplication, Exchanger
from oriolepaddle.gateway._interim import RandomRouter
from oriolepaddle.gateway.activity import Activity
from oriolepaddle.gateway.forwarder import Forwarder
from oriolepaddle.gateway.forwarding import ForwardingSigner
from oriolepaddle.gateway.parser import RequestParser
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.settings import Settings

__all__ = ["GatewayInstance"]

READY_POLL = timedelta(milliseconds=20)
MICROSECONDS_PER_S = 1_000_000


class GatewayInstance:
    """An entry instance with its listeners.

    Args:
        settings: Checked settings.
        clock: The clock of all its parts.
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
        self.activity = Activity(clock)
        self._transport = EndpointTransport(
            clock, timedelta(seconds=settings.connect_timeout_s)
        )
        self.listeners.callers.application = self._make_application(generator)

    def start(self) -> None:
        """Catch up with the configuration, then serve callers."""
        self.listeners.peers.start()
        self.fleet.start()
        while not self.fleet.sync.is_caught_up():
            if self._clock.wait(self._stopping, READY_POLL):
                return
        self.listeners.callers.start()
        self.fleet.membership.set_ready(True)
        logger.info(
            "instance {} serves callers on port {}, peers on port {}",
            self.identity.instance,
            self.listeners.callers.port,
            self.listeners.peers.port,
        )

    def stop(self) -> None:
        """Stop gracefully: answer what has begun, then close."""
        self._stopping.set()
        self.fleet.membership.begin_leaving()
        self.listeners.callers.is_draining = True
        self.activity.drain()
        limit = timedelta(seconds=self._settings.drain_limit_s)
        if not self.activity.wait(limit):
            logger.warning("drain limit reached with {} left", self.activity.count)
        self.listeners.callers.close()
        self.fleet.stop()
        self.listeners.peers.close()
        self._transport.close()

    def _make_application(self, generator: random.Random) -> CallerApplication:
        settings = self._settings
        config = self.fleet.config
        authenticator = Authenticator(config)
        signer = ForwardingSigner(settings.peer_secret.encode(), settings.instance)
        parser = RequestParser(config, authenticator, self._clock, signer)
        forwarder = Forwarder(
            settings.instance,
            self._clock,
            self.fleet.membership,
            self._transport,
            signer,
        )
        exchanger = Exchanger(
            self._clock,
            RandomRouter(config, settings.data_centre, generator),
            self._transport,
            forwarder,
            authenticator,
            self.activity,
        )
        return CallerApplication(
            parser, exchanger, self.fleet.membership, settings.data_centre
        )


def _make_incarnation(clock: Clock) -> int:
    # Microseconds of the wall clock grow over restarts without any disk.
    return int(clock.now().timestamp() * MICROSECONDS_PER_S)
