"""Services that send bytes without end that are no answer."""

from datetime import timedelta

import pytest

from oriolepaddle.endpoints.tests.test_endless import BODIES, HEADS, EndlessServer
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication.client import MAX_RESPONSE_BYTES, PlatformClient

TIMEOUT = timedelta(seconds=20)
SOCKET_BYTES = 8_000_000
"""Bytes that the sockets' buffers may hold beside those that were read."""


class TestEndlessAnswer:
    @pytest.mark.parametrize("start, part", [*HEADS.values(), *BODIES.values()])
    def test_is_a_typed_error_before_the_timeout(self, start, part):
        server = EndlessServer(start, part)
        client = PlatformClient(server.address, TIMEOUT)
        with pytest.raises(PlatformUnavailableError, match="did not answer") as caught:
            client.fetch("/kv-range", {})
        assert "timed out" not in caught.value.message
        assert server.sent_bytes < MAX_RESPONSE_BYTES + SOCKET_BYTES
