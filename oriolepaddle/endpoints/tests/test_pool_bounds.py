import os
import resource
import socket
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock, SystemClock
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.handles import HandlePool
from oriolepaddle.endpoints.tests.test_transport import (
    CollectingSink,
    DroppingServer,
    make_request,
)
from oriolepaddle.errors import ErrorCode, Outcome, RefusedError

MAX_IDLE = timedelta(seconds=3)
MARGIN_FILES = 12


def fill(pool, addresses, each=1):
    for address in addresses:
        handles = [pool.acquire(address) for _ in range(each)]
        for handle in handles:
            pool.release(address, handle)


@pytest.fixture
def clock():
    return ManualClock()


class TestHandlePool:
    # Connections to endpoints that are gone must not stay open for good.
    def test_expired_handles_of_unused_addresses_are_closed(self, clock):
        pool = HandlePool(clock, MAX_IDLE)
        fill(pool, [f"10.0.0.{n}:80" for n in range(200)], each=3)
        assert pool.idle_count == 600
        clock.advance(MAX_IDLE + timedelta(seconds=1))
        assert pool.close_expired() == 600
        assert pool.idle_count == 0

    def test_handles_that_are_in_time_stay(self, clock):
        pool = HandlePool(clock, MAX_IDLE)
        fill(pool, ["10.0.0.1:80"])
        clock.advance(MAX_IDLE / 2)
        assert pool.close_expired() == 0
        assert pool.idle_count == 1

    def test_addresses_are_forgotten_with_their_last_handle(self, clock):
        pool = HandlePool(clock, MAX_IDLE)
        fill(pool, [f"10.0.0.{n}:80" for n in range(50)])
        clock.advance(MAX_IDLE * 2)
        for number in range(50):
            pool.acquire(f"10.0.0.{number}:80").close()
        assert pool.address_count == 0

    def test_total_is_bounded_and_the_oldest_go_first(self, clock):
        pool = HandlePool(clock, MAX_IDLE, max_idle_total=10)
        for number in range(30):
            fill(pool, [f"10.0.0.{number}:80"])
            clock.advance(timedelta(milliseconds=1))
        assert pool.idle_count == 10
        assert pool.acquire("10.0.0.29:80").idle_since_s > 0
        assert pool.acquire("10.0.0.1:80").idle_since_s == 0


class TestShortageOfDescriptors:
    @pytest.fixture
    def limit_files(self):
        """Return a function that leaves the process a number of descriptors."""
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        held = []

        def limit(left):
            used = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
            resource.setrlimit(resource.RLIMIT_NOFILE, (used + left, before[1]))
            while True:
                try:
                    held.append(os.dup(0))
                except OSError:
                    break
            for _ in range(left):
                os.close(held.pop())

        yield limit
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        for descriptor in held:
            os.close(descriptor)

    def test_sheds_idle_connections_first(self, limit_files):
        clock = SystemClock()
        transport = EndpointTransport(clock)
        servers = [DroppingServer() for _ in range(4)]
        run = transport.run
        for server in servers[:3]:
            run(server.address, make_request(clock), CollectingSink())
        limit_files(2)
        sink = CollectingSink()
        run(servers[3].address, make_request(clock), sink)
        assert sink.status == 200

    def test_does_not_blame_the_endpoint(self, limit_files):
        clock = SystemClock()
        transport = EndpointTransport(clock)
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        limit_files(0)
        with pytest.raises(RefusedError) as raised:
            transport.run(address, make_request(clock), CollectingSink())
        assert raised.value.code is ErrorCode.OVERLOADED
        assert raised.value.outcome is Outcome.NOT_RUN
        assert raised.value.retry_after > timedelta(0)
