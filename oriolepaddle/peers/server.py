"""The listener for connections from other instances."""

import socket
import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from loguru import logger
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.TMultiplexedProcessor import TMultiplexedProcessor
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from oriolepaddle.peers.gen_py.link import Link
from oriolepaddle.peers.handshake import Handshake
from oriolepaddle.peers.identity import PeerIdentity
from oriolepaddle.peers.link import LINK_SERVICE
from oriolepaddle.peers.service import PeerService

__all__ = ["MAX_FRAME_BYTES", "PeerServer"]

MAX_FRAME_BYTES = 4_000_000
HANDSHAKE_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 60_000


class PeerServer:
    """Serves each connection from a peer on its own thread.

    Args:
        host: The IP address to listen on.
        port: The port, or 0 for any free port.
        identity: This instance's identity.
        secret: The peer secret.
        handlers: The handler of each service; `register` adds more.
        max_connections: The maximum number of concurrent connections.
    """

    def __init__(
        self,
        host: str,
        port: int,
        identity: PeerIdentity,
        secret: bytes,
        handlers: Mapping[PeerService, object] | None = None,
        max_connections: int = 64,
    ) -> None:
        self._identity = identity
        self._secret = secret
        self._handlers = dict(handlers or {})
        self._listener = socket.create_server((host, port), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._executor = ThreadPoolExecutor(max_connections, "peer")
        self._free_slots = threading.BoundedSemaphore(max_connections)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._is_closed = False
        self._acceptor = threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        )

    def register(self, service: PeerService, handler: object) -> None:
        """Add a service, for connections that are accepted from now on."""
        self._handlers[service] = handler

    def start(self) -> None:
        """Start accepting connections."""
        self._acceptor.start()

    def close(self) -> None:
        """Stop accepting, end all connections and wait for their threads."""
        self._is_closed = True
        _shut_down(self._listener)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)
        self._executor.shutdown(wait=True)

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if not self._free_slots.acquire(blocking=False):
                logger.warning("peer connection refused: all threads are in use")
                connection.close()
                continue
            with self._lock:
                self._connections.add(connection)
            self._executor.submit(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        try:
            self._serve_calls(connection)
        except (TException, OSError, EOFError) as error:
            logger.debug("peer connection ended: {}", error)
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()
            self._free_slots.release()

    def _serve_calls(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wrapped = TSocket()
        wrapped.setHandle(connection)
        wrapped.setTimeout(HANDSHAKE_TIMEOUT_MS)
        protocol = TCompactProtocol(TFramedTransport(wrapped, MAX_FRAME_BYTES))
        handshake = Handshake(self._identity, self._secret)
        links = TMultiplexedProcessor()
        links.registerProcessor(LINK_SERVICE.name, Link.Processor(handshake))
        while not handshake.is_proven:
            links.process(protocol, protocol)
        wrapped.setTimeout(IDLE_TIMEOUT_MS)
        processor = self._make_processor()
        while not self._is_closed:
            processor.process(protocol, protocol)

    def _make_processor(self) -> TMultiplexedProcessor:
        processor = TMultiplexedProcessor()
        for service, handler in self._handlers.items():
            processor.registerProcessor(service.name, service.module.Processor(handler))
        return processor


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
