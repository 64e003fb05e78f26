"""Daemon processes, store and runner stand-ins, and the relays between them."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.tests.edge_fleet import (
    DESK,
    ENGINES,
    KEY,
    NETWORK,
    OTHER_KEY,
    REGIONS,
    find_addresses,
    make_document,
)
from oriolepaddle.platform.standins import RunnerStandin, StoreStandin
from oriolepaddle.standins import RelayStandin

__all__ = ["SoakFleet", "now_s"]

_CLOCK = SystemClock()

HEARTBEAT_INTERVAL_S = 0.4
EVENT_COUNT = 6
EVENT_INTERVAL_S = 0.03
MAX_REVOKED_KEYS = 3
SECRET = "a secret of the soak fleet"
SECOND_KEY = "second-key-of-norddal"


class SoakFleet:
    """The fleet of a soak run. It ends only processes that it started.

    Args:
        folder: The folder for the daemons' logs.
        instances_each: The number of instances in each data centre.
    """

    def __init__(self, folder: Path, instances_each: int = 2) -> None:
        self._folder = folder
        self._stopping = threading.Event()
        self.store = StoreStandin()
        self.runners: dict[str, RunnerStandin] = {}
        self.relays: dict[str, RelayStandin] = {}
        self.store_relays: dict[str, RelayStandin] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._environments: dict[str, dict[str, str]] = {}
        hosts = [NETWORK.add_host() for _ in range(instances_each * len(REGIONS))]
        self._seeds = ",".join(f"{host}:1" for host in hosts[:3])
        (self._gossip_port,) = NETWORK.find_ports(hosts[0], 1, socket.SOCK_DGRAM)
        self._incarnations: dict[str, int] = {}
        self.version = 0
        self.keys = [KEY, SECOND_KEY]
        self.revoked: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.absences: list[tuple[str, float, float]] = []
        self.limits: list[tuple[str, float, float, float]] = []
        self.told_leaving: list[tuple[str, float, float]] = []
        self.instances_each = instances_each
        self._make_runners()
        for number, host in enumerate(hosts):
            data_centre = list(REGIONS)[number // instances_each]
            self._add_instance(f"n{number + 1}", data_centre, host)

    def start(self) -> None:
        """Start the stand-ins and the daemons."""
        self.store.start()
        self.publish()
        for runner in self.runners.values():
            runner.start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        for name in self._environments:
            self.start_process(name)

    def stop(self) -> None:
        """Stop the daemons and the stand-ins."""
        self._stopping.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners.values():
            runner.stop()
        self.store.stop()

    def start_process(self, name: str) -> None:
        """Start or restart an instance."""
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        log = open(self._folder / f"{name}-{self._incarnations[name]}.log", "wb")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "oriolepaddle.daemon", "serve-edge"],
            env=os.environ | self._environments[name],
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def publish(self) -> None:
        """Publish the next version of the document with the valid keys."""
        self.version += 1
        document = make_document(self.version)
        document["tenants"][0]["apiKeys"] = list(self.keys)
        self.store.put("op/config", json.dumps(document).encode())

    def revoke(self) -> None:
        """Revoke the oldest key and publish a new one in its place."""
        key = self.keys.pop(0)
        self.keys.append(f"key-{self.version}")
        self.publish()
        self.revoked[key] = now_s()

    def known_keys(self) -> list[str]:
        """Return the valid keys and the most recently revoked ones."""
        return [*self.keys, OTHER_KEY, *list(self.revoked)[-MAX_REVOKED_KEYS:]]

    def caller_addresses(self) -> list[str]:
        """Return the caller addresses of instances whose process is running."""
        running = [name for name, item in self.processes.items() if item.poll() is None]
        names = running or list(self.processes)
        return [
            self._environments[name]["ORIOLEPADDLE_CALLER_ADDRESS"] for name in names
        ]

    def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        address = self._environments[name]["ORIOLEPADDLE_READINESS_ADDRESS"]
        host, port = address.split(":")
        try:
            with socket.create_connection((host, int(port)), 1) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in connection.recv(64)
        except OSError:
            return False

    def leave(self, name: str) -> None:
        """Let a runner announce that it is leaving."""
        self.runners[name].state = "draining"
        self.store.put(f"servers/{name}", self.runners[name].describe())
        self.leaving_since[name] = now_s()

    def rejoin(self, name: str) -> None:
        """Let a runner accept work again and record its absence for the checks."""
        self.absences.append((name, self.leaving_since.pop(name), now_s()))
        self.runners[name].state = "ready"

    def _make_runners(self) -> None:
        for data_centre in REGIONS:
            for service, events in ((DESK, 0), (ENGINES, EVENT_COUNT)):
                for number in range(2):
                    name = f"{service}-{data_centre}-{number}"
                    runner = RunnerStandin(name, service, data_centre, events)
                    runner.pause_s = EVENT_INTERVAL_S
                    relay = RelayStandin(runner.address)
                    runner.advertised_address = relay.address
                    self.runners[name] = runner
                    self.relays[name] = relay

    def _add_instance(self, name: str, data_centre: str, host: str) -> None:
        relay = self.store_relays[name] = RelayStandin(self.store.address)
        values = {
            "instance": name,
            "data_centre": data_centre,
            "regions": json.dumps(REGIONS),
            "gossip_port": str(self._gossip_port),
            "platform_address": relay.address,
            "peer_secret": SECRET,
            "seeds": self._seeds,
        }
        values |= find_addresses(host)
        self._environments[name] = {
            f"ORIOLEPADDLE_{field.upper()}": value for field, value in values.items()
        }

    def _send_heartbeats(self) -> None:
        while not self._stopping.wait(HEARTBEAT_INTERVAL_S):
            for name, runner in self.runners.items():
                self.store.put(f"servers/{name}", runner.describe())


def now_s() -> float:
    """Return the time of the clock by which all times of a soak are compared."""
    return _CLOCK.monotonic_s()
