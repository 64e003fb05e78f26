import json
import threading
from datetime import timedelta

import pytest

from oriolepaddle.clock import SystemClock
from oriolepaddle.config import parse_ticket
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.publication import ClientRecord, Instance
from oriolepaddle.publication.http import (
    HttpClientDirectory,
    HttpConfigurationService,
    HttpInstanceListService,
)
from oriolepaddle.standins import PlatformStandin

LONG_TIMEOUT = timedelta(seconds=30)
TICKET = {"number": 1, "objects": [{"kind": "key", "id": "k1", "value": None}]}


@pytest.fixture
def platform():
    platform = PlatformStandin()
    platform.start()
    yield platform
    platform.close()


class TestHttpConfigurationService:
    def test_reads_and_watches_in_order(self, platform):
        service = HttpConfigurationService(platform.address)
        assert service.read("tickets/").values == ()
        platform.publish(parse_ticket(json.dumps(TICKET)))
        platform.publish_text("other/1", "x")
        reading = service.watch("tickets/", 0, LONG_TIMEOUT)
        assert [value.key for value in reading.values] == ["tickets/1"]
        assert reading.revision == 2
        assert reading.is_complete

    def test_pending_watch_does_not_block_other_calls(self, platform):
        service = HttpConfigurationService(platform.address)
        readings = []
        watch = threading.Thread(
            target=lambda: readings.append(service.watch("a/", 0, LONG_TIMEOUT))
        )
        watch.start()
        while not platform.calls:
            threading.Event().wait(0.001)
        assert service.read("b/").values == ()
        platform.publish_text("a/1", "x")
        watch.join()
        assert readings[0].values[0].text == "x"

    def test_outage_raises_platform_unavailable(self, platform):
        service = HttpConfigurationService(platform.address)
        platform.is_down = True
        with pytest.raises(PlatformUnavailableError):
            service.read("tickets/")
        platform.close()
        with pytest.raises(PlatformUnavailableError):
            service.read("tickets/")


class TestHttpInstanceListService:
    def test_first_call_returns_at_once(self, platform):
        service = HttpInstanceListService(platform.address, SystemClock())
        assert service.watch(0, LONG_TIMEOUT).instances == ()

    def test_change_ends_a_watch(self, platform):
        service = HttpInstanceListService(platform.address, SystemClock())
        first = service.watch(0, LONG_TIMEOUT)
        instance = Instance("n1", "nordur-a", "127.0.0.1:1", "127.0.0.1:2")
        platform.set_instances((instance,))
        assert service.watch(first.revision, LONG_TIMEOUT).instances == (instance,)


class TestHttpClientDirectory:
    def test_lists_clients(self, platform):
        client = ClientRecord("c1", "norddal", "nordur")
        platform.set_clients((client,))
        assert HttpClientDirectory(platform.address).read() == (client,)
