"""An endpoint that answers with given bytes, however broken, for tests."""

import re
import socket
import struct
import threading

from oriolepaddle.endpoints.tests.raw_endpoint import ConnectionServer, Ending

FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (200|000)[^\n]*\n")
REQUEST_ID = re.compile(rb"(?i)\r\nx-oriolepaddle-request-id: (\S+)")
RESUMPTION = b"\r\nlast-event-id: "
CLOSE = b"Connection: close\r\n"
PLATFORM_FIELDS = (
    b"X-Oriolepaddle-Request-Id: %b\r\nX-Oriolepaddle-Server-Seal: 3e1b.07\r\n"
)
HEALTH_CHECKS = (b"GET /load ", b"GET /cache/")
LOAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + CLOSE + b"\r\n{}"
BREAKS = [ending for ending in Ending if ending is not Ending.READ_ALL]
HEAD_END = b"\r\n\r\n"
READ_BYTES = 65_536
PAUSE_S = 0.3


class BrokenEndpoint(ConnectionServer):
    """Answers each request after its head; a health check gets a sound answer.

    The fields that the platform asks of its runners are added to an answer.

    Attributes:
        answer: The bytes of the answer.
        resumed_answer: The bytes of the answer to a request that resumes a stream.
        ending: How the connection ends.
        requests: The number of requests, health checks left out.
        resumptions: The number of those that resume a stream.
    """

    def __init__(self):
        self.answer = b""
        self.resumed_answer = b""
        self.ending = Ending.READ_ALL
        self.requests = 0
        self.resumptions = 0
        super().__init__(self._respond)

    def set_answer(self, answer, ending=Ending.READ_ALL):
        self.answer, self.ending = answer, ending
        self.requests = self.resumptions = 0

    def _respond(self, connection):
        head = b""
        while HEAD_END not in head:
            received = connection.recv(READ_BYTES)
            if not received:
                return
            head += received
        if head.startswith(HEALTH_CHECKS):
            connection.sendall(LOAD)
            return
        self.requests += 1
        is_resumption = RESUMPTION in head.lower()
        self.resumptions += is_resumption
        answer = self.resumed_answer if is_resumption else self.answer
        fields = CLOSE
        request_id = REQUEST_ID.search(head)
        if request_id:
            fields += PLATFORM_FIELDS % request_id.group(1)
        connection.sendall(FINAL_STATUS_LINE.sub(rb"\g<0>" + fields, answer, 1))
        self._end(connection)

    def _end(self, connection):
        if self.ending in (Ending.READ_ALL, Ending.END_THEN_RESET):
            connection.shutdown(socket.SHUT_WR)
        if self.ending is Ending.READ_ALL:
            while connection.recv(READ_BYTES):
                pass
            return
        if self.ending in (Ending.END_THEN_RESET, Ending.LATE_RESET):
            threading.Event().wait(PAUSE_S)
        linger = struct.pack("@ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
