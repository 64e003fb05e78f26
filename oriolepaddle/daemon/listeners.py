"""The three listeners of an instance."""

import ssl
from datetime import timedelta

from oriolepaddle.addresses import split_address
from oriolepaddle.buffers import make_budget, make_socket_queues
from oriolepaddle.clock import Clock
from oriolepaddle.peers import PeerIdentity, PeerServer
from oriolepaddle.publication import Instance
from oriolepaddle.settings import Settings
from oriolepaddle.web import HttpServer, ServerLimits
from oriolepaddle.web.unready import UnreadyApplication

__all__ = ["Listeners"]

MAX_OPERATOR_CONNECTIONS = 16


class Listeners:
    """The listeners for callers, peers and operators.

    They are bound on construction, so that their ports are known, and serve once
    they are started. Each has its own thread pool, so that callers cannot occupy the
    threads of peers and operators.

    Args:
        settings: Addresses, limits and TLS files.
        clock: The clock of the limits.
        identity: This instance in its current incarnation.

    Attributes:
        buffers: Bounds the bodies that the process holds.
    """

    def __init__(
        self, settings: Settings, clock: Clock, identity: PeerIdentity
    ) -> None:
        self._settings = settings
        self.buffers = make_budget(settings.memory_mb)
        limits = make_server_limits(settings)
        host, port = split_address(settings.caller_address)
        self.callers = HttpServer(
            host,
            port,
            UnreadyApplication(),
            clock,
            limits,
            _make_tls(settings.caller_tls_certificate, settings.caller_tls_key),
            name="caller",
            buffers=self.buffers,
            queues=make_socket_queues(settings.memory_mb, settings.max_connections),
        )
        host, port = split_address(settings.operator_address)
        self.operators = HttpServer(
            host,
            port,
            UnreadyApplication(),
            clock,
            ServerLimits(max_connections=MAX_OPERATOR_CONNECTIONS),
            _make_tls(settings.operator_tls_certificate, settings.operator_tls_key),
            name="operator",
        )
        host, port = split_address(settings.peer_address)
        secret = settings.peer_secret.encode()
        self.peers = PeerServer(host, port, identity, secret)

    def describe(self) -> Instance:
        """Return this instance with its advertised addresses."""
        settings = self._settings
        return Instance(
            id=settings.instance,
            data_centre=settings.data_centre,
            caller_address=settings.advertised_caller_address
            or _replace_port(settings.caller_address, self.callers.port),
            peer_address=settings.advertised_peer_address
            or _replace_port(settings.peer_address, self.peers.port),
            size=settings.size,
        )


def make_server_limits(settings: Settings) -> ServerLimits:
    """Return the limits of the callers' listener."""
    return ServerLimits(
        max_connections=settings.max_connections,
        max_body_bytes=settings.max_body_bytes,
        header_timeout=timedelta(seconds=settings.header_timeout_s),
        body_timeout=timedelta(seconds=settings.body_timeout_s),
        idle_timeout=timedelta(seconds=settings.idle_timeout_s),
    )


def _make_tls(certificate: str, key: str) -> ssl.SSLContext | None:
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)
    return context


def _replace_port(address: str, port: int) -> str:
    return f"{address.rpartition(':')[0]}:{port}"
