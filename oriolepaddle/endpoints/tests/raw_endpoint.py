"""An endpoint that sends given bytes, for tests."""

import contextlib
import enum
import socket
import struct
import threading

READ_BYTES = 4096
PAUSE_S = 0.3


class Ending(enum.StrEnum):
    """How the endpoint ends a connection after its bytes."""

    RESET = "reset"
    LATE_RESET = "reset later"
    END_THEN_RESET = "end, then reset"
    READ_ALL = "read the request whole, then end"


class RawEndpoint:
    """Answers each connection with the same bytes, after the first of a request.

    Args:
        answer: Returns the bytes for the request's first bytes.
        ending: How each connection ends.
    """

    def __init__(self, answer, ending):
        self._answer = answer
        self._ending = ending
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        self._listener.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            head = connection.recv(READ_BYTES)
            if self._ending is Ending.READ_ALL:
                self._read_all(connection, head)
            connection.sendall(self._answer(head))
            if self._ending is Ending.END_THEN_RESET:
                connection.shutdown(socket.SHUT_WR)
            if self._ending in (Ending.END_THEN_RESET, Ending.LATE_RESET):
                threading.Event().wait(PAUSE_S)
            if self._ending is not Ending.READ_ALL:
                linger = struct.pack("@ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _read_all(self, connection, data):
        head, _, body = data.partition(b"\r\n\r\n")
        fields = head.lower().split(b"content-length: ")
        missing = int(fields[1].split(b"\r\n")[0]) if len(fields) > 1 else 0
        missing -= len(body)
        while missing > 0:
            missing -= len(connection.recv(READ_BYTES)) or missing
