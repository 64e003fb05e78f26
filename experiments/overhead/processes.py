"""Engine stand-ins and the gateway as processes of the benchmark."""

import contextlib
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

import attrs

from oriolepaddle.errors import EndpointUnreachableError
from oriolepaddle.publication import Instance
from oriolepaddle.standins import (
    PlatformStandin,
    TicketPublisher,
    make_key,
    make_object,
)

__all__ = ["Gateway", "Usage", "run_engines", "run_gateway"]

KEY = "key-of-the-load-client"
SECRET = "a secret of the benchmark"
STOP_TIMEOUT_S = 10
_ENGINE_LINE = re.compile(r"listening on (\S+)")
_GATEWAY_LINE = re.compile(r"(serves callers on port \d+, peers on port \d+)")
_PORT = re.compile(r"port (\d+)")
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


@attrs.frozen
class Usage:
    """Resources that a process has used.

    Attributes:
        cpu_s: Seconds of processor time, user and system.
        memory_bytes: Resident memory in bytes.
    """

    cpu_s: float
    memory_bytes: int


@attrs.frozen
class Gateway:
    """A running gateway daemon.

    Attributes:
        address: `host:port` for callers.
        key: A caller's key.
        process_id: Process id of the daemon.
    """

    address: str
    key: str
    process_id: int

    def read_usage(self) -> Usage:
        """Return the resources that the daemon has used so far."""
        with open(f"/proc/{self.process_id}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(fields[21])
        return Usage(
            cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
            memory_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        )


@contextlib.contextmanager
def run_engines(count: int, token_interval_s: float) -> Iterator[tuple[str, ...]]:
    """Run each engine stand-in as a process and yield their addresses."""
    processes = []
    addresses = []
    try:
        for number in range(count):
            arguments = ["engine", f"e{number}"]
            arguments += ["--token-interval-ms", str(token_interval_s * 1000)]
            process = _start("oriolepaddle.standins", arguments, {}, subprocess.PIPE)
            processes.append(process)
            addresses.append(_await(process.stdout, _ENGINE_LINE))
        yield tuple(addresses)
    finally:
        for process in processes:
            _stop(process)


@contextlib.contextmanager
def run_gateway(engines: tuple[str, ...]) -> Iterator[Gateway]:
    """Run a platform stand-in and one daemon that serves the engines."""
    platform = PlatformStandin()
    platform.start()
    TicketPublisher(platform).publish(*_make_objects(engines))
    settings = {
        "INSTANCE": "n1",
        "DATA_CENTRE": "nordur-a",
        "CALLER_ADDRESS": "127.0.0.1:0",
        "PEER_ADDRESS": "127.0.0.1:0",
        "OPERATOR_ADDRESS": "127.0.0.1:0",
        "PLATFORM_ADDRESS": platform.address,
        "PEER_SECRET": SECRET,
        "OPERATOR_TOKEN": SECRET,
        "MAX_CONNECTIONS": "2048",
    }
    environment = {f"ORIOLEPADDLE_{name}": value for name, value in settings.items()}
    process = _start("oriolepaddle.daemon", ["serve"], environment, None)
    try:
        caller, peer = _PORT.findall(_await(process.stderr, _GATEWAY_LINE))
        _drain_in_background(process)
        address = f"127.0.0.1:{caller}"
        instance = Instance("n1", "nordur-a", address, f"127.0.0.1:{peer}")
        platform.set_instances((instance,))
        _wait_until_served(address)
        yield Gateway(address, KEY, process.pid)
    finally:
        _stop(process)
        platform.close()


def _wait_until_served(address: str) -> None:
    # An instance has no share of an organisation's rate right after its start, so
    # it rejects requests until it gets one.
    for _ in range(int(START_TIMEOUT_S / POLL_INTERVAL_S)):
        connection = http.client.HTTPConnection(address)
        body = json.dumps({"model": "oriole-answers", "prompt": "?", "max_tokens": 1})
        headers = {"Authorization": f"Bearer {KEY}"}
        connection.request("POST", "/v1/completions", body, headers)
        status = connection.getresponse().status
        connection.close()
        if status == 200:
            return
        time.sleep(POLL_INTERVAL_S)
    raise EndpointUnreachableError(
        "gateway did not serve a request before the start timeout"
    )


def _make_objects(engines: tuple[str, ...]) -> list[dict]:
    objects = [
        make_object("data_centre", "nordur-a", region="nordur"),
        make_object("organisation", "norddal", rate_tokens_per_s=1e6, burst_tokens=1e8),
        make_key("k1", "norddal", KEY),
        make_object("route", "oriole-answers", kind="model"),
    ]
    for number, address in enumerate(engines):
        endpoint = {
            "data_centre": "nordur-a",
            "address": address,
            "routes": ["oriole-answers"],
            "slots": 512,
            "decode_tokens_per_s": 1000,
        }
        objects.append(make_object("endpoint", f"e{number}", **endpoint))
    return objects


def _start(
    module: str, arguments: list[str], environment: dict[str, str], stdout: int | None
) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        env=os.environ | environment,
        stdout=stdout,
        stderr=None if stdout else subprocess.PIPE,
        text=True,
    )


def _await(lines: Iterator[str], pattern: re.Pattern) -> str:
    for line in lines:
        match = pattern.search(line)
        if match:
            return match.group(1)
    raise EndpointUnreachableError("process exited before it was listening")


def _drain_in_background(process: subprocess.Popen) -> None:
    def _read_lines() -> None:
        for _ in process.stderr:
            pass

    threading.Thread(target=_read_lines, daemon=True).start()


def _stop(process: subprocess.Popen) -> None:
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
