import os
import resource
import threading

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.web import HttpServer
from oriolepaddle.web.tests.test_server import (
    EchoApplication,
    connect,
    read_response,
    wait_until_idle,
)

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Descriptors:
    """Takes all descriptors of the process up to a limit, and returns some."""

    def __init__(self):
        self.before = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.held = []

    def take_all(self):
        used = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
        resource.setrlimit(resource.RLIMIT_NOFILE, (used + 8, self.before[1]))
        while True:
            try:
                self.held.append(os.dup(0))
            except OSError:
                return

    def give(self, count):
        for _ in range(min(count, len(self.held))):
            os.close(self.held.pop())
        return count


@pytest.fixture
def descriptors():
    descriptors = Descriptors()
    yield descriptors
    resource.setrlimit(resource.RLIMIT_NOFILE, descriptors.before)
    descriptors.give(len(descriptors.held))


def make_server(**options):
    server = HttpServer("127.0.0.1", 0, EchoApplication(), SystemClock(), **options)
    server.start()
    return server


def open_clients(server, count):
    return [connect(server) for _ in range(count)]


class TestShortageOfDescriptors:
    # A listener without descriptors must go on accepting, and recover by itself.
    def test_connection_is_refused_and_later_ones_are_served(self, descriptors):
        server = make_server()
        with connect(server) as busy:
            busy.sendall(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
            assert server.application.entered.wait(5)
            descriptors.take_all()
            descriptors.give(1)
            # The client's own end takes the descriptor that was left.
            with connect(server) as refused:
                status, body = read_response(refused)
            assert (status, b"overloaded" in body) == (503, True)
            descriptors.give(8)
            with connect(server) as served:
                served.sendall(REQUEST)
                assert read_response(served)[0] == 200
            server.application.release.set()
            assert read_response(busy)[0] == 200
        server.close()

    def test_idle_connections_of_clients_are_closed_first(self, descriptors):
        server = make_server()
        with connect(server) as idle:
            idle.sendall(REQUEST)
            assert read_response(idle)[0] == 200
            wait_until_idle(server)
            descriptors.take_all()
            descriptors.give(1)
            with connect(server) as served:
                served.sendall(REQUEST)
                assert read_response(served)[0] == 200
        server.close()

    def test_idle_connections_to_other_servers_are_closed_first(self, descriptors):
        server = make_server(free_descriptors=lambda: descriptors.give(3))
        descriptors.take_all()
        descriptors.give(1)
        with connect(server) as served:
            served.sendall(REQUEST)
            assert read_response(served)[0] == 200
        server.close()

    def test_listener_does_not_spin(self, descriptors, monkeypatch):
        server = make_server()
        waits = []
        wait = server.clock.wait

        def count_waits(event, timeout):
            waits.append(timeout)
            return wait(event, timeout)

        monkeypatch.setattr(server.clock, "wait", count_waits)
        server._spare.give()
        descriptors.take_all()
        descriptors.give(1)
        client = connect(server)
        threading.Event().wait(0.3)
        assert 1 <= len(waits) <= 30
        client.close()
        descriptors.give(8)
        server.close()
