from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.endpoints.handles import HandlePool

ADDRESS = "127.0.0.1:9"


class TestReuseOfOpenConnections:
    """Non-idempotent requests reuse only a connection that is still open."""

    @pytest.mark.parametrize(
        ("keep_alive_timeout_s", "idle_s", "is_reused"),
        [
            (None, 0.2, True),
            (None, 0.8, False),
            (5.0, 1.5, True),
            (1.0, 0.8, False),
            (60.0, 3.0, False),
        ],
    )
    def test_depends_on_the_servers_keep_alive_timeout(
        self, keep_alive_timeout_s, idle_s, is_reused
    ):
        clock = ManualClock()
        pool = HandlePool(clock, timedelta(seconds=20))
        handle = pool.acquire(ADDRESS)
        handle.keep_alive_timeout_s = keep_alive_timeout_s
        pool.release(ADDRESS, handle)
        clock.advance(timedelta(seconds=idle_s))
        assert (
            pool.acquire(ADDRESS, reuse_only_if_surely_open=True) is handle
        ) == is_reused

    def test_unsuitable_connection_stays_in_the_pool(self):
        clock = ManualClock()
        pool = HandlePool(clock, timedelta(seconds=20))
        handle = pool.acquire(ADDRESS)
        pool.release(ADDRESS, handle)
        clock.advance(timedelta(seconds=1))
        assert pool.acquire(ADDRESS, reuse_only_if_surely_open=True) is not handle
        assert pool.acquire(ADDRESS) is handle
