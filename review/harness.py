"""Stand-ins and process control for the scripts of this folder.

Starts the gateway with the commands of `deploy/system.toml`, on loopback addresses,
beside small stand-ins of the platform's store, of runners and of clients. It needs the
standard library only.
"""

import base64
import contextlib
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "cabina.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HELD, BROKEN, NOT_RUNNABLE = 0, 1, 2
PREFIX = "X-Oriolepaddle-"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 6000,
    "drainMs": 4000,
    "graceS": 8,
    "configApplyMs": 4000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 54,
}
"""Bounds of the site cmp-maturo that the deploy file or a script uses."""
MEMORY_MB = 300
"""`memory_mb` of the machines of the site cmp-maturo."""
MAX_FDS = 4100
"""`fds` of the machines of the site cmp-maturo."""
METRICS_PORT = 9464
READY_TIMEOUT_S = 40.0


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Collects what was sent, answered and run; writes it to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._path.write_text("", encoding="utf-8")

    def write(self, text: str) -> None:
        """Append one line with the time since the start."""
        line = f"{time.monotonic() - self._started_s:8.3f} {text}"
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")

    def say(self, text: str) -> None:
        """Append one line and print it."""
        self.write(text)
        print(text, flush=True)


class QuietServer(ThreadingHTTPServer):
    """An HTTP server on a free loopback port that doesn't log broken connections."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address) -> None:
        """Ignore a connection that its peer has broken."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args) -> None:
        """Do not log."""

    def send_json(self, status: int, document: object) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(document).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's store: ranges and watches, linearizable, without failures."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._revision = 1
        store = self

        class Handler(_Handler):
            def do_GET(self) -> None:  # noqa: N802
                """Answer a range or a watch."""
                url = urlsplit(self.path)
                query = {
                    name: values[0] for name, values in parse_qs(url.query).items()
                }
                if url.path == "/kv-range":
                    self.send_json(200, store.read_range(query))
                elif url.path == "/kv-watch":
                    self.send_json(200, store.watch(query))
                else:
                    self.send_json(404, {})

        self._server = QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, document: object) -> float:
        """Write a key; return the monotonic time of the acknowledgement."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("createRev", self._revision)
            item = {
                "key": key,
                "value": value,
                "revision": self._revision,
                "createRev": created,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        return time.monotonic()

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self._revision += 1
            if self._items.pop(key, None) is not None:
                event = {"key": key, "revision": self._revision, "tombstone": True}
                self._events.append(event)
                self._changed.notify_all()

    def read_range(self, query: dict[str, str]) -> dict:
        """Return the items with a prefix."""
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        with self._changed:
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = [self._items[key] for key in keys]
            return {"items": items, "truncated": False, "currentRev": self._revision}

    def watch(self, query: dict[str, str]) -> dict:
        """Wait for events after a revision."""
        prefix, after = query.get("pathPrefix", ""), int(query["after"])

        def find() -> list[dict]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with self._changed:
            self._changed.wait_for(find, int(query.get("waitMs", 0)) / 1000)
            return {"events": find(), "currentRev": self._revision}


class Runner:
    """A sound runner of a plain service, or of streams; keeps what it has run.

    Args:
        runner_id: Its id in the store.
        service: Its service.
        zone: Its zone.
        slots: Requests that run at the same time; the others wait.
        work_s: The time that a request takes.
        events: Events of a stream; 0 for a plain body.
        answer: Writes another answer than the sound one, or None.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        slots: int = 6,
        work_s: float = 0.03,
        events: int = 0,
        answer: Callable | None = None,
    ) -> None:
        self.id, self.service, self.zone, self.slots = runner_id, service, zone, slots
        self.work_s, self.events, self.answer = work_s, events, answer
        self.received: list[str] = []
        self.started: list[tuple[float, str, str, dict[str, str], bytes]] = []
        self.running = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(slots)
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.state = "ready"
        self._channels: set[socket.socket] = set()
        runner = self

        class Handler(_Handler):
            def setup(self) -> None:
                """Remember the channel, to close it when the runner ends."""
                super().setup()
                runner._channels.add(self.connection)

            def finish(self) -> None:
                """Forget the channel."""
                runner._channels.discard(self.connection)
                super().finish()

            def handle_one_request(self) -> None:
                """Serve one request; a broken connection ends the handler."""
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                runner._run(self, self.rfile.read(length))

            do_GET = do_POST = _serve  # noqa: N815

        self._server = QuietServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def describe(self) -> dict:
        """Return the entry that it registers."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self._born,
        }

    def end(self) -> None:
        """Close the listener and all channels, as the end of its process does."""
        self._server.shutdown()
        self._server.server_close()
        for channel in list(self._channels):
            with contextlib.suppress(OSError):
                channel.shutdown(socket.SHUT_RDWR)

    def _run(self, handler: _Handler, body: bytes) -> None:
        headers = {name.lower(): value for name, value in handler.headers.items()}
        expected = headers.get((PREFIX + "Expect-Instance").lower())
        if expected is not None and expected != self.id:
            handler.send_response(421)
            handler.send_header(PREFIX + "Instance", self.id)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        request_id = headers.get((PREFIX + "Request-Id").lower(), "")
        with self._lock:
            self.received.append(request_id)
        with self._slots:
            with self._lock:
                self.running += 1
                self.started.append(
                    (time.monotonic(), request_id, handler.path, headers, body)
                )
            try:
                answer = self.answer or _answer_soundly
                answer(self, handler, request_id)
            finally:
                with self._lock:
                    self.running -= 1


def _answer_soundly(runner: Runner, handler: _Handler, request_id: str) -> None:
    if runner.events:
        write_head(handler, request_id, "text/event-stream", chunked=True)
        for number in range(1, runner.events + 1):
            time.sleep(runner.work_s / runner.events)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")
        return
    time.sleep(runner.work_s)
    body = b"ran " + request_id.encode()
    write_head(handler, request_id, "text/plain", length=len(body))
    handler.wfile.write(body)


def write_head(
    handler: _Handler,
    request_id: str,
    content_type: str,
    length: int | None = None,
    chunked: bool = False,
) -> None:
    """Send the head of a runner's answer."""
    handler.send_response(200)
    handler.send_header("Content-Type", content_type)
    handler.send_header(PREFIX + "Request-Id", request_id)
    handler.send_header(PREFIX + "Server-Seal", SEAL)
    handler.send_header(PREFIX + "Server-Load", "1,0,6")
    if chunked:
        handler.send_header("Transfer-Encoding", "chunked")
    elif length is not None:
        handler.send_header("Content-Length", str(length))
    else:
        handler.send_header("Connection", "close")
        handler.close_connection = True
    handler.end_headers()


class Gateway:
    """One process of the role in the deploy file, on a loopback address of its own."""

    def __init__(self, name: str, settings: dict, folder: Path) -> None:
        self.name, self.settings = name, settings
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        self._command = role["run"].split()
        names = ("PATH", "HOME", "LANG")
        self._environment = {k: os.environ[k] for k in names if k in os.environ}
        for key, text in role["env"].items():
            self._environment[key] = _render(text, settings)
        self._environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self._environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    @property
    def address(self) -> tuple[str, int]:
        """The address for clients."""
        return _split(self.settings["listen"]["front"])

    def start(self) -> None:
        """Start the process."""
        self.log.touch()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            status, _ = call(_split(self.settings["listen"]["readiness"]), "/ready")
        except OSError:
            return False
        return status == 200

    def resident_mb(self) -> float:
        """Return the memory that the process occupies, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0

    def limit_descriptors(self, count: int) -> None:
        """Limit the descriptors of the process, as the platform does (`maxFds`)."""
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (count, count))

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has, 0 if it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """A store, runners and gateways, which `close` ends."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.runners: list[Runner] = []
        self.gateways: list[Gateway] = []
        self._folder = tempfile.TemporaryDirectory()
        self._closing = threading.Event()

    def add_runner(self, runner: Runner) -> Runner:
        """Register a runner."""
        self.runners.append(runner)
        self.store.put(f"servers/{runner.id}", runner.describe())
        return runner

    def add_gateways(
        self, places: dict[str, str], zones: dict[str, str], starts: bool = True
    ) -> None:
        """Add one gateway for each name.

        Args:
            places: The zone of each gateway, by its name.
            zones: The region of each zone.
            starts: Whether to start their processes.
        """
        hosts = _find_hosts(len(places))
        ports = _find_ports(hosts)
        for (name, zone), host in zip(places.items(), hosts, strict=True):
            settings = {
                "nodeName": name,
                "ip": host,
                "zone": zone,
                "region": zones[zone],
                "zones": zones,
                "innerPorts": [ports["gossip"], ports["gossip"]],
                "seedList": [f"{item}:{ports['control']}" for item in hosts[:3]],
                "listen": {
                    key: f"{host}:{ports[key]}"
                    for key in ("front", "readiness", "control", "directory")
                },
                "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": MEMORY_MB},
                "bounds": BOUNDS,
                "platform": {"address": self.store.address},
            }
            gateway = Gateway(name, settings, Path(self._folder.name))
            if starts:
                gateway.start()
            self.gateways.append(gateway)
        threading.Thread(target=self._beat, daemon=True).start()

    def await_ready(self) -> None:
        """Wait until all gateways are ready and have had time to meet."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > deadline_s:
                raise CaseError("a gateway did not become ready")
            time.sleep(0.1)
        time.sleep(4.0)

    def _beat(self) -> None:
        while not self._closing.wait(1.2):
            for runner in list(self.runners):
                self.store.put(f"servers/{runner.id}", runner.describe())

    def replace_runner(self, old: Runner, new: Runner, linger_s: float) -> None:
        """Replace a runner as a release does: the new one starts, the old one drains.

        Args:
            old: The runner that reports that it drains, and ends `linger_s` later.
            new: The runner that takes its place.
            linger_s: The time for which the old one goes on serving.
        """
        self.add_runner(new)
        old.state = "draining"
        self.store.put(f"servers/{old.id}", old.describe())

        def end() -> None:
            self.runners.remove(old)
            self.store.delete(f"servers/{old.id}")
            old.end()

        timer = threading.Timer(linger_s, end)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """End all processes that were started."""
        self._closing.set()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        self._folder.cleanup()


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of `HOST` with the prefix `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "sloMs": 500,
        "priority": 0,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
    } | changes


def make_config(version: int, routes: list, services: list, tenants: list) -> dict:
    """Return a configuration."""
    limits = {
        "maxHeaderBytes": 32768,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def write_request(
    method: str,
    target: str,
    request_id: str,
    key: str | None,
    deadline_ms: int = 3000,
    body: bytes = b"",
    headers: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"{PREFIX}Request-Id: {request_id}",
        f"{PREFIX}Deadline-Ms: {deadline_ms}",
        *headers,
    ]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def call(address: tuple[str, int], target: str) -> tuple[int, bytes]:
    """Return the answer to a plain GET on a new channel."""
    with socket.create_connection(address, 2.0) as channel:
        head = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n"
        channel.sendall(head.encode())
        return read_answer(channel.makefile("rb"))


def read_answer(stream) -> tuple[int, bytes]:
    """Read one whole answer.

    Raises:
        OSError: The channel ended before the end of the answer.
    """
    status, headers = read_head(stream)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(_read_line(stream), 16)
            body += _read_exactly(stream, size)
            _read_line(stream)
            if not size:
                return status, body
    return status, _read_exactly(stream, int(headers.get("content-length", 0)))


def read_head(stream) -> tuple[int, dict[str, str]]:
    """Read the status line and headers of an answer."""
    parts = _read_line(stream).split()
    headers = {}
    while line := _read_line(stream).strip():
        name, _, value = line.partition(b":")
        headers[name.decode().lower()] = value.strip().decode()
    return int(parts[1]), headers


def _read_line(stream) -> bytes:
    line = stream.readline(65536)
    if not line.endswith(b"\n"):
        raise ConnectionResetError("the channel was closed")
    return line


def _read_exactly(stream, length: int) -> bytes:
    data = stream.read(length)
    if len(data) < length:
        raise ConnectionResetError("the channel was closed")
    return data


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _find_hosts(count: int) -> list[str]:
    # The deploy file fixes the port of the metrics, so it must be free on each host.
    first = os.getpid()
    for number in range(first, first + 200):
        hosts = [f"127.{20 + number % 200}.7.{i + 1}" for i in range(count)]
        try:
            for host in hosts:
                with socket.create_server((host, METRICS_PORT)):
                    pass
        except OSError:
            continue
        return hosts
    raise CaseError("no free hosts")


def _find_ports(hosts: list[str]) -> dict[str, int]:
    ports = {}
    held = []
    for name in ("front", "readiness", "control", "directory", "gossip"):
        kind = socket.SOCK_DGRAM if name == "gossip" else socket.SOCK_STREAM
        for _ in range(50):
            sockets = []
            try:
                port = 0
                for host in hosts:
                    item = socket.socket(socket.AF_INET, kind)
                    sockets.append(item)
                    item.bind((host, port))
                    port = item.getsockname()[1]
            except OSError:
                for item in sockets:
                    item.close()
                continue
            ports[name] = port
            held += sockets
            break
        else:
            raise CaseError("no free ports")
    for item in held:
        item.close()
    return ports


def _render(text: str, settings: dict) -> str:
    def replace(found: re.Match) -> str:
        path, _, form = found.group(1).partition("|")
        value = settings
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        if form == "json" or isinstance(value, dict):
            return json.dumps(value)
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, text)


def is_troubled() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Deployment], bool]) -> None:
    """Run a case and exit with its result.

    Args:
        folder: The folder of the case.
        case: Plays the case; returns whether the rule held.
    """
    status = NOT_RUNNABLE
    deployment = None
    try:
        deployment = Deployment(folder)
        status = HELD if case(deployment) else BROKEN
    except (CaseError, OSError) as error:
        print(f"the case could not run: {error}", file=sys.stderr)
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(status)
