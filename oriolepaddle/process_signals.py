"""Signals of the process, delivered on a thread of their own.

The interpreter runs the handler of a signal on the main thread, between two of its
instructions. A signal that arrives after the last of them, or at another thread, does
not wake a main thread that sleeps. The interpreter also writes the number of each
signal to a pipe at once, and a thread that reads from it can't miss one.
"""

import os
import signal
import threading
from collections.abc import Callable
from functools import cache

__all__ = ["SignalQueue", "catch_signals"]

CAUGHT_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAX_READ_BYTES = 64


class SignalQueue:
    """Keeps the signals that arrive until somebody handles them.

    It is made on the main thread, once in a process; see `catch_signals`.
    """

    def __init__(self) -> None:
        self._reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in CAUGHT_SIGNALS:
            signal.signal(number, _ignore)

    def deliver(self, handle: Callable[[signal.Signals], None]) -> None:
        """Call `handle` with each signal, also with those that arrived before.

        Args:
            handle: Called on one thread, with one signal at a time.
        """
        threading.Thread(
            target=self._deliver, args=(handle,), name="signals", daemon=True
        ).start()

    def _deliver(self, handle: Callable[[signal.Signals], None]) -> None:
        while True:
            for number in os.read(self._reader, MAX_READ_BYTES):
                # Other signals with a handler are written to the pipe as well.
                if number in CAUGHT_SIGNALS:
                    _call(handle, signal.Signals(number))


@cache
def catch_signals() -> SignalQueue:
    """Return the queue of this process; its first call catches the signals."""
    return SignalQueue()


def _call(handle: Callable[[signal.Signals], None], number: signal.Signals) -> None:
    try:
        handle(number)
    except Exception as error:  # noqa: BLE001 - later signals must be delivered
        # Loaded here, since signals are caught before other modules are loaded.
        from oriolepaddle.logs import log_unforeseen

        log_unforeseen("signals", error)


def _ignore(number: int, frame: object) -> None:
    """Do nothing: with this handler a signal is written to the pipe."""
