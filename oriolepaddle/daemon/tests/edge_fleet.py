"""Edge instances in one process, with stand-ins for the store and the runners."""

import contextlib
import http.client
import itertools
import json
import socket
import time

from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.edge_instance import EdgeInstance
from oriolepaddle.platform.standins import RunnerStandin, StoreStandin
from oriolepaddle.settings import EdgeSettings
from oriolepaddle.standins import LoopbackNetwork

KEY = "key-of-norddal"
OTHER_KEY = "key-of-sudurvik"
HOST = "desk.example"
ENGINES, DESK = "engines", "desk"
REGIONS = {"nordur-a": "nordur", "sudur-a": "sudur"}
CONDITION_TIMEOUT_S = 8.0
NETWORK = LoopbackNetwork()
LISTENERS = ("caller", "directory", "peer", "readiness")
_request_ids = itertools.count(1)


def make_route(name, prefix, kind, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 600,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    } | changes


def make_document(version=1, **changes):
    return {
        "version": version,
        "routes": [
            make_route("read", "/read/", "safe", DESK),
            make_route("book", "/book/", "unsafe", DESK, maxAttempts=1),
            make_route("ask", "/ask/", "stream", ENGINES, maxAttempts=1),
            make_route("chat", "/chat/", "stream", ENGINES, resumable=True),
            make_route("open", "/open/", "safe", DESK, public=True),
            make_route("home", "/home/", "safe", DESK, homeRegions=["sudur"]),
        ],
        "services": [
            {"name": DESK, "healthPath": "/health"},
            {"name": ENGINES, "engine": {"slots": 8, "kvCapacity": 300_000}},
        ],
        "tenants": [
            {"name": "norddal", "apiKeys": [KEY]},
            {"name": "sudurvik", "apiKeys": [OTHER_KEY]},
        ],
        "limits": {"idleTimeoutMs": 15_000},
    } | changes


def find_addresses(host):
    ports = NETWORK.find_ports(host, len(LISTENERS))
    return {
        f"{listener}_address": f"{host}:{port}"
        for listener, port in zip(LISTENERS, ports, strict=True)
    }


def await_true(condition, within_s=CONDITION_TIMEOUT_S):
    deadline_s = time.monotonic() + within_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition did not become true in time")


class EdgeFleet:
    """A store, runners and instances, each instance on its own loopback address.

    Args:
        clock: The instances' clock; the system's clock if it is None.
    """

    def __init__(self, clock=None):
        self.clock = clock or SystemClock()
        self.store = StoreStandin()
        self.store.start()
        self.runners = {}
        self.instances = {}
        self.settings = {}
        (self.gossip_port,) = NETWORK.find_ports(
            NETWORK.add_host(), 1, socket.SOCK_DGRAM
        )
        self.publish(make_document())

    def publish(self, document):
        self.store.put("op/config", json.dumps(document).encode())

    def add_runner(self, name, service, data_centre="nordur-a", events=0):
        runner = RunnerStandin(name, service, data_centre, events)
        runner.start()
        self.runners[name] = runner
        self.register(name)
        return runner

    def register(self, name):
        self.store.put(f"servers/{name}", self.runners[name].describe())

    def add_instance(self, name, data_centre="nordur-a", **changes):
        host = NETWORK.add_host()
        seeds = ",".join(item.peer_address for item in self.settings.values())
        values = {
            "instance": name,
            "data_centre": data_centre,
            "regions": json.dumps(REGIONS),
            "gossip_port": self.gossip_port,
            "platform_address": self.store.address,
            "peer_secret": "a secret of the test fleet",
            "seeds": seeds,
        }
        settings = EdgeSettings(**(values | find_addresses(host) | changes))
        instance = EdgeInstance(settings, self.clock)
        instance.start()
        self.settings[name] = settings
        self.instances[name] = instance
        return instance

    def await_ready(self):
        runner_count = len({runner.id for runner in self.runners.values()})
        for instance in self.instances.values():
            await_true(instance.is_ready)
            await_true(lambda i=instance: len(i.catalog.endpoints()) == runner_count)
            instance_count = len(self.instances)
            await_true(
                lambda i=instance, n=instance_count: (
                    len(i.roster.entry_instances()) == n
                )
            )

    def connect(self, name):
        host, port = self.settings[name].caller_address.split(":")
        return http.client.HTTPConnection(host, int(port), timeout=10)

    def connect_socket(self, name):
        host, port = self.settings[name].caller_address.split(":")
        return socket.create_connection((host, int(port)), timeout=10)

    def send(self, name, path, **options):
        return self.begin(name, path, **options).getresponse()

    def begin(self, name, path, method="GET", body=b"", key=KEY, **fields):
        """Send a request and return its connection, before a response."""
        headers = {
            "Host": HOST,
            "X-Oriolepaddle-Request-Id": f"{next(_request_ids):016x}",
            "X-Oriolepaddle-Deadline-Ms": "4000",
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        headers |= {field.replace("_", "-"): value for field, value in fields.items()}
        connection = self.connect(name)
        connection.request(method, path, body, headers)
        return connection

    def request(self, name, path, **options):
        response = self.send(name, path, **options)
        return response.status, response.read()

    def resolve(self, name, region):
        host, port = self.settings[name].directory_address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request("GET", f"/resolve?name={HOST}&region={region}")
        return json.loads(connection.getresponse().read())["addresses"]

    def close(self):
        for runner in self.runners.values():
            with contextlib.suppress(OSError):
                runner.stop()
        self.store.stop()
        for instance in self.instances.values():
            instance.close()
