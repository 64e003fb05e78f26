"""Injects external faults into the fleet, one after another and concurrently."""

import random
import signal
import subprocess
import threading

from oriolepaddle.platform.standins import RunnerBehaviour, StoreMode
from oriolepaddle.standins import RelayMode
from soak.fleet import SoakFleet, now_s

__all__ = ["Faults"]

SIGNALS = ("name_limit", "tell_leaving", "ask_for_pause")
"""What runners say of themselves, drawn apart from the other faults, so that a seed
still draws the same ones of these."""
LIMITS_PER_S = ("0", "0.5", "2")
LIMIT_DURATION_S = 11.0

PAUSE_RANGE_S = (0.3, 2.5)
DURATION_RANGE_S = (0.3, 4.0)
STOP_TIMEOUT_S = 15
LEAVE_DURATION_S = 6.0
PLANNED_EVENTS = ("terminate", "hang_up", "revoke", "publish", "leave")
UNPLANNED_FAULTS = (
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
    """Threads that inject random faults until they are stopped.

    Args:
        fleet: The fleet that gets the faults.
        seed: Seeds the choice of faults.
        is_planned_only: Whether to inject only planned operations, during which no
            request may be lost.
        thread_count: The number of threads.
    """

    def __init__(
        self, fleet: SoakFleet, seed: int, is_planned_only: bool, thread_count: int = 2
    ) -> None:
        self._fleet = fleet
        self._kinds = (
            PLANNED_EVENTS if is_planned_only else PLANNED_EVENTS + UNPLANNED_FAULTS
        )
        self._stopping = threading.Event()
        # Only one instance at a time is stopped by a signal, as in planned work.
        self._signal_lock = threading.Lock()
        self.events: list[tuple[float, str]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number, seed), daemon=True)
            for number in range(thread_count)
        ]
        self._threads.append(
            threading.Thread(target=self._run_signals, args=(seed,), daemon=True)
        )

    def start(self) -> None:
        """Start to inject faults."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop, and wait until the faults in progress have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, seed: int) -> None:
        generator = random.Random(f"faults/{seed}/{number}")
        while not self._stopping.wait(generator.uniform(*PAUSE_RANGE_S)):
            kind = generator.choice(self._kinds)
            self.events.append((now_s(), kind))
            getattr(self, f"_{kind}")(generator)

    def _run_signals(self, seed: int) -> None:
        generator = random.Random(f"signals/{seed}")
        while not self._stopping.wait(generator.uniform(*PAUSE_RANGE_S)):
            kind = generator.choice(SIGNALS)
            # The other runner of each service and region says nothing.
            names = [name for name in self._fleet.runners if name.endswith("-0")]
            self.events.append((now_s(), kind))
            getattr(self, f"_{kind}")(generator, generator.choice(names))

    def _name_limit(self, generator: random.Random, name: str) -> None:
        runner, since_s = self._fleet.runners[name], now_s()
        runner.limit = generator.choice(LIMITS_PER_S)
        self._stopping.wait(LIMIT_DURATION_S)
        self._fleet.limits.append((name, float(runner.limit), since_s, now_s()))
        runner.limit = None

    def _tell_leaving(self, generator: random.Random, name: str) -> None:
        runner, since_s = self._fleet.runners[name], now_s()
        runner.tells_leaving = True
        self._stopping.wait(LEAVE_DURATION_S)
        self._fleet.told_leaving.append((name, since_s, now_s()))
        runner.tells_leaving = False
        runner.born_ms += 1

    def _ask_for_pause(self, generator: random.Random, name: str) -> None:
        runner = self._fleet.runners[name]
        runner.retry_after = str(generator.choice((0.5, 2, 4)))
        runner.behaviours.extend([RunnerBehaviour.SHED] * 3)
        self._wait_for_duration(generator)
        runner.retry_after = None

    def _wait_for_duration(self, generator: random.Random) -> None:
        self._stopping.wait(generator.uniform(*DURATION_RANGE_S))

    def _terminate(self, generator: random.Random) -> None:
        with self._signal_lock:
            name = self._pick_process(generator)
            self._stop_process(name, signal.SIGTERM)
            self._restart(name)

    def _kill(self, generator: random.Random) -> None:
        with self._signal_lock:
            name = self._pick_process(generator)
            self._stop_process(name, signal.SIGKILL)
            self._wait_for_duration(generator)
            self._restart(name)

    def _freeze(self, generator: random.Random) -> None:
        with self._signal_lock:
            process = self._fleet.processes[self._pick_process(generator)]
            process.send_signal(signal.SIGSTOP)
            self._wait_for_duration(generator)
            process.send_signal(signal.SIGCONT)

    def _hang_up(self, generator: random.Random) -> None:
        with self._signal_lock:
            name = self._pick_process(generator)
            self._fleet.processes[name].send_signal(signal.SIGHUP)

    def _revoke(self, generator: random.Random) -> None:
        self._fleet.revoke()

    def _publish(self, generator: random.Random) -> None:
        self._fleet.publish()

    def _leave(self, generator: random.Random) -> None:
        # The other runner of each service and region stays available.
        names = [name for name in self._fleet.runners if name.endswith("-0")]
        name = generator.choice(names)
        if name in self._fleet.leaving_since:
            return
        self._fleet.leave(name)
        self._stopping.wait(LEAVE_DURATION_S)
        self._fleet.rejoin(name)

    def _set_relay(self, generator: random.Random, relays: dict, mode: str) -> None:
        relay = relays[generator.choice(sorted(relays))]
        relay.set_mode(RelayMode(mode))
        if mode != RelayMode.DROP_OPEN:
            self._wait_for_duration(generator)
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
        self._wait_for_duration(generator)
        relay.delay_s = 0.0

    def _cut_store(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.store_relays, "cut")

    def _silence_store(self, generator: random.Random) -> None:
        self._set_relay(generator, self._fleet.store_relays, "silent")

    def _store_down(self, generator: random.Random) -> None:
        self._fleet.store.mode = generator.choice((StoreMode.BUSY, StoreMode.RESET))
        self._wait_for_duration(generator)
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

    def _stop_process(self, name: str, signal_number: int) -> None:
        process = self._fleet.processes[name]
        process.send_signal(signal_number)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.events.append((now_s(), f"{name} did not end"))
            process.kill()
            process.wait()

    def _restart(self, name: str) -> None:
        self._fleet.start_process(name)
        # The next process is stopped only after this one is ready again.
        for _ in range(STOP_TIMEOUT_S * 10):
            if self._fleet.is_ready(name) or self._stopping.wait(0.1):
                return
