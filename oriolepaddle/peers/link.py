"""One outgoing connection to a peer."""

import socket
import threading
from datetime import timedelta
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from oriolepaddle.addresses import split_address
from oriolepaddle.errors import (
    PeerRejectedError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from oriolepaddle.peers.gen_py.link import Link
from oriolepaddle.peers.gen_py.link.ttypes import Hello, LinkRejected, Proof
from oriolepaddle.peers.identity import PeerIdentity
from oriolepaddle.peers.proof import (
    PROTOCOL_VERSION,
    check_proof,
    make_nonce,
    make_proof,
)
from oriolepaddle.peers.service import PeerService

__all__ = ["CONNECT_TIMEOUT", "LINK_SERVICE", "PeerLink"]

CONNECT_TIMEOUT = timedelta(seconds=1)
LINK_SERVICE = PeerService(name="link", module=Link)


class PeerLink:
    """A connection that carries one call at a time and reconnects when used.

    Args:
        instance: The id of the instance at the other end.
        address: Its `host:port`.
        identity: This instance's identity.
        secret: The peer secret.
    """

    def __init__(
        self, instance: str, address: str, identity: PeerIdentity, secret: bytes
    ) -> None:
        self.instance = instance
        self.address = address
        self._identity = identity
        self._secret = secret
        self._lock = threading.Lock()
        self._socket: TSocket | None = None
        self._protocol: TCompactProtocol | None = None

    def call(
        self, service: PeerService, method: str, request: Any, timeout: timedelta
    ) -> Any:
        """Call a method of the peer; errors are those of `PeerCaller.call`."""
        if not self._lock.acquire(timeout=timeout.total_seconds()):
            raise PeerUnavailableError(f"link to {self.instance} is busy")
        try:
            if self._socket is None:
                self._connect()
            return self._call_connected(service, method, request, timeout)
        finally:
            self._lock.release()

    def close(self) -> None:
        """Shut the connection down.

        A call in flight, or else the next call, fails; later calls reconnect.
        """
        connection = self._socket
        if connection is None or connection.handle is None:
            return
        try:
            connection.handle.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _connect(self) -> None:
        connection = TSocket(*split_address(self.address))
        connection.setTimeout(CONNECT_TIMEOUT.total_seconds() * 1000)
        transport = TFramedTransport(connection)
        try:
            transport.open()
            connection.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            protocol = TCompactProtocol(transport)
            self._perform_handshake(protocol)
        except LinkRejected as error:
            connection.close()
            raise PeerRejectedError(f"{self.instance}: {error.reason}") from error
        except PeerRejectedError:
            connection.close()
            raise
        except (TException, OSError, EOFError) as error:
            connection.close()
            raise PeerUnavailableError(
                f"no link to {self.instance} at {self.address}: {error}"
            ) from error
        self._socket = connection
        self._protocol = protocol

    def _perform_handshake(self, protocol: TCompactProtocol) -> None:
        client = Link.Client(TMultiplexedProtocol(protocol, LINK_SERVICE.name))
        nonce = make_nonce()
        identity = self._identity
        reply = client.hello(
            Hello(
                version=PROTOCOL_VERSION,
                instance=identity.instance,
                incarnation=identity.incarnation,
                data_centre=identity.data_centre,
                nonce=nonce,
            )
        )
        self._check_reply(reply, nonce)
        proof = make_proof(self._secret, "client", nonce, reply.nonce, identity)
        client.prove(Proof(proof=proof))

    def _check_reply(self, reply: Any, nonce: bytes) -> None:
        if reply.instance != self.instance:
            raise PeerRejectedError(
                f"{self.address} is {reply.instance}, not {self.instance}"
            )
        claimed = PeerIdentity(reply.instance, reply.incarnation, reply.data_centre)
        expected = make_proof(self._secret, "server", reply.nonce, nonce, claimed)
        if not check_proof(expected, reply.proof):
            raise PeerRejectedError(f"{self.instance} does not share the peer secret")

    def _call_connected(
        self, service: PeerService, method: str, request: Any, timeout: timedelta
    ) -> Any:
        self._socket.setTimeout(timeout.total_seconds() * 1000)
        protocol = TMultiplexedProtocol(self._protocol, service.name)
        client = service.module.Client(protocol)
        try:
            return getattr(client, method)(request)
        except (TTransportException, OSError, EOFError) as error:
            self._drop()
            raise PeerTimeoutError(
                f"{service.name}.{method} at {self.instance}: {error}"
            ) from error
        except TException as error:
            # The reply may be partly read, so the connection cannot be reused.
            self._drop()
            raise PeerTimeoutError(
                f"{service.name}.{method} at {self.instance} failed: {error}"
            ) from error

    def _drop(self) -> None:
        self._socket.close()
        self._socket = None
        self._protocol = None
