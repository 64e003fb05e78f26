"""One entry instance, put together from its parts."""

import random
import time
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.daemon.platform_reader import PlatformReader
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.gateway import Authenticator, CallerApplication, Exchanger
from oriolepaddle.gateway._interim import RandomRouter
from oriolepaddle.gateway.activity import Activity
from oriolepaddle.gateway.forwarder import Forwarder
from oriolepaddle.gateway.forwarding import ForwardingSigner
from oriolepaddle.gateway.parser import RequestParser
from oriolepaddle.peers import PeerIdentity, PeerServer
from oriolepaddle.platform.http import (
    HttpConfigurationService,
    HttpInstanceListService,
)
from oriolepaddle.settings import Settings
from oriolepaddle.web import HttpServer, ServerLimits

__all__ = ["GatewayInstance"]


class GatewayInstance:
    """An entry instance with its listeners.

    Args:
        settings: Checked settings.
        clock: The clock of all its parts.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        secret = settings.peer_secret.encode()
        self.config = ConfigState()
        self.identity = PeerIdentity(
            settings.instance, time.time_ns(), settings.data_centre
        )
        self.reader = PlatformReader(
            clock,
            self.config,
            HttpConfigurationService(settings.platform_address),
            HttpInstanceListService(settings.platform_address, clock),
        )
        self.activity = Activity(clock)
        self.transport = EndpointTransport(
            clock, timedelta(seconds=settings.connect_timeout_s)
        )
        self._signer = ForwardingSigner(secret, settings.instance)
        self._authenticator = Authenticator(self.config)
        self._callers = self._make_caller_server()
        host, port = _split(settings.peer_address)
        self._peers = PeerServer(host, port, self.identity, secret, {})

    @property
    def caller_port(self) -> int:
        """The port of the callers' listener."""
        return self._callers.port

    @property
    def peer_port(self) -> int:
        """The port of the peers' listener."""
        return self._peers.port

    def start(self) -> None:
        """Read the configuration, then listen."""
        self._peers.start()
        self.reader.start()
        self.reader.caught_up.wait()
        self._callers.start()
        logger.info(
            "instance {} serves callers on port {}, peers on port {}",
            self.identity.instance,
            self.caller_port,
            self.peer_port,
        )

    def stop(self) -> None:
        """Stop gracefully: answer what has begun, then close."""
        self._callers.is_draining = True
        self.activity.drain()
        limit = timedelta(seconds=self._settings.drain_limit_s)
        if not self.activity.wait(limit):
            logger.warning("drain limit reached with {} left", self.activity.count)
        self.reader.stop()
        self._callers.close()
        self._peers.close()

    def _make_caller_server(self) -> HttpServer:
        settings = self._settings
        parser = RequestParser(
            self.config, self._authenticator, self._clock, self._signer
        )
        forwarder = Forwarder(
            settings.instance, self._clock, self.reader, self.transport, self._signer
        )
        router = RandomRouter(self.config, settings.data_centre, random.Random())
        exchanger = Exchanger(
            self._clock,
            router,
            self.transport,
            forwarder,
            self._authenticator,
            self.activity,
        )
        application = CallerApplication(
            parser, exchanger, self.reader, settings.data_centre
        )
        host, port = _split(settings.caller_address)
        limits = ServerLimits(
            max_connections=settings.max_connections,
            max_body_bytes=settings.max_body_bytes,
            header_timeout=timedelta(seconds=settings.header_timeout_s),
            body_timeout=timedelta(seconds=settings.body_timeout_s),
            idle_timeout=timedelta(seconds=settings.idle_timeout_s),
        )
        return HttpServer(host, port, application, self._clock, limits, name="caller")


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
