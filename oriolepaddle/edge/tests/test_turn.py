import random
import threading
from datetime import timedelta
from types import SimpleNamespace

import pytest

from oriolepaddle.admission import EdgeQueue, QueuedRequest
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.edge.turn import Turn
from oriolepaddle.errors import AuthenticationError, ErrorCode, RefusedError
from oriolepaddle.placement import Choice, Job

SHORT_S, LONG_S = 0.8, 2.0
ENGINES = "engines"


class SteppedClock:
    """A clock that moves by the time that is waited for."""

    def __init__(self):
        self.now_s = 0.0
        self.on_wait = lambda: None

    def monotonic_s(self):
        return self.now_s

    def wait(self, event: threading.Event, timeout: timedelta):
        self.now_s += timeout.total_seconds()
        self.on_wait()
        return event.is_set()


class Placer:
    """Placement at one endpoint with a given queue."""

    def __init__(self):
        self.queue_s = 1.0

    def choose(self, job, excluded=()):
        if self.queue_s > job.max_first_byte_s:
            raise RefusedError("later", code=ErrorCode.OVERLOADED)
        return Choice(None, self.queue_s, 0)

    def list_without_permit(self, job, excluded=()):
        return []

    def estimate_s(self, service, tokens):
        return self.queue_s + tokens / 100_000


class World:
    def __init__(self):
        self.clock = SteppedClock()
        self.placer = Placer()
        self.queue = EdgeQueue(self.clock, random.Random(1).random)
        self.peer = None
        self.tokens = 9000
        self.events = []
        self.check = lambda: None
        self.progress = SimpleNamespace(
            attempts=0, runs=0, excluded=set(), may_forward=True
        )

    def place(self, target_s=LONG_S):
        context = SimpleNamespace(
            clock=self.clock,
            placer=self.placer,
            queue=self.queue,
            region="nordur",
            generator=random.Random(2),
            regions=SimpleNamespace(choose=lambda *_: self.peer),
            count_instances=lambda: 30,
            metrics=SimpleNamespace(
                queue_time=SimpleNamespace(observe=lambda waited_s: None)
            ),
        )
        admitted = SimpleNamespace(
            allows_region=lambda _: True,
            residency=(),
            organisation=None,
            route=SimpleNamespace(target=timedelta(seconds=target_s)),
        )
        due_s = self.clock.now_s + target_s

        def _make_job():
            left_s = due_s - self.clock.now_s
            return Job(ENGINES, input_tokens=self.tokens, max_first_byte_s=left_s)

        turn = Turn(
            context,
            self.progress,
            _make_job,
            lambda: self.check(),
            lambda event, **_: self.events.append(event),
        )
        choice, _ = turn.place(admitted, target_s)
        return choice

    def place_short(self):
        self.placer.queue_s, queue_s = 0.0, self.placer.queue_s
        self.place(SHORT_S)
        self.placer.queue_s = queue_s


@pytest.fixture
def world():
    world = World()
    world.place_short()
    return world


def fail(error):
    def _raise():
        raise error

    return _raise


class TestTurn:
    def test_starts_at_once_while_the_queue_is_short(self, world):
        world.placer.queue_s = 0.1
        assert world.place().expected_s == 0.1
        assert world.clock.now_s == 0.0
        assert world.events == []

    def test_request_of_the_shortest_target_never_waits(self, world):
        world.placer.queue_s = 0.75
        assert world.place(SHORT_S).expected_s == 0.75
        assert world.clock.now_s == 0.0

    def test_waits_until_the_queue_is_short(self, world):
        def _shorten():
            world.placer.queue_s -= 0.05

        world.clock.on_wait = _shorten
        assert world.place().expected_s < 0.5
        assert world.events == ["request_queued", "request_dequeued"]
        assert world.queue.count_waiting() == 0

    def test_is_refused_before_it_would_be_late(self, world):
        with pytest.raises(RefusedError) as caught:
            world.place()
        assert caught.value.code is ErrorCode.OVERLOADED
        assert 0.5 < world.clock.now_s < LONG_S
        assert world.queue.count_waiting() == 0

    def test_is_refused_at_once_while_others_wait_in_vain(self, world):
        """A request that is kept and then refused is worse off than one that is
        refused at once."""
        with pytest.raises(RefusedError):
            world.place()
        before_s = world.clock.now_s
        with pytest.raises(RefusedError):
            world.place()
        assert world.clock.now_s == before_s

    def test_is_forwarded_instead_of_refused(self, world):
        world.peer = PeerChoice("s1", "sudur", "10.0.0.1:80", 0.2)
        assert world.place() is world.peer

    def test_is_not_forwarded_to_a_region_where_it_would_wait(self, world):
        """Regions would exchange the requests that both of them refuse."""
        world.peer = PeerChoice("s1", "sudur", "10.0.0.1:80", 0.7)
        with pytest.raises(RefusedError):
            world.place()

    def test_is_not_refused_while_an_endpoint_is_idle(self, world):
        """Those that wait look at the endpoints only every 50 ms."""
        with pytest.raises(RefusedError):
            world.place()
        world.clock.now_s += 1.5
        waiting = QueuedRequest(ENGINES, "", 1.0, 1.0, LONG_S, LONG_S, 0.0)
        assert world.queue.enter(waiting) is not None
        world.placer.queue_s = 0.02
        assert world.place().expected_s == 0.02

    def test_request_without_time_to_wait_is_placed_as_before(self, world):
        world.tokens, world.placer.queue_s = 150_000, 1.9
        assert world.place().expected_s == 1.9
        assert world.clock.now_s == 0.0

    def test_repeated_request_does_not_wait(self, world):
        world.progress.attempts = 1
        assert world.place().expected_s == 1.0
        assert world.clock.now_s == 0.0


class TestShortPrompt:
    """Guards against holding back prompts whose wait leaves no room for others."""

    def test_is_placed_as_without_a_queue(self, world):
        world.tokens, world.placer.queue_s = 1000, 0.6
        world.place()
        assert not world.events


class TestWaiting:
    """What ends a wait early; the request leaves the queue in each case."""

    @pytest.mark.parametrize(
        "error",
        [
            ConnectionResetError("the caller disconnected"),
            RefusedError("shutting down", code=ErrorCode.DRAINING),
            AuthenticationError("the API key is unknown or withdrawn"),
        ],
    )
    def test_ends_with_the_error_of_the_check(self, world, error):
        world.check = fail(error)
        with pytest.raises(type(error)) as caught:
            world.place()
        assert caught.value is error
        assert world.clock.now_s == pytest.approx(0.05)
        assert world.queue.count_waiting() == 0
