import subprocess
import sys

EXIT_TIMEOUT_S = 20
SIGNAL_AT_ANOTHER_THREAD = """
import signal, threading, time
from oriolepaddle.process_signals import catch_signals

signals, stopping, received = catch_signals(), threading.Event(), []

def handle(number):
    received.append(number.name)
    if number == signal.SIGHUP:
        raise ValueError("a handler that fails")
    stopping.set()

other = threading.Thread(target=time.sleep, args=(60,), daemon=True)
other.start()
signal.pthread_kill(other.ident, signal.SIGHUP)
signals.deliver(handle)
send = lambda: signal.pthread_kill(other.ident, signal.SIGTERM)
threading.Timer(0.3, send).start()
stopping.wait()
print(*received)
"""


class TestSignalQueue:
    # A signal must stop a process whose main thread sleeps without a time limit.
    def test_delivers_what_another_thread_received_before_and_after(self):
        command = [sys.executable, "-c", SIGNAL_AT_ANOTHER_THREAD]
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=EXIT_TIMEOUT_S, check=True
        )
        assert result.stdout.splitlines()[-1] == "SIGHUP SIGTERM"
