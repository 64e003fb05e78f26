"""Bytes without end in answers to the system's own calls."""

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.config.model import Endpoint
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.control import HttpEngineControl
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.endpoints.tests.test_endless import BODIES, HEADS, EndlessServer
from oriolepaddle.errors import OriolepaddleError, PlatformUnavailableError
from oriolepaddle.publication.client import MAX_RESPONSE_BYTES, PlatformClient

MAX_SENT_BYTES = 8_000_000
"""The sockets' buffers, and what a short answer may have."""


@pytest.fixture(params=[*HEADS, *BODIES])
def server(request):
    return EndlessServer(*(HEADS | BODIES)[request.param])


class TestHealthCheck:
    """The failure: a check kept what an endpoint sent until its timeout."""

    def test_reads_a_short_answer_only(self, server):
        result = HealthChecker().check(server.address)
        assert server.sent_bytes < MAX_SENT_BYTES
        assert not result.is_up

    def test_of_the_cache_reads_a_short_answer_only(self, server):
        reading = HealthChecker().read_cache_events("e1", server.address, 0)
        assert server.sent_bytes < MAX_SENT_BYTES
        assert reading.epoch is None


class TestEngineCall:
    """The failure: a call kept what an engine sent until its timeout."""

    def test_reads_a_short_answer_only(self, server):
        clock = SystemClock()
        transport = EndpointTransport(clock)
        endpoint = Endpoint("e1", "north-a", server.address, ("chat",))
        with pytest.raises(OriolepaddleError):
            HttpEngineControl(clock, transport).state(endpoint)
        transport.close()
        assert server.sent_bytes < MAX_SENT_BYTES


class TestPlatformClient:
    """The failure: a call kept what the platform or a peer sent until its timeout."""

    def test_reads_a_bounded_answer_only(self, server):
        with pytest.raises(PlatformUnavailableError):
            PlatformClient(server.address).fetch("/kv-range", {})
        assert server.sent_bytes < MAX_RESPONSE_BYTES + MAX_SENT_BYTES
