from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.daemon.descriptors import DescriptorWatch

LIMIT = 1000
SECOND = timedelta(seconds=1)


class Process:
    def __init__(self):
        self.clock = ManualClock()
        self.used = 100
        self.freed = 0
        self.watch = DescriptorWatch(
            self.clock, self.free, lambda: self.used, lambda: LIMIT
        )

    def free(self):
        self.freed += 1
        return 7

    def check(self, used):
        self.used = used
        self.clock.advance(SECOND)
        self.watch.check()


@pytest.fixture
def process():
    return Process()


@pytest.fixture
def events(monkeypatch):
    events = []
    monkeypatch.setattr(
        "oriolepaddle.daemon.descriptors.log_event",
        lambda event, **fields: events.append((event, fields)),
    )
    return events


class TestDescriptorWatch:
    def test_frees_idle_connections_before_the_limit(self, process, events):
        process.check(799)
        assert (process.freed, events) == (0, [])
        process.check(800)
        expected = {"used": 800, "limit": LIMIT, "closed": 7}
        assert (process.freed, events) == (1, [("descriptors_short", expected)])

    def test_logs_once_while_they_are_short(self, process, events):
        for used in (900, 950, 750, 900):
            process.check(used)
        assert process.freed == 3
        assert [event for event, _ in events] == ["descriptors_short"]
        process.check(600)
        assert events[-1][0] == "descriptors_enough"

    def test_checks_at_most_once_a_second(self, process, events):
        process.check(900)
        process.clock.advance(SECOND / 2)
        process.watch.check()
        assert process.freed == 1

    def test_unknown_count_frees_nothing(self, process, events):
        process.check(-1)
        assert (process.freed, events) == (0, [])
