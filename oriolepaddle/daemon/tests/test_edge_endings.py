import http.client
import itertools
import json
import random
import threading
import time

import attrs
import pytest

from oriolepaddle.daemon.tests.edge_fleet import (
    ENGINES,
    await_true,
    make_document,
)
from oriolepaddle.daemon.tests.edge_processes import EdgeProcesses
from oriolepaddle.platform.standins import CrashManner, RunnerStandin, StoreStandin

DATA_CENTRES = ("nordur-a", "nordur-a", "sudur-a")
ENGINES_EACH = {"nordur-a": 5, "sudur-a": 3}
DEADLY_PART = "dead"
SUBJECTS = 8
SOUND_PER_S, DEADLY_PER_S = 16, 6
RETURN_S = 3.0
EVENTS, EVENT_INTERVAL_S = 5, 0.03
STABLE_WINDOW_S = 6.0
CRASH_LIMIT = 5
MAX_LATE_REQUESTS = 3
"""Requests with the deadly part that may reach engines later than the stable window
after the fifth crash."""
MIN_SOUND_REQUESTS = 20
MIN_SERVED_FRACTION = 0.5
FIRST_CRASHES_S = 12.0
"""Time in which five crashes come if a part is not found."""
OBSERVED_S = 2 * STABLE_WINDOW_S + 3.0
_numbers = itertools.count(1)


@attrs.define
class SentPrompt:
    sent_s: float
    status: int = 0


class EngineFleet:
    """Engines that a deadly prompt ends, and that return under a new id.

    Args:
        store: The store in which they register.
        manner: What callers see when one ends.
    """

    def __init__(self, store, manner):
        self.store = store
        self.manner = manner
        self.crashed_s = []
        self.engines = []
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def add(self, data_centre):
        engine = RunnerStandin(f"e{next(_numbers)}", ENGINES, data_centre, EVENTS)
        engine.pause_s = EVENT_INTERVAL_S
        engine.deadly_part = DEADLY_PART
        engine.crash_manner = self.manner
        engine.on_crash = lambda ended: self.replace(ended, data_centre)
        engine.start()
        self.engines.append(engine)
        self.store.put(f"servers/{engine.id}", engine.describe())

    def replace(self, ended, data_centre):
        with self._lock:
            self.crashed_s.append(time.monotonic())
            previous = ended.id
            if self.manner is CrashManner.BACK_AT_ONCE:
                ended.id = f"e{next(_numbers)}"
                ended.born_ms += 1
                self.store.put(f"servers/{ended.id}", ended.describe())
        threading.Thread(
            target=self.complete_replacement, args=(previous, data_centre), daemon=True
        ).start()

    def complete_replacement(self, previous, data_centre):
        if self._stopping.wait(RETURN_S):
            return
        self.store.delete(f"servers/{previous}")
        if self.manner is not CrashManner.BACK_AT_ONCE:
            self.add(data_centre)

    def count_deadly_after(self, moment_s):
        return sum(
            DEADLY_PART in request.headers["x-oriolepaddle-prompt-prefix"]
            and request.received_s > moment_s
            for engine in self.engines
            for request in engine.received
        )

    def stop(self):
        self._stopping.set()
        for engine in self.engines:
            engine.stop()


class Load:
    """Sends sound and deadly prompts, no two alike, to the instances in turn."""

    def __init__(self, instances):
        self.instances = list(instances)
        self.sound = []
        self.stopping = threading.Event()
        self._generator = random.Random(38)

    def start(self):
        for rate, is_deadly in ((SOUND_PER_S, False), (DEADLY_PER_S, True)):
            threading.Thread(
                target=self.send_at_rate, args=(rate, is_deadly), daemon=True
            ).start()

    def send_at_rate(self, rate, is_deadly):
        while not self.stopping.wait(1 / rate):
            threading.Thread(target=self.send, args=(is_deadly,), daemon=True).start()

    def send(self, is_deadly):
        number = next(_numbers)
        instance = self.instances[number % len(self.instances)]
        parts = ["5c1e", f"91b{self._generator.randrange(SUBJECTS)}"]
        parts += [DEADLY_PART] if is_deadly else []
        sent = SentPrompt(time.monotonic())
        if not is_deadly:
            self.sound.append(sent)
        try:
            sent.status, _ = instance.request(
                "/ask/1",
                f"{number:016x}",
                "POST",
                X_Oriolepaddle_Token_Count="3000,50",
                X_Oriolepaddle_Prompt_Prefix=",".join(
                    f"{part}:700" for part in [*parts, f"a{number}"]
                ),
            )
        except (OSError, http.client.HTTPException):
            sent.status = 0


@pytest.fixture
def fleet(request):
    store = StoreStandin()
    store.start()
    document = make_document()
    store.put("op/config", json.dumps(document).encode())
    engines = EngineFleet(store, request.param)
    for data_centre, count in ENGINES_EACH.items():
        for _ in range(count):
            engines.add(data_centre)
    processes = EdgeProcesses(store.address)
    for number, data_centre in enumerate(DATA_CENTRES):
        processes.add(f"n{number + 1}", data_centre)
    processes.await_ready()
    yield engines, Load(processes.instances.values())
    processes.stop()
    engines.stop()
    store.stop()


class TestPartThatEndsEngines:
    """Guards against sending a deadly part on however the engines under it end."""

    @pytest.mark.parametrize(
        "fleet", CrashManner, indirect=True, ids=lambda manner: manner.name.lower()
    )
    def test_reaches_few_engines_and_sound_prompts_are_served(self, fleet):
        engines, load = fleet
        load.start()
        started_s = time.monotonic()
        await_true(
            lambda: (
                len(engines.crashed_s) >= CRASH_LIMIT
                or time.monotonic() > started_s + FIRST_CRASHES_S
            ),
            2 * FIRST_CRASHES_S,
        )
        last_counted_s = engines.crashed_s[:CRASH_LIMIT][-1]
        await_true(
            lambda: time.monotonic() > last_counted_s + OBSERVED_S, 2 * OBSERVED_S
        )
        load.stopping.set()
        time.sleep(1.0)
        late = engines.count_deadly_after(last_counted_s + STABLE_WINDOW_S)
        sound = [
            sent
            for sent in load.sound
            if last_counted_s + 2 * STABLE_WINDOW_S < sent.sent_s
        ]
        served = sum(sent.status == 200 for sent in sound)
        crashes = len(engines.crashed_s)
        report = f"{crashes} crashes, {late} late, {served} of {len(sound)} served"
        print(report)
        assert crashes < CRASH_LIMIT or late <= MAX_LATE_REQUESTS, report
        assert len(sound) >= MIN_SOUND_REQUESTS
        assert served >= MIN_SERVED_FRACTION * len(sound), report
