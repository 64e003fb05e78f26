"""Stand-ins and process control for the scripted cases 11 to 15.

The store, the runners and the clients run on one event loop in the process of the
case. The gateway's instances are separate processes, started with the command and the
settings of `deploy/system.toml`. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
MAX_HEAD_BYTES = 65_536
_hosts = itertools.count(2)
_subnet = random.SystemRandom().randrange(16, 250)


class SetupError(Exception):
    """The case could not be run."""


def new_host():
    """Return a loopback address that this case has not used yet."""
    return f"127.{_subnet}.7.{next(_hosts)}"


def find_port(host, kind=socket.SOCK_STREAM):
    """Return a port that is free at this moment."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._started_s = time.monotonic()

    def write(self, *words):
        """Write one line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_s
        print(f"{elapsed_s:9.3f}", *words, file=self._file, flush=True)

    def say(self, *words):
        """Write one line to the record and to the terminal."""
        self.write(*words)
        print(*words, flush=True)


async def read_head(reader):
    """Return the first line and the fields of an HTTP message; None at its end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return the body that the fields declare.

    Raises:
        IncompleteReadError: The connection ended before the end of the body.
    """
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


def write_answer(writer, status, body=b"", fields=(), reason="-"):
    """Write one whole answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


def reset(writer):
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
        )
    writer.transport.abort()


class Store:
    """The platform's store, as far as the gateway reads it."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 1
        self.era = 1
        self.is_away = False
        self.on_read = lambda revision: None
        self._changed = asyncio.Condition()
        self._connections = set()
        self.address = ""

    def copy(self):
        """Return a copy of the items, to restore later."""
        return dict(self.items), list(self.changes), self.revision

    def leave(self):
        """Be away: reset all channels, open ones and new ones."""
        self.is_away = True
        for writer in list(self._connections):
            reset(writer)

    def restore(self, copy):
        """Come back from a copy."""
        items, changes, self.revision = copy
        self.items, self.changes = dict(items), list(changes)
        self.era += 1
        self.is_away = False

    async def start(self):
        """Listen on a loopback address."""
        host = new_host()
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    async def put(self, key, document):
        """Write an item."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(document).encode()).decode(),
            "revision": self.revision,
            "createRev": self.items.get(key, {}).get("createRev", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        await self._add(item)

    async def delete(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        await self._add({"key": key, "revision": self.revision, "tombstone": True})

    async def _add(self, change):
        async with self._changed:
            self.changes.append(change)
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        if self.is_away:
            reset(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                path, _, query = head[0].split(" ")[1].partition("?")
                values = dict(item.partition("=")[::2] for item in query.split("&"))
                if path == "/kv-range":
                    status, reply = 200, self._list(values)
                else:
                    status, reply = await self._watch(values)
                if self.is_away:
                    reset(writer)
                    break
                fields = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                ]
                write_answer(writer, status, json.dumps(reply).encode(), fields)
                await writer.drain()
        self._connections.discard(writer)
        writer.close()

    def _list(self, values):
        after = values.get("after", "").replace("%2F", "/")
        keys = sorted(key for key in self.items if key > after)[:500]
        return {
            "items": [self.items[key] for key in keys],
            "truncated": False,
            "currentRev": self.revision,
        }

    async def _watch(self, values):
        after = int(values["after"])
        self.on_read(after)

        def find():
            return [item for item in self.changes if item["revision"] > after]

        if after > self.revision:
            return 410, {}
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait_for(find), int(values["waitMs"]) / 1000
                )
            return 200, {"events": find(), "currentRev": self.revision}


class Runner:
    """A runner of a plain service.

    Attributes:
        lose: Called with a request that was run; returns whether its answer is lost.
        runs: The ids of the requests that it ran, in order.
        arrivals: The times and ids of the requests that arrived and were not refused.
    """

    def __init__(self, fleet, name, service, zone, work_s, slots=6, queue=24):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.arrivals = []
        self.lose = lambda request_id: False
        self.answer = self.answer_plainly
        self.state = "ready"
        self.address = ""
        self.born_ms = fleet.born_ms
        self.cold_until_s = 0.0
        self._sequence = 0

    async def start(self):
        """Listen, and register in the store."""
        self._connections = set()
        self._free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = 0
        host, _, port = (self.address or f"{new_host()}:0").rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES
        )
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        await self.register()

    def crash(self):
        """End like a process that is killed."""
        self._server.close()
        for writer in list(self._connections):
            reset(writer)

    async def restart(self, cold_s):
        """Start again under the same id, cold for some seconds."""
        self.born_ms = int(time.time() * 1000)
        self.cold_until_s = time.monotonic() + cold_s
        self._sequence = 0
        await self.start()

    async def send_heartbeats(self, interval_s=1.2):
        """Write the entry at intervals."""
        while True:
            await asyncio.sleep(interval_s)
            if self._server.is_serving() and self.state != "gone":
                await self.register()

    async def register(self):
        """Write the entry of this runner to the store."""
        self._sequence += 1
        await self.fleet.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": max(
                    0, int(1000 * (self.cold_until_s - time.monotonic()))
                ),
                "seq": self._sequence,
                "born": self.born_ms,
            },
        )

    def fields(self, request_id):
        """Return the fields that all answers of this runner have."""
        return [
            ("X-Oriolepaddle-Request-Id", request_id),
            ("X-Oriolepaddle-Instance", self.name),
            (
                "X-Oriolepaddle-Server-Load",
                f"{self.running},{self.waiting},{self.slots}",
            ),
        ]

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self._handle(head, body, writer):
                    break
                await writer.drain()
        self._connections.discard(writer)
        writer.close()

    async def _handle(self, head, body, writer):
        fields = head[1]
        request_id = fields.get("x-oriolepaddle-request-id", "")
        expected = fields.get("x-oriolepaddle-expect-instance", self.name)
        not_run = [*self.fields(request_id), ("X-Oriolepaddle-Not-Run", "1")]
        if expected != self.name:
            write_answer(writer, 421, b"", not_run)
            return True
        if self.waiting >= self.queue:
            write_answer(writer, 503, b"", not_run)
            return True
        self.arrivals.append((time.monotonic(), request_id))
        self.fleet.record.write("arrived", request_id, "at", self.name)
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            self.runs.append(request_id)
            self.fleet.runs.setdefault(request_id, []).append(self.name)
            self.fleet.record.write("run", request_id, "at", self.name)
            await asyncio.sleep(self.work_s)
            self.running -= 1
        if self.lose(request_id):
            self.fleet.record.write("answer lost", request_id, "at", self.name)
            reset(writer)
            return False
        await self.answer(head, request_id, body, writer)
        return True

    def seal(self):
        """Return the field that shows that an answer is of a runner."""
        return ("X-Oriolepaddle-Server-Seal", f"3e1b.07.{self.name}")

    async def answer_plainly(self, head, request_id, body, writer):
        """Write an answer of 800 bytes."""
        fields = [*self.fields(request_id), self.seal()]
        write_answer(writer, 200, b"x" * 800, fields)


class Fleet:
    """The gateway's processes with their stand-ins.

    Attributes:
        runs: The names of the runners that ran each request, by its id.
    """

    def __init__(self, record, zones, **settings):
        self.record = record
        self.zones = zones
        self.runs = {}
        self.runners = []
        self.instances = {}
        self.processes = {}
        self.born_ms = int(time.time() * 1000)
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory(prefix="oriolepaddle-case-")
        self._settings = settings
        self._gossip_port = 0
        self._ids = itertools.count(1)

    async def add_runner(self, *values, **options):
        """Start a runner."""
        runner = Runner(self, *values, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    def add_instance(self, name, zone, **settings):
        """Choose the addresses of an instance."""
        host = new_host()
        if not self._gossip_port:
            self._gossip_port = find_port(host, socket.SOCK_DGRAM)
        values = {
            "INSTANCE": name,
            "DATA_CENTRE": zone,
            "REGIONS": json.dumps(self.zones),
            "SIZE": "0.537",
            "CORES": "2",
            "MEMORY_MB": "300",
            "GOSSIP_PORT": str(self._gossip_port),
            "PLATFORM_ADDRESS": self.store.address,
            "PEER_SECRET": "a-secret-of-this-deployment",
            "OPERATOR_TOKEN": "a-token-of-this-deployment",
            "RETRY_RATIO": "0.2",
            "RETRY_EXTRA": "52",
            "RETRY_WINDOW_S": "10",
            "WITHDRAWAL_BOUND_MS": "5000",
            "STOP_GRACE_S": "8",
        }
        for listener in ("CALLER", "DIRECTORY", "PEER", "READINESS"):
            values[f"{listener}_ADDRESS"] = f"{host}:{find_port(host)}"
        self.instances[name] = values | self._settings | settings

    def start_instance(self, name):
        """Start the process of an instance."""
        seeds = [item["PEER_ADDRESS"] for item in self.instances.values()][:3]
        values = self.instances[name] | {"SEEDS": ",".join(seeds)}
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment |= {f"ORIOLEPADDLE_{key}": item for key, item in values.items()}
        log = open(Path(self.folder.name) / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "oriolepaddle.daemon", "serve-edge"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.write("instance started", name, "pid", self.processes[name].pid)

    def signal(self, name, number):
        """Send a signal to the process of an instance."""
        self.record.write("signal", signal.Signals(number).name, "to", name)
        self.processes[name].send_signal(number)

    def read_log(self, name):
        """Return the log of an instance."""
        return (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    async def await_ready(self):
        """Wait until all instances say that they are ready.

        Raises:
            SetupError: They don't in time.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        for name in self.instances:
            while not await self._is_ready(name):
                if time.monotonic() > end_s or self.processes[name].poll() is not None:
                    raise SetupError(
                        f"{name} is not ready: {self.read_log(name)[-800:]}"
                    )
                await asyncio.sleep(0.1)
        # Instances learn of each other and of the runners in this time.
        await asyncio.sleep(2.0)

    async def _is_ready(self, name):
        host, port = self.instances[name]["READINESS_ADDRESS"].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head[0]

    def new_id(self):
        """Return the id of a new request."""
        return f"{next(self._ids):016x}"

    async def send(
        self, name, path, method="GET", body=b"", deadline_ms=4000, fields=(), key="k1"
    ):
        """Send one request on a channel of its own.

        Returns:
            Its id, the status (0 if none came), the fields and the body (None if it
            isn't whole).
        """
        request_id = self.new_id()
        host, port = self.instances[name]["CALLER_ADDRESS"].split(":")
        status, answered, content = 0, {}, None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {HOST}",
                    f"X-Oriolepaddle-Request-Id: {request_id}",
                    f"X-Oriolepaddle-Deadline-Ms: {deadline_ms}",
                    f"Authorization: Token {key}",
                    f"Content-Length: {len(body)}",
                    *(f"{field}: {value}" for field, value in fields),
                ]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                head = await read_head(reader)
                if head is not None:
                    status, answered = int(head[0].split(" ")[1]), head[1]
                    content = await read_body(reader, answered)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.record.write(
            "answer", request_id, method, path, "from", name, "status", status,
            "whole" if content is not None else "not whole",
        )  # fmt: skip
        return request_id, status, answered, content

    def close(self):
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


def make_route(name, kind, service, **changes):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 700,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | changes


def make_config(routes, services, version=3, keys=("k1",)):
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 290} | more
            for name, more in dict.fromkeys(services, {}).items()
        ]
        if not isinstance(services, dict)
        else [
            {"name": name, "healthPath": "/health", "maxConns": 290} | more
            for name, more in services.items()
        ],
        "tenants": [{"name": "huka270", "apiKeys": list(keys)}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15_000,
        },
    }


def run_case(folder, play):
    """Play a case and exit with its result: 1 if the rule was broken, 0 if it held."""
    record = Record(folder)
    loop = asyncio.new_event_loop()
    result = loop.run_until_complete(_play(record, play))
    record.say("exit", result)
    # Connections of the stand-ins may still be open.
    sys.stdout.flush()
    os._exit(result)


async def _play(record, play):
    fleets = []
    try:
        return await play(record, fleets)
    except Exception as error:  # noqa: BLE001 - a case that fails shows nothing
        record.say("the case could not run:", repr(error))
        return NOT_RUN
    finally:
        for fleet in fleets:
            fleet.close()
