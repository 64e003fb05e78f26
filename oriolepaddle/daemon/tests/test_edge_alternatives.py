import threading

import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    EdgeFleet,
    await_true,
    make_document,
)
from oriolepaddle.daemon.tests.slow_clock import SlowClock
from oriolepaddle.platform.standins import RunnerBehaviour

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, 6)]
CLOCK_FACTOR = 2.0
CHAT = {"method": "POST", "X_Oriolepaddle_Deadline_Ms": "20000"}


@pytest.fixture
def fleet():
    fleet = EdgeFleet(SlowClock(CLOCK_FACTOR))
    for name in ("d1", "d2"):
        fleet.add_runner(name, DESK)
    for name in ("e1", "e2"):
        fleet.add_runner(name, ENGINES, events=5)
    fleet.add_instance("n1")
    fleet.await_ready()
    yield fleet
    fleet.close()


class Pair:
    """Two endpoints of a service, the first of which holds a response back."""

    def __init__(self, fleet, names, path, other, instance="n1", **options):
        runners = [fleet.runners[name] for name in names]
        for runner in runners:
            runner.behaviours.append(RunnerBehaviour.HELD)
        self._connection = fleet.begin(instance, path, **options)
        await_true(lambda: any(runner.received for runner in runners))
        self.first = next(runner for runner in runners if runner.received)
        self.other = next(runner for runner in runners if not runner.received)
        self.other.behaviours.clear()
        self.other.behaviours.append(other)

    def await_alternative(self):
        await_true(lambda: self.other.received)

    def read(self):
        return self._connection.getresponse().read()

    def leave(self):
        self._connection.close()


class TestRestingStream:
    """The failure: a sound stream was cut as soon as it seemed lost."""

    @pytest.mark.parametrize(
        "other", [RunnerBehaviour.SHED, RunnerBehaviour.SILENT, RunnerBehaviour.ERROR]
    )
    def test_goes_on_if_the_other_endpoint_does_not_take_it(self, fleet, other):
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", other, **CHAT)
        pair.await_alternative()
        pair.first.resumed.set()
        assert pair.read() == b"".join(EVENTS)
        assert pair.first.abandoned_count == 0

    def test_is_given_up_once_the_other_endpoint_has_begun(self, fleet):
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", RunnerBehaviour.ANSWER, **CHAT)
        assert pair.read() == b"".join(EVENTS)
        await_true(lambda: pair.first.abandoned_count == 1)
        (request,) = pair.other.received
        assert request.headers["last-event-id"] == "2"

    def test_that_breaks_off_is_continued_by_the_alternative(self, fleet):
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", RunnerBehaviour.HELD, **CHAT)
        pair.await_alternative()
        pair.first.stop()
        pair.other.resumed.set()
        assert pair.read() == b"".join(EVENTS)


class TestRestingStreamElsewhere:
    """The failure: a stream was cut while its instance drained, or at another one."""

    def test_goes_on_while_its_instance_drains(self, fleet):
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", RunnerBehaviour.SHED, **CHAT)
        threading.Thread(target=fleet.instances["n1"].stop, daemon=True).start()
        pair.await_alternative()
        pair.first.resumed.set()
        assert pair.read() == b"".join(EVENTS)
        assert pair.first.abandoned_count == 0

    def test_goes_on_if_it_was_forwarded(self, fleet):
        fleet.add_instance("s1", "sudur-a")
        fleet.await_ready()
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", RunnerBehaviour.SHED, "s1", **CHAT)
        pair.await_alternative()
        pair.first.resumed.set()
        assert pair.read() == b"".join(EVENTS)
        assert pair.first.abandoned_count == 0


class TestThirdEndpoint:
    """The failure: a third attempt began beside the second one's alternative."""

    def test_continues_a_stream_that_rests_twice(self, fleet):
        fleet.add_runner("e3", ENGINES)
        document = make_document(2)
        for route in document["routes"]:
            route |= {"maxAttempts": 3, "timeoutMs": 20_000}
        fleet.publish(document)
        await_true(lambda: fleet.instances["n1"].catalog.version == 2)
        await_true(lambda: len(fleet.instances["n1"].catalog.endpoints()) == 5)
        engines = [fleet.runners[name] for name in ("e1", "e2", "e3")]
        for engine in engines:
            engine.behaviours.append(RunnerBehaviour.HELD)
            engine.events = 8
            engine.pause_s = 0.2
        response = fleet.send("n1", "/chat/1", **CHAT)
        await_true(lambda: sum(len(item.received) for item in engines) == 2)
        (third,) = [engine for engine in engines if not engine.received]
        third.behaviours.clear()
        assert response.read().count(b"data: ") == 8
        assert len(third.received) == 1
        await_true(lambda: sum(item.abandoned_count for item in engines) == 2)


class TestOverdueResponse:
    """The failure: a sound run without a first byte was given up for nothing."""

    @pytest.mark.parametrize("status", [None, 500, 503, 429, 404])
    def test_is_delivered_if_the_other_endpoint_does_not_serve_it(self, fleet, status):
        other = RunnerBehaviour.ERROR if status else RunnerBehaviour.SHED
        for name in ("d1", "d2"):
            fleet.runners[name].error_status = status
        pair = Pair(fleet, ("d1", "d2"), "/read/1", other)
        pair.await_alternative()
        pair.first.resumed.set()
        assert pair.read() == b"done "
        assert pair.first.abandoned_count == 0

    def test_of_two_is_delivered_once(self, fleet):
        pair = Pair(fleet, ("d1", "d2"), "/read/1", RunnerBehaviour.HELD)
        pair.await_alternative()
        pair.other.resumed.set()
        assert pair.read() == b"done "
        pair.first.resumed.set()
        assert fleet.request("n1", "/read/2") == (200, b"done ")


class TestCaller:
    """The failure: an alternative ran on after its caller had left."""

    def test_that_leaves_ends_both_attempts(self, fleet):
        pair = Pair(fleet, ("d1", "d2"), "/read/1", RunnerBehaviour.HELD)
        pair.await_alternative()
        assert (pair.first.abandoned_count, pair.other.abandoned_count) == (0, 0)
        pair.leave()
        for runner in (pair.first, pair.other):
            await_true(lambda r=runner: r.abandoned_count == 1)

    def test_that_leaves_ends_an_alternative_that_took_over(self, fleet):
        pair = Pair(fleet, ("e1", "e2"), "/chat/1", RunnerBehaviour.HELD, **CHAT)
        await_true(lambda: pair.first.abandoned_count == 1)
        pair.leave()
        await_true(lambda: pair.other.abandoned_count == 1)
