"""Runs periodic exchanges with many peers on a bounded number of threads."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock

__all__ = ["PeerRunner"]


class PeerRunner:
    """Calls `step(peer)` for each due peer, on at most one thread per peer.

    Args:
        name: The name of the threads.
        clock: Times the polls for due peers.
        due: Returns the peers whose step is due now.
        step: Performs one exchange with a peer, synchronously.
        interval: The time between two polls, unless `wake` is called.
        max_threads: The maximum number of concurrent steps.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        due: Callable[[], tuple[str, ...]],
        step: Callable[[str], None],
        interval: timedelta,
        max_threads: int = 8,
    ) -> None:
        self._name = name
        self._clock = clock
        self._due = due
        self._step = step
        self._interval = interval
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._wake = threading.Event()
        self._is_closed = False
        self._executor: ThreadPoolExecutor | None = None
        self._thread: threading.Thread | None = None

    def run_due(self) -> None:
        """Run the due steps sequentially on the calling thread."""
        for peer in self._due():
            self._step(peer)

    def start(self) -> None:
        """Run due steps in the background until `stop`."""
        self._executor = ThreadPoolExecutor(self._max_threads, self._name)
        self._thread = threading.Thread(
            target=self._loop, name=f"{self._name}-supervisor", daemon=True
        )
        self._thread.start()

    def wake(self) -> None:
        """Poll for due peers at once."""
        self._wake.set()

    def stop(self) -> None:
        """Stop the threads after running steps have finished."""
        self._is_closed = True
        self._wake.set()
        if self._thread is not None:
            self._thread.join()
        if self._executor is not None:
            self._executor.shutdown(wait=True, cancel_futures=True)

    def _loop(self) -> None:
        while not self._is_closed:
            self._wake.clear()
            for peer in self._due():
                self._submit(peer)
            self._clock.wait(self._wake, self._interval)

    def _submit(self, peer: str) -> None:
        with self._lock:
            if peer in self._running:
                return
            self._running.add(peer)
        self._executor.submit(self._run, peer)

    def _run(self, peer: str) -> None:
        try:
            self._step(peer)
        except Exception:  # noqa: BLE001 - an error with one peer must not affect the others
            logger.exception("{}: exchange with {} failed", self._name, peer)
        finally:
            with self._lock:
                self._running.discard(peer)
