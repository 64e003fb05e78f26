"""A TCP relay that simulates slow, silent and broken links."""

import contextlib
import enum
import socket
import threading

from oriolepaddle.addresses import split_address

__all__ = ["RelayMode", "RelayStandin"]

RECEIVE_BYTES = 65_536
FIRST_BYTES_TIMEOUT_S = 5.0


class RelayMode(enum.StrEnum):
    """How a relay treats the connections through it."""

    PASS = "pass"
    SILENT = "silent"
    """Open and new connections stay open without data until the mode changes."""

    DROP_OPEN = "forget"
    """Connections that are open now never transfer data again; new ones are relayed."""

    CUT = "cut"
    """Open connections are reset, and new ones as soon as they are accepted."""


class RelayStandin:
    """Relays TCP connections to `target` according to its mode.

    Attributes:
        target: `host:port` to which connections are relayed.
        delay_s: Seconds by which each chunk of data is delayed.
        blocked: Byte strings; a connection whose first bytes contain one is reset.
        bytes_relayed: Bytes that were relayed, in both directions.
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.delay_s = 0.0
        self.blocked: set[bytes] = set()
        self.bytes_relayed = 0
        self._mode = RelayMode.PASS
        self._may_transfer = threading.Event()
        self._may_transfer.set()
        self._lock = threading.Lock()
        self._connections: list[_RelayedConnection] = []
        self._closing = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def mode(self) -> RelayMode:
        """The current mode."""
        return self._mode

    def set_mode(self, mode: RelayMode) -> None:
        """Set the mode for open and new connections."""
        with self._lock:
            self._mode = mode
            connections = list(self._connections)
            if mode is RelayMode.SILENT:
                self._may_transfer.clear()
            else:
                self._may_transfer.set()
        if mode is RelayMode.DROP_OPEN:
            for connection in connections:
                connection.is_dropped = True
        if mode is RelayMode.CUT:
            self.reset(connections)

    def block(self, *sources: bytes) -> None:
        """Reset open and new connections whose first bytes contain one of these."""
        self.blocked.update(sources)
        with self._lock:
            connections = [
                connection
                for connection in self._connections
                if self._is_blocked(connection.first_bytes)
            ]
        self.reset(connections)

    def unblock(self) -> None:
        """Stop resetting connections by their first bytes."""
        self.blocked.clear()

    def reset(self, connections: "list[_RelayedConnection]") -> None:
        """Reset these connections."""
        for connection in connections:
            connection.reset()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._closing.set()
        self._may_transfer.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        self.reset(connections)

    def _is_blocked(self, first_bytes: bytes) -> bool:
        return any(source in first_bytes for source in self.blocked)

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        connection = _RelayedConnection(client)
        with self._lock:
            self._connections.append(connection)
        try:
            self._relay(connection)
        except OSError:
            connection.reset()
        finally:
            with self._lock:
                self._connections.remove(connection)

    def _relay(self, connection: "_RelayedConnection") -> None:
        if self._mode is RelayMode.CUT:
            connection.reset()
            return
        connection.client.settimeout(FIRST_BYTES_TIMEOUT_S)
        connection.first_bytes = connection.client.recv(RECEIVE_BYTES)
        connection.client.settimeout(None)
        if not connection.first_bytes or self._is_blocked(connection.first_bytes):
            connection.reset()
            return
        connection.upstream = socket.create_connection(split_address(self.target))
        if not self._transfer(connection, connection.upstream, connection.first_bytes):
            return
        backward = threading.Thread(
            target=self._pump,
            args=(connection, connection.upstream, connection.client),
            daemon=True,
        )
        backward.start()
        self._pump(connection, connection.client, connection.upstream)
        backward.join()

    def _pump(
        self,
        connection: "_RelayedConnection",
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                if not self._transfer(connection, sink, data):
                    return
            if not connection.is_dropped:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            connection.reset()

    def _transfer(
        self, connection: "_RelayedConnection", sink: socket.socket, data: bytes
    ) -> bool:
        if self.delay_s:
            self._closing.wait(self.delay_s)
        self._may_transfer.wait()
        if connection.is_dropped:
            return False
        sink.sendall(data)
        self.bytes_relayed += len(data)
        return True


class _RelayedConnection:
    """The client and upstream sockets of one relayed connection."""

    def __init__(self, client: socket.socket) -> None:
        self.client = client
        self.upstream: socket.socket | None = None
        self.first_bytes = b""
        self.is_dropped = False

    def reset(self) -> None:
        """Reset both sockets."""
        for sock in (self.client, self.upstream):
            if sock is None:
                continue
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


# struct linger with l_onoff = 1 and l_linger = 0: close() sends a reset.
_ZERO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"
