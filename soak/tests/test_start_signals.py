import contextlib
import signal
import time
from pathlib import Path

import pytest

from oriolepaddle.daemon.tests.edge_fleet import await_true
from soak.fleet import SoakFleet

EXIT_TIMEOUT_S = 20


class EdgeProcess:
    """One instance as a process that receives signals while it starts."""

    def __init__(self, folder):
        self.folder = folder
        self.fleet = SoakFleet(folder, instances_each=1)
        self.fleet.store.start()
        self.fleet.publish()
        self.fleet.start_process("n1")
        self.process = self.fleet.processes["n1"]

    def await_caught(self):
        await_true(lambda: self.read("status", "SigCgt") & 1 << signal.SIGTERM - 1)

    def read(self, name, field):
        text = Path(f"/proc/{self.process.pid}/{name}").read_text()
        line = next(line for line in text.splitlines() if line.startswith(field))
        return int(line.split()[1], 16)

    def has_loaded(self, library):
        return library in Path(f"/proc/{self.process.pid}/maps").read_text()

    def log(self):
        return (self.folder / "n1-1.log").read_text()


@pytest.fixture
def edge(tmp_path):
    edge = EdgeProcess(tmp_path)
    edge.await_caught()
    yield edge
    with contextlib.suppress(OSError):
        edge.process.kill()
    edge.fleet.stop()


class TestStart:
    # A signal that comes while the modules are loaded must not be lost, nor end it.
    def test_stop_signal_before_the_modules_are_loaded_is_acted_on(self, edge):
        assert not edge.has_loaded("pycurl")
        edge.process.send_signal(signal.SIGTERM)
        assert edge.process.wait(EXIT_TIMEOUT_S) == 0
        assert "instance_stopped" in edge.log()

    def test_reload_signal_before_the_modules_are_loaded_ends_nothing(self, edge):
        assert not edge.has_loaded("pycurl")
        edge.process.send_signal(signal.SIGHUP)
        await_true(lambda: "reload_requested" in edge.log(), EXIT_TIMEOUT_S)
        await_true(lambda: "instance_started" in edge.log(), EXIT_TIMEOUT_S)
        assert edge.process.poll() is None

    @pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.002, 0.01, 0.5])
    def test_stop_signal_right_after_the_start_is_acted_on(self, edge, delay_s):
        await_true(lambda: "instance_started" in edge.log(), EXIT_TIMEOUT_S)
        time.sleep(delay_s)
        edge.process.send_signal(signal.SIGTERM)
        assert edge.process.wait(EXIT_TIMEOUT_S) == 0
