import socket
from datetime import timedelta

import pytest

from oriolepaddle.web import AnswerWriter


@pytest.fixture
def pair():
    own, client = socket.socketpair()
    yield own, client
    own.close()
    client.close()


class TestAbandoned:
    def test_open_connection_is_not(self, pair):
        assert not AnswerWriter(pair[0], timedelta(seconds=1)).is_abandoned()

    def test_connection_that_the_client_closed_is(self, pair):
        writer = AnswerWriter(pair[0], timedelta(seconds=1))
        pair[1].close()
        assert writer.is_abandoned()

    def test_connection_that_was_closed_here_is(self, pair):
        # The watchdog may ask while the request's thread closes the connection.
        writer = AnswerWriter(pair[0], timedelta(seconds=1))
        pair[0].close()
        assert writer.is_abandoned()
