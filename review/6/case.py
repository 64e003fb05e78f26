"""Case 6: a sound stream that rests for 1.4 s is cut off without its end."""

import http.client
import pathlib
import signal
import threading
import time

import harness2
from harness2 import HOST, KEY, REQUEST_ID, TROUBLE, CaseError, Runner, make_id

EVENTS = 20
PAUSE_S = 1.4 if TROUBLE else 0.0
"""Length of the pause at the engine that preempts the stream and reads it in again."""
PAUSED_EVENT = 8
CALM_STREAMS = 8
ALLOWED_CUTS = 3


class Engine(Runner):
    """A runner whose streams may rest once, or one that is full."""

    is_full = False
    pause_s = 0.0

    def refuse(self, connection, request_id):
        """Refuse a request if all slots and the queue are taken."""
        if self.is_full:
            fields = ["X-Oriolepaddle-Not-Run: 1"]
            self.send(connection, 503, b"", request_id, fields, seal=False)
        return self.is_full

    def answer(self, connection, request_id, method, target, headers, body):
        """Answer a request; see `Runner.answer`."""
        first = int(headers.get("last-event-id") or 0) + 1
        lines = [
            "HTTP/1.1 200 OK",
            f"{REQUEST_ID}: {request_id}",
            f"X-Oriolepaddle-Server-Seal: 3e1b.07.{self.id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            time.sleep(0.05)
            if number == PAUSED_EVENT and self.pause_s:
                self.record.write(f"{self.id} preempts {request_id}")
                time.sleep(self.pause_s)
                self.record.write(f"{self.id} goes on with {request_id}")
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                self.record.write(f"{self.id}: the channel of {request_id} is closed")
                raise
        connection.sendall(b"0\r\n\r\n")
        self.record.write(f"{self.id} has made all events of {request_id}")
        return True


class Streams:
    """Sends streams on a kept channel and records how they end.

    Args:
        record: The record.
        address: The front address.
    """

    def __init__(self, record, address):
        self._record = record
        self._address = address
        self._connection = None

    def read(self):
        """Send a plain request, so that the channel is a kept one."""
        self._close()
        self._connection = http.client.HTTPConnection(self._address, timeout=12)
        headers = {
            "Host": HOST,
            REQUEST_ID: make_id(),
            "X-Oriolepaddle-Deadline-Ms": "3000",
            "Authorization": f"Token {KEY}",
        }
        self._connection.request("GET", "/pule252/2f", headers=headers)
        response = self._connection.getresponse()
        response.read()
        if response.status != 200:
            raise CaseError(f"a plain request gets {response.status}")

    def send(self):
        """Send a stream on the kept channel; return why it isn't complete, or ""."""
        request_id = make_id()
        headers = {
            "Host": HOST,
            REQUEST_ID: request_id,
            "X-Oriolepaddle-Deadline-Ms": "10000",
            "X-Oriolepaddle-Token-Count": "826,300",
            "Authorization": f"Token {KEY}",
        }
        started_s = time.monotonic()
        self._record.write(f"the client sends {request_id}")
        reason, received = "", b""
        try:
            self._connection.request("POST", "/lohu930/2f", b"prompt", headers)
            response = self._connection.getresponse()
            if response.status != 200:
                reason = f"status {response.status}"
            received = response.read()
            if response.getheader("Connection") == "close":
                self._close()
        except http.client.IncompleteRead as error:
            received, reason = error.partial, "the channel ended before the answer"
            self._close()
        except (OSError, http.client.HTTPException) as error:
            reason = f"no answer: {error!r}"
            self._close()
        pieces = received.count(b"data: ")
        if not reason and pieces != EVENTS:
            reason = "pieces are missing"
        elapsed_s = time.monotonic() - started_s
        self._record.write(
            f"the client has {pieces} of {EVENTS} pieces of {request_id} after "
            f"{elapsed_s:.2f} s: {reason or 'complete'}"
        )
        return reason

    def _close(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def play(record, cleanups):
    """Send streams in calm, then one around a SIGTERM."""
    engine = Engine(record, "r1", "consiglio")
    full = Engine(record, "r2", "consiglio")
    full.is_full = True
    plain = Runner(record, "r3", "cabina")
    route = harness2.make_route(
        "door-question",
        "/lohu930/",
        "stream",
        "consiglio",
        resumable=True,
        timeoutMs=10000,
        sloMs=800,
        gapTargetMs=400,
    )
    service = {
        "name": "consiglio",
        "healthPath": "/health",
        "engine": {"slots": 64, "kvCapacity": 287519},
    }
    reading = harness2.make_route("room-reading", "/pule252/", "safe", "cabina")
    _, gateway = harness2.start_gateway(
        record,
        cleanups,
        [route, reading],
        [service, {"name": "cabina", "healthPath": "/health"}],
        [engine, full, plain],
    )
    streams = Streams(record, gateway.addresses["front"])
    streams.read()
    if reason := streams.send():
        raise CaseError(f"a plain stream fails: {reason}")
    engine.pause_s = PAUSE_S
    cuts = []
    for _ in range(CALM_STREAMS):
        streams.read()
        if reason := streams.send():
            cuts.append(reason)
    breaks = []
    if len(cuts) > ALLOWED_CUTS:
        breaks.append(
            f"LOST: {len(cuts)} of {CALM_STREAMS} requests were passed on to a sound "
            f"runner, and their channels closed without the answer ({cuts[0]})"
        )
    # Planned work: the SIGTERM comes while the runner works on a stream, and the
    # runner is done three seconds before the last sixth of the grace time.
    streams.read()
    ends = []
    thread = threading.Thread(target=lambda: ends.append(streams.send()))
    thread.start()
    time.sleep(0.2)
    gateway.send_signal(signal.SIGTERM)
    thread.join()
    if ends[0]:
        breaks.append(f"LOST: a stream around a SIGTERM ends so: {ends[0]}")
    gateway.process.wait(timeout=15)
    return breaks


if __name__ == "__main__":
    harness2.run_case(pathlib.Path(__file__).parent, play)
