"""A TCP relay that delays, cuts or goes silent."""

import contextlib
import enum
import socket
import threading

from oriolepaddle.addresses import split_address

__all__ = ["RelayMode", "RelayStandin"]

READ_BYTES = 65_536
FIRST_BYTES_TIMEOUT_S = 5.0


class RelayMode(enum.StrEnum):
    """What a relay does with what passes through it."""

    PASS = "pass"
    SILENT = "silent"
    """Open connections stay open and carry nothing; new ones too."""

    DROP_OPEN = "forget"
    """Open connections carry nothing for good; new ones pass."""

    CUT = "cut"
    """Open connections are reset, new ones are reset at once."""


class RelayStandin:
    """Passes connections on to `target`, as its mode says.

    Attributes:
        target: `host:port` to pass connections on to.
        delay_s: Seconds by which each piece is held back.
        blocked: Connections whose first bytes contain one of these are reset.
        bytes_passed: Bytes that were passed on, both ways.
    """

    def __init__(self, target: str = "") -> None:
        self.target = target
        self.delay_s = 0.0
        self.blocked: set[bytes] = set()
        self.bytes_passed = 0
        self._mode = RelayMode.PASS
        self._resumed = threading.Event()
        self._resumed.set()
        self._lock = threading.Lock()
        self._pairs: list[_Pair] = []
        self._closing = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def mode(self) -> RelayMode:
        """What the relay does now."""
        return self._mode

    def set_mode(self, mode: RelayMode) -> None:
        """Change what the relay does with open and new connections."""
        with self._lock:
            self._mode = mode
            pairs = list(self._pairs)
            if mode is RelayMode.SILENT:
                self._resumed.clear()
            else:
                self._resumed.set()
        if mode is RelayMode.DROP_OPEN:
            for pair in pairs:
                pair.is_forgotten = True
        if mode is RelayMode.CUT:
            self.reset(pairs)

    def block(self, *sources: bytes) -> None:
        """Reset connections that begin with these bytes, now and later."""
        self.blocked.update(sources)
        with self._lock:
            pairs = [pair for pair in self._pairs if self._is_blocked(pair.first)]
        self.reset(pairs)

    def unblock(self) -> None:
        """Let all connections pass again."""
        self.blocked.clear()

    def reset(self, pairs: "list[_Pair]") -> None:
        """Reset some connections."""
        for pair in pairs:
            pair.reset()

    def close(self) -> None:
        """Stop and reset everything."""
        self._closing.set()
        self._resumed.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            pairs = list(self._pairs)
        self.reset(pairs)

    def _is_blocked(self, first: bytes) -> bool:
        return any(source in first for source in self.blocked)

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, caller: socket.socket) -> None:
        pair = _Pair(caller)
        with self._lock:
            self._pairs.append(pair)
        try:
            self._serve_pair(pair)
        except OSError:
            pair.reset()
        finally:
            with self._lock:
                self._pairs.remove(pair)

    def _serve_pair(self, pair: "_Pair") -> None:
        if self._mode is RelayMode.CUT:
            pair.reset()
            return
        pair.caller.settimeout(FIRST_BYTES_TIMEOUT_S)
        pair.first = pair.caller.recv(READ_BYTES)
        pair.caller.settimeout(None)
        if not pair.first or self._is_blocked(pair.first):
            pair.reset()
            return
        pair.callee = socket.create_connection(split_address(self.target))
        if not self._pass(pair, pair.callee, pair.first):
            return
        back = threading.Thread(
            target=self._pump, args=(pair, pair.callee, pair.caller), daemon=True
        )
        back.start()
        self._pump(pair, pair.caller, pair.callee)
        back.join()

    def _pump(self, pair: "_Pair", source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not self._pass(pair, sink, data):
                    return
            if not pair.is_forgotten:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pair.reset()

    def _pass(self, pair: "_Pair", sink: socket.socket, data: bytes) -> bool:
        if self.delay_s:
            self._closing.wait(self.delay_s)
        self._resumed.wait()
        if pair.is_forgotten:
            return False
        sink.sendall(data)
        self.bytes_passed += len(data)
        return True


class _Pair:
    """Both ends of one relayed connection."""

    def __init__(self, caller: socket.socket) -> None:
        self.caller = caller
        self.callee: socket.socket | None = None
        self.first = b""
        self.is_forgotten = False

    def reset(self) -> None:
        """Reset both ends."""
        for end in (self.caller, self.callee):
            if end is None:
                continue
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
                end.shutdown(socket.SHUT_RDWR)
            end.close()


# l_onoff = 1 and l_linger = 0: closing sends a reset.
_LINGER_NONE = b"\x01\x00\x00\x00\x00\x00\x00\x00"
