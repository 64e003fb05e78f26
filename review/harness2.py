"""Stand-ins and helpers for the cases 6 to 10; only the standard library is used.

The stand-ins of the store and of the runners follow the users' pages. The gateway runs
as the deploy file starts it, each instance on a loopback address of its own.
"""

import base64
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "huka270"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LISTENERS = ("front", "readiness", "control", "directory", "metrics")
REQUEST_ID = "X-Oriolepaddle-Request-Id"
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 6.5
"""Time after which a machine is in touch: `stableWindowMs` and a little more."""
_numbers = itertools.count(1)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt` beside the script of a case.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start."""
        with self._lock:
            elapsed_s = time.monotonic() - self._started_s
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


def find_hosts(count):
    """Return loopback addresses that no other run is likely to use."""
    generator = random.SystemRandom()
    base = f"127.{generator.randrange(10, 250)}.{generator.randrange(1, 250)}"
    return [f"{base}.{number}" for number in range(10, 10 + count)]


def find_port(host, kind=socket.SOCK_STREAM):
    """Return a port that is free on an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def make_id():
    """Return a new request id."""
    return f"{random.getrandbits(40):010x}{next(_numbers):06x}"


class Listener:
    """Accepts connections and serves each one on a thread.

    Args:
        host: The address to listen on.
    """

    def __init__(self, host="127.0.0.1"):
        self._socket = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, ValueError), connection:
            self.serve(connection)

    def serve(self, connection):
        """Serve one connection."""
        raise NotImplementedError

    def close(self):
        """Stop accepting."""
        self._socket.close()


def read_request(stream):
    """Return method, target, headers (lower case) and body, or None at the end."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := stream.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(stream.readline().split(b";")[0], 16):
            body += stream.read(size)
            stream.readline()
        while stream.readline() not in (b"\r\n", b""):
            pass
    else:
        length = int(headers.get("content-length", 0))
        body = stream.read(length)
        if len(body) < length:
            return None
    return method, target, headers, body


class Store(Listener):
    """The platform's store: ranges and watches over items that the case writes."""

    def __init__(self, host="127.0.0.1"):
        self._changed = threading.Condition()
        self._items = {}
        self._changes = []
        self._revision = 1
        super().__init__(host)

    def put(self, key, document):
        """Write an item."""
        with self._changed:
            self._revision += 1
            known = self._items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(json.dumps(document).encode()).decode(),
                "revision": self._revision,
                "createRev": known["createRev"] if known else self._revision,
                "lease": 0,
            }
            self._items[key] = item
            self._changes.append(item)
            self._changed.notify_all()

    def delete(self, key):
        """Remove an item."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            self._changes.append(
                {"key": key, "revision": self._revision, "tombstone": True}
            )
            self._changed.notify_all()

    def serve(self, connection):
        """Serve one connection."""
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            path, _, query = request[1].partition("?")
            fields = dict(urllib.parse.parse_qsl(query))
            reply = self._range(fields) if path == "/kv-range" else self._watch(fields)
            body = json.dumps(reply).encode()
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            connection.sendall(head.encode() + body)

    def _range(self, fields):
        prefix, after = fields.get("pathPrefix", ""), fields.get("after", "")
        with self._changed:
            keys = sorted(
                key for key in self._items if key.startswith(prefix) and key > after
            )
            return {
                "items": [self._items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "currentRev": self._revision,
            }

    def _watch(self, fields):
        prefix, after = fields.get("pathPrefix", ""), int(fields["after"])

        def find():
            return [
                change
                for change in self._changes
                if change["revision"] > after and change["key"].startswith(prefix)
            ]

        with self._changed:
            self._changed.wait_for(find, int(fields.get("waitMs", 0)) / 1000)
            return {"events": find(), "currentRev": self._revision}


class Runner(Listener):
    """A runner; a case overrides `answer` for what differs from a sound one.

    Args:
        record: The record of the case.
        name: The runner's id.
        service: Its service.
        zone: Its zone.
        host: The address to listen on.
    """

    def __init__(self, record, name, service, zone="lodi", host="127.0.0.1"):
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.lock = threading.Lock()
        super().__init__(host)

    def describe(self):
        """Return the runner's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }

    def serve(self, connection):
        """Serve one connection."""
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            method, target, headers, body = request
            request_id = headers.get(REQUEST_ID.lower())
            self.begin(connection)
            expected = headers.get("x-oriolepaddle-expect-instance")
            if expected not in (None, self.id):
                self.record.write(f"{self.id} rejects {request_id} with 421")
                self.send(connection, 421, b"", request_id, seal=False)
                continue
            if request_id is None:
                self.record.write(f"{self.id} rejects a request without id: {target}")
                fields = ["X-Oriolepaddle-Not-Run: 1"]
                self.send(connection, 400, b"", None, fields, seal=False)
                continue
            if self.refuse(connection, request_id):
                self.record.write(f"{self.id} refuses {request_id} and hasn't run it")
                continue
            with self.lock:
                self.runs.append(request_id)
            self.record.write(f"{self.id} runs {request_id} {method} {target}")
            if not self.answer(connection, request_id, method, target, headers, body):
                return

    def begin(self, connection):
        """Do what comes before the answer to a request that was read."""

    def refuse(self, connection, request_id):
        """Refuse a request that isn't run; return whether it was refused."""
        return False

    def answer(self, connection, request_id, method, target, headers, body):
        """Answer a request; return whether the connection stays open."""
        self.send(connection, 200, self.make_body(request_id), request_id)
        return True

    def make_body(self, request_id):
        """Return the whole body of the answer to a request."""
        return f"answer of {self.id} to {request_id}".encode()

    def send(self, connection, status, body, request_id, fields=(), seal=True):
        """Send a complete answer."""
        connection.sendall(self.make_answer(status, body, request_id, fields, seal))

    def make_answer(self, status, body, request_id, fields=(), seal=True):
        """Return the bytes of a complete answer."""
        lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Other')}"]
        if request_id is not None:
            lines.append(f"{REQUEST_ID}: {request_id}")
        if seal:
            lines.append(f"X-Oriolepaddle-Server-Seal: 3e1b.07.{self.id}")
        lines += ["Content-Type: text/plain", *fields, f"Content-Length: {len(body)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Gateway:
    """One instance of the gateway, a process of its own.

    Args:
        record: The record of the case.
        name: The instance's name.
        host: Its loopback address.
        store: The address of the store.
        gossip_port: The UDP port of all instances.
        zones: The region of each zone.
        zone: Its zone.
        seeds: The control addresses of other instances.
        variables: Settings that differ from those of the other cases.
    """

    def __init__(
        self,
        record,
        name,
        host,
        store,
        gossip_port,
        zones,
        zone,
        seeds=(),
        variables=None,
    ):
        self.record = record
        self.name = name
        self.host = host
        ports = set()
        while len(ports) < len(LISTENERS):
            ports.add(find_port(host))
        self.addresses = {
            name: f"{host}:{port}" for name, port in zip(LISTENERS, ports, strict=True)
        }
        self._logs = tempfile.TemporaryFile()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        values = {
            "INSTANCE": name,
            "DATA_CENTRE": zone,
            "REGIONS": json.dumps(zones),
            "SIZE": "0.537",
            "CORES": "2",
            "MEMORY_MB": "300",
            "CALLER_ADDRESS": self.addresses["front"],
            "DIRECTORY_ADDRESS": self.addresses["directory"],
            "PEER_ADDRESS": self.addresses["control"],
            "READINESS_ADDRESS": self.addresses["readiness"],
            "METRICS_ADDRESS": self.addresses["metrics"],
            "GOSSIP_PORT": str(gossip_port),
            "PLATFORM_ADDRESS": store,
            "SEEDS": ",".join(seeds),
            "RETRY_RATIO": "0.2",
            "RETRY_EXTRA": "54",
            "RETRY_WINDOW_S": "10",
            "WITHDRAWAL_BOUND_MS": "5000",
            "STOP_GRACE_S": "8",
        } | (variables or {})
        environment = {
            f"ORIOLEPADDLE_{name}": value
            for name, value in {
                "PEER_SECRET": role["env"]["ORIOLEPADDLE_PEER_SECRET"],
                "OPERATOR_TOKEN": role["env"]["ORIOLEPADDLE_OPERATOR_TOKEN"],
                **values,
            }.items()
        }
        environment |= {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._command = shlex.split(role["run"])
        # Without an environment of the tests: the system's own interpreter.
        path = os.pathsep.join(
            item
            for item in environment["PATH"].split(os.pathsep)
            if not item.startswith(str(ROOT))
        )
        environment["PATH"] = path
        self._command[0] = shutil.which(self._command[0], path=path)
        self._environment = environment
        self.process = None

    def start(self):
        """Start the process."""
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=self._environment,
            stdout=self._logs,
            stderr=self._logs,
        )
        self.record.write(f"{self.name} started")

    def is_ready(self):
        """Return whether the readiness check answers 200."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(
                self.addresses["readiness"], timeout=1
            )
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        return False

    def await_ready(self, within_s=15):
        """Wait until the instance is ready."""
        end_s = time.monotonic() + within_s
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end_s:
                raise CaseError(f"{self.name} is not ready: {self.read_log()[-2000:]}")
            time.sleep(0.1)
        self.record.write(f"{self.name} is ready")

    def read_log(self):
        """Return what the process has written."""
        self._logs.seek(0)
        return self._logs.read().decode("utf-8", "replace")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def stop(self):
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client saw: `status` is 0 if the channel ended without a whole answer."""

    def __init__(self, status=0, headers=None, body=b"", reason=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.reason = reason


class Client:
    """A client that keeps one channel open.

    Args:
        address: The front address.
        timeout_s: Seconds for which it waits.
    """

    def __init__(self, address, timeout_s=5.0):
        self._address = address
        self._timeout_s = timeout_s
        self._connection = None

    def request(self, method, path, body=b"", request_id=None, key=KEY, **fields):
        """Send a request and return its `Answer`; `request_id=""` sends no id."""
        if request_id is None:
            request_id = make_id()
        headers = {"Host": HOST}
        if request_id:
            headers[REQUEST_ID] = request_id
        headers["X-Oriolepaddle-Deadline-Ms"] = str(int(self._timeout_s * 1000))
        if key:
            headers["Authorization"] = f"Token {key}"
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    self._address, timeout=self._timeout_s + 1
                )
            self._connection.request(method, path, body or None, headers)
            response = self._connection.getresponse()
            received = response.read()
            names = {name.lower(): value for name, value in response.getheaders()}
            if names.get("connection", "").lower() == "close":
                self.close()
            return Answer(response.status, names, received)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            return Answer(reason=repr(error))

    def close(self):
        """Close the channel."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def make_route(name, prefix, kind, service, **changes):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 700,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | changes


def make_config(routes, services, version=1, tenants=None, **changes):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants or [{"name": TENANT, "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000,
        },
    } | changes


def start_gateway(
    record, cleanups, routes, services, runners, tenants=None, zones=None
):
    """Start a store with a configuration and runners, and one instance before them.

    The instance is in the zone `lodi`; `zones` has the region of each zone.

    Returns:
        The store and the instance, which is ready and knows the runners.
    """
    store = Store()
    store.put("op/config", make_config(routes, services, tenants=tenants))
    for runner in runners:
        store.put(f"servers/{runner.id}", runner.describe())
    host = find_hosts(1)[0]
    gossip_port = find_port(host, socket.SOCK_DGRAM)
    zones = zones or {"lodi": "lombardia"}
    gateway = Gateway(
        record, "front-lodi-1", host, store.address, gossip_port, zones, "lodi"
    )
    cleanups.append(gateway.stop)
    gateway.start()
    gateway.await_ready()
    threading.Thread(target=_beat, args=(store, runners), daemon=True).start()
    time.sleep(STABLE_WINDOW_S)
    return store, gateway


def _beat(store, runners):
    while True:
        time.sleep(HEARTBEAT_S)
        for runner in runners:
            store.put(f"servers/{runner.id}", runner.describe())


def run_case(folder, play):
    """Run `play(record, cleanups)` and exit with the status that the issue asks for.

    Args:
        folder: The folder of the case.
        play: Returns the ways in which the rule was broken; adds to `cleanups` what is
            to be called at the end.
    """
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")
    cleanups = []
    status = NOT_RUN
    try:
        breaks = play(record, cleanups)
        for line in breaks:
            record.write(f"BROKEN: {line}")
            print(line)
        status = BROKEN if breaks else HELD
    except CaseError as error:
        record.write(f"the case could not run: {error}")
        print(error)
    finally:
        for cleanup in reversed(cleanups):
            cleanup()
        record.write(f"exit status {status}")
    # Threads of the stand-ins may still wait for their connections.
    os._exit(status)
