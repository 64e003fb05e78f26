"""Faults from outside the daemons, in series and overlapping."""

import random
import signal
import subprocess
import threading

from oriolepaddle.platform.standins import RunnerBehaviour, StoreMode
from oriolepaddle.standins import RelayMode
from soak.fleet import SoakFleet, now_s

__all__ = ["Faults"]

PAUSE_S = (0.3, 2.5)
LENGTH_S = (0.3, 4.0)
STOP_TIMEOUT_S = 15
LEAVING_S = 6.0
PLANNED = ("terminate", "hang_up", "revoke", "publish", "leave")
UNPLANNED = (
    "kill",
    "freeze",
    "cut_runner",
    "forget_runner",
    "silence_runner",
    "delay_runner",
    "cut_store",
    "silence_store",
    "store_down",
    "forget_history",
    "break_answers",
)


class Faults:
    """Threads that draw faults until they are stopped.

    Args:
        fleet: What they befall.
        seed: Draws them.
        is_planned_only: Whether only planned work is done, in which no request
            may be lost.
        lines: The number of threads.
    """

    def __init__(
        self, fleet: SoakFleet, seed: int, is_planned_only: bool, lines: int = 2
    ) -> None:
        self._fleet = fleet
        self._kinds = PLANNED if is_planned_only else PLANNED + UNPLANNED
        self._stopping = threading.Event()
        # One instance at a time is down by a signal, as planned work is.
        self._signals = threading.Lock()
        self.events: list[tuple[float, str]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number, seed), daemon=True)
            for number in range(lines)
        ]

    def start(self) -> None:
        """Begin."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End what is going on and bring everything back."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, seed: int) -> None:
        generator = random.Random(f"faults/{seed}/{number}")
        while not self._stopping.wait(generator.uniform(*PAUSE_S)):
            kind = generator.choice(self._kinds)
            self.events.append((now_s(), kind))
            getattr(self, f"_{kind}")(generator)

    def _wait(self, generator: random.Random) -> None:
        self._stopping.wait(generator.uniform(*LENGTH_S))

    def _terminate(self, generator: random.Random) -> None:
        with self._signals:
            name = self._pick_process(generator)
            self._end(name, signal.SIGTERM)
            self._restart(name)

    def _kill(self, generator: random.Random) -> None:
        with self._signals:
            name = self._pick_process(generator)
            self._end(name, signal.SIGKILL)
            self._wait(generator)
            self._restart(name)

    def _freeze(self, generator: random.Random) -> None:
        with self._signals:
            process = self._fleet.processes[self._pick_process(generator)]
            process.send_signal(signal.SIGSTOP)
            self._wait(generator)
            process.send_signal(signal.SIGCONT)

    def _hang_up(self, generator: random.Random) -> None:
        with self._signals:
            name = self._pick_process(generator)
            self._fleet.processes[name].send_signal(signal.SIGHUP)

    def _revoke(self, generator: random.Random) -> None:
        self._fleet.revoke()

    def _publish(self, generator: random.Random) -> None:
        self._fleet.publish()

    def _leave(self, generator: random.Random) -> None:
        # One runner of each service and region stays.
        names = [name for name in self._fleet.runners if name.endswith("-0")]
        name = generator.choice(names)
        if name in self._fleet.left:
            return
        self._fleet.leave(name)
        self._stopping.wait(LEAVING_S)
        self._fleet.come_back(name)

    def _set_relay(self, generator: random.Random, relays: dict, mode: str) -> None:
        relay = relays[generator.choice(sorted(relays))]
        relay.set_mode(RelayMode(mode))
        if mode != RelayMode.DROP_OPEN:
            self._wait(generator)
        relay.set_mode(RelayMode.PASS)

    def _cut_runner(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.relays, "cut")

    def _forget_runner(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.relays, "forget")

    def _silence_runner(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.relays, "silent")

    def _delay_runner(self, generator: random.Random) -> None:
        relay = self._fleet.relays[generator.choice(sorted(self._fleet.relays))]
        relay.delay_s = generator.uniform(0.02, 0.2)
        self._wait(generator)
        relay.delay_s = 0.0

    def _cut_store(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.store_relays, "cut")

    def _silence_store(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.store_relays, "silent")

    def _store_down(self, generator: random.Random) -> None:
        self._fleet.store.mode = generator.choice((StoreMode.BUSY, StoreMode.RESET))
        self._wait(generator)
        self._fleet.store.mode = StoreMode.SERVING

    def _forget_history(self, generator: random.Random) -> None:
        self._fleet.store.forget_history()

    def _break_answers(self, generator: random.Random) -> None:
        runner = self._fleet.runners[generator.choice(sorted(self._fleet.runners))]
        behaviours = [
            item for item in RunnerBehaviour if item is not RunnerBehaviour.ANSWER
        ]
        runner.behaviours.extend(generator.choice(behaviours) for _ in range(5))

    def _pick_process(self, generator: random.Random) -> str:
        return generator.choice(sorted(self._fleet.processes))

    def _end(self, name: str, number: int) -> None:
        process = self._fleet.processes[name]
        process.send_signal(number)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.events.append((now_s(), f"{name} did not end"))
            process.kill()
            process.wait()

    def _restart(self, name: str) -> None:
        self._fleet.start_process(name)
        # The next one is stopped only when this one serves again.
        for _ in range(STOP_TIMEOUT_S * 10):
            if self._fleet.is_ready(name) or self._stopping.wait(0.1):
                return
