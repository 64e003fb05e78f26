"""Callers that reuse each connection until it is closed."""

import http.client
import random
import threading

from oriolepaddle.daemon.tests.edge_fleet import HOST
from oriolepaddle.platform import names
from soak.fleet import now_s
from soak.ledger import Ledger, SentRequest

__all__ = ["Callers"]

REQUEST_KINDS = ("read", "book", "ask", "chat")
REQUEST_TIMEOUT_S = 4.0
DISCONNECT_PROBABILITY = 0.05
"""Probability that a caller disconnects before the answer."""
PAUSE_RANGE_S = (0.0, 0.08)


class Callers:
    """Threads that send random requests until they are stopped.

    Args:
        addresses: Returns the caller addresses of the running instances.
        keys: Returns the keys that are valid or were revoked recently.
        ledger: Records the requests.
        seed: Seeds the choice of requests.
        count: The number of threads.
    """

    def __init__(self, addresses, keys, ledger: Ledger, seed: int, count: int) -> None:
        self._addresses = addresses
        self._keys = keys
        self._ledger = ledger
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, seed), daemon=True)
            for number in range(count)
        ]

    def start(self) -> None:
        """Start to send requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait until the requests in flight have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, seed: int) -> None:
        generator = random.Random(f"{seed}/{number}")
        connection = None
        sequence = 0
        while not self._stopping.wait(generator.uniform(*PAUSE_RANGE_S)):
            sequence += 1
            if connection is None:
                connection = self._connect(generator)
            request = SentRequest(
                id=f"{seed:08x}-{number:04x}-{sequence:08x}",
                path=f"/{generator.choice(REQUEST_KINDS)}/{sequence}",
                key=generator.choice(self._keys()),
                body=b"body of %d/%d" % (number, sequence),
                sent_s=now_s(),
            )
            self._ledger.add(request)
            is_disconnecting = generator.random() < DISCONNECT_PROBABILITY
            if not self._send(connection, request, is_disconnecting):
                connection.close()
                connection = None
            request.ended_s = now_s()

    def _connect(self, generator: random.Random) -> http.client.HTTPConnection:
        host, port = generator.choice(self._addresses()).split(":")
        return http.client.HTTPConnection(
            host, int(port), timeout=REQUEST_TIMEOUT_S + 2
        )

    def _send(
        self,
        connection: http.client.HTTPConnection,
        request: SentRequest,
        is_disconnecting: bool,
    ) -> bool:
        headers = {
            "Host": HOST,
            "Authorization": f"Token {request.key}",
            names.REQUEST_ID: request.id,
            names.DEADLINE_MS: str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        method = "GET" if request.path.startswith("/read/") else "POST"
        body = b"" if method == "GET" else request.body
        try:
            connection.request(method, request.path, body, headers)
            request.is_sent = True
            if is_disconnecting:
                request.status = 0
                return False
            response = connection.getresponse()
            request.status = response.status
            request.answer = response.read()
            return response.headers.get("Connection") != "close"
        except (OSError, http.client.HTTPException):
            return False
