"""The steps of the demo."""

import json
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from oriolepaddle.demo.caller import CallResult, DemoCaller
from oriolepaddle.demo.fleet import (
    LIMITED_BURST_TOKENS,
    LIMITED_ORGANISATION,
    LIMITED_RATE_TOKENS_PER_S,
    DemoFleet,
)
from oriolepaddle.demo.observation import Observation

__all__ = ["DemoSteps"]

DOSSIER = "The exchange file of the delegation, page by page. " * 80
ROOM_HISTORY = "Ethylene 100 ppm, 17.5 degrees, humidity 92 percent. " * 80
MAX_CONCURRENT_REQUESTS = 12
TOKENS_PER_REQUEST = 400
WAIT_LIMIT_S = 10.0
POLL_INTERVAL = timedelta(milliseconds=10)


class DemoSteps:
    """The steps of the demo; each method runs one and returns its observation.

    Args:
        fleet: The running fleet.
    """

    def __init__(self, fleet: DemoFleet) -> None:
        self._fleet = fleet
        self._callers = {
            name: DemoCaller(fleet.clock, key) for name, key in fleet.keys.items()
        }

    def serve_both_kinds(self) -> Observation:
        """Send long prompts with a dossier or room history, and short ones."""
        jobs = [
            lambda name=name, address=address, model=model, prompt=prompt: (
                self._callers[name].chat(address, model, prompt)
            )
            for address in map(self._fleet.address, self._fleet.instances)
            for name, model, prompt in (
                ("vinabaer", "oriole-answers", DOSSIER + "Who hosts the mayor?"),
                ("skolar", "oriole-answers", "When does the bus leave?"),
                ("padana", "consiglio", ROOM_HISTORY + "What is the next step?"),
                ("frutta", "consiglio", "May I open chamber 4?"),
            )
        ]
        results = _run_concurrently(jobs)
        complete = [result for result in results if result.is_complete]
        elapsed_ms = sorted(result.elapsed_s * 1000 for result in complete)
        median_ms = elapsed_ms[len(elapsed_ms) // 2] if elapsed_ms else 0.0
        return Observation(
            "both kinds of traffic at six instances",
            f"{len(complete)} of {len(results)} whole, median {median_ms:.0f} ms"
            + _format_error_codes(results),
        )

    def exceed_rate(self) -> Observation:
        """Let one organisation send far more tokens than its rate allows."""
        clock = self._fleet.clock
        started_s = clock.monotonic_s()
        addresses = list(map(self._fleet.address, self._fleet.instances))
        caller = self._callers[LIMITED_ORGANISATION]
        jobs = [
            lambda address=address: caller.chat(
                address, "oriole-answers", "again", tokens=TOKENS_PER_REQUEST
            )
            for address in addresses * 10
        ]
        results = _run_concurrently(jobs)
        used_tokens = sum(
            TOKENS_PER_REQUEST for result in results if result.is_complete
        )
        elapsed_s = clock.monotonic_s() - started_s
        allowed_tokens = LIMITED_BURST_TOKENS + LIMITED_RATE_TOKENS_PER_S * elapsed_s
        refused = sum(result.code == "rate_limited" for result in results)
        return Observation(
            "one organisation above its rate",
            f"{used_tokens} tokens of at most {allowed_tokens:.0f}, "
            f"{refused} refused as not run",
        )

    def repeat_order(self) -> Observation:
        """Send one order three times through different instances."""
        caller = self._callers["vinabaer"]
        order = {"stay": "family 7", "guests": 2}
        number = caller.issue(self._fleet.address("n1"), "visit-desk")
        statuses = [
            caller.order(self._fleet.address(name), "visit-desk", order, number).status
            for name in ("n1", "s1", "a2")
        ]
        runs = self._fleet.count_runs(json.dumps(order).encode())
        return Observation(
            "one order sent through three instances",
            f"answers {statuses}, run {runs} time(s)",
        )

    def lose_answer(self) -> Observation:
        """Cut the connection after a dosing order has run."""
        service = self._fleet.services["cabina"]
        service.cut_before_answer = True
        order = {"room": 4, "dose_ppm": 100}
        caller = self._callers["padana"]
        result = caller.order(self._fleet.address("a1"), "cabina", order, None)
        service.cut_before_answer = False
        runs = self._fleet.count_runs(json.dumps(order).encode())
        outcome = json.loads(result.body)["error"]["outcome"] if result.body else "-"
        return Observation(
            "a dosing order whose answer is lost",
            f"outcome {outcome}, run {runs} time(s)",
        )

    def crash_engines(self) -> Observation:
        """Send a request that crashes each engine that runs it."""
        engines = self._fleet.engines.values()
        for engine in engines:
            engine.faults.crash_on = "crash me"
        caller = self._callers["frutta"]
        codes = Counter(
            caller.chat(self._fleet.address(name), "consiglio", "crash me").code
            for name in self._fleet.instances
        )
        crashes = sum(engine.crashes for engine in engines)
        return Observation(
            "a request that crashes engines, sent through six instances",
            f"{crashes} crashes, answers {dict(codes)}",
        )

    def cut_region(self) -> Observation:
        """Partition a region and send requests on both sides."""
        self._fleet.cut("austur")
        caller = self._callers["padana"]
        names = ("a1", "a2", "n1", "s1")
        results = {
            name: [
                caller.chat(self._fleet.address(name), "consiglio", "still there?")
                for _ in range(5)
            ]
            for name in names
        }
        inside_count = sum(
            result.is_complete for name in ("a1", "a2") for result in results[name]
        )
        outside_count = sum(
            result.is_complete for name in ("n1", "s1") for result in results[name]
        )
        return Observation(
            "a region cut off from the others and the platform",
            f"{inside_count} of 10 whole inside, {outside_count} of 10 outside"
            + _format_error_codes(
                [result for group in results.values() for result in group]
            ),
        )

    def withdraw_key_during_cut(self) -> Observation:
        """Withdraw a key while a region is partitioned, then heal the partition."""
        clock = self._fleet.clock
        self._fleet.publisher.delete("key", "key-frutta")
        started_s = clock.monotonic_s()
        outside_s = self._await_refusal(("n1", "n2", "s1", "s2"), started_s)
        is_refused_inside = self._is_key_refused("a1")
        healed_s = clock.monotonic_s()
        self._fleet.heal()
        after_heal_s = self._await_refusal(("a1", "a2"), healed_s)
        return Observation(
            "a key withdrawn during the cut",
            f"refused after {outside_s:.1f} s outside; inside "
            f"{'refused' if is_refused_inside else 'still valid'}, "
            f"and {after_heal_s:.1f} s after the cut refused",
        )

    def retire_engine(self) -> Observation:
        """Publish that an engine is leaving and count the requests it still gets."""
        clock = self._fleet.clock
        self._fleet.retire_engine("nordur-1")
        engine = self._fleet.engines["nordur-1"]
        clock.wait(threading.Event(), timedelta(seconds=4))
        received_before = len(engine.received)
        caller = self._callers["vinabaer"]
        for _ in range(10):
            caller.chat(self._fleet.address("n1"), "oriole-answers", "hello")
        return Observation(
            "an engine that is leaving",
            f"{len(engine.received) - received_before} of 10 requests after 4 s",
        )

    def drain_instance(self) -> Observation:
        """Stop an instance gracefully under load."""
        stopping = threading.Event()
        results: list[CallResult] = []
        caller = self._callers["vinabaer"]
        address = self._fleet.address("s2")

        def _call() -> None:
            while not stopping.is_set():
                results.append(caller.chat(address, "oriole-answers", "hello"))

        threads = [threading.Thread(target=_call) for _ in range(4)]
        for thread in threads:
            thread.start()
        self._wait_until(lambda: len(results) > 20)
        self._fleet.instances["s2"].stop()
        stopping.set()
        for thread in threads:
            thread.join()
        complete_count = sum(result.is_complete for result in results)
        cut_count = sum(
            result.status == 200 and not result.is_complete for result in results
        )
        return Observation(
            "an instance drained under load",
            f"{complete_count} answers whole, {cut_count} cut",
        )

    def _await_refusal(self, names: tuple[str, ...], started_s: float) -> float:
        self._wait_until(lambda: all(self._is_key_refused(name) for name in names))
        return self._fleet.clock.monotonic_s() - started_s

    def _is_key_refused(self, name: str) -> bool:
        caller = self._callers["frutta"]
        result = caller.chat(self._fleet.address(name), "consiglio", "hello", tokens=1)
        return result.code == "key_unknown"

    def _wait_until(self, condition: Callable[[], bool]) -> None:
        clock = self._fleet.clock
        deadline_s = clock.monotonic_s() + WAIT_LIMIT_S
        while not condition() and clock.monotonic_s() < deadline_s:
            clock.wait(threading.Event(), POLL_INTERVAL)


def _format_error_codes(results: list[CallResult]) -> str:
    codes = Counter(
        result.code or "cut" for result in results if not result.is_complete
    )
    return "".join(f", {count} {code}" for code, count in codes.items())


def _run_concurrently(jobs: list[Callable[[], CallResult]]) -> list[CallResult]:
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as executor:
        return list(executor.map(lambda job: job(), jobs))
