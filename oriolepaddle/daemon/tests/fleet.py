"""Daemon processes with stand-ins for the platform and the endpoints, for tests."""

import http.client
import json
import os
import re
import signal
import subprocess
import sys
import threading

from oriolepaddle.config import parse_ticket
from oriolepaddle.publication import Instance
from oriolepaddle.standins import (
    EngineStandin,
    PlatformStandin,
    RelayMode,
    RelayStandin,
    ServiceStandin,
    make_key,
    make_object as make,
)

START_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 30
SECRET = "a secret of the test fleet"
KEY = "key-of-norddal"
OTHER_KEY = "key-of-sudurvik"
CHAT = "/v1/chat/completions"
_PORTS = re.compile(
    r"serves callers on port (\d+), peers on port (\d+), operators on port (\d+)"
)


class Daemon:
    """One `oriolepaddled` process."""

    def __init__(self, name, data_centre, platform_address, **settings):
        self.name = name
        self.data_centre = data_centre
        values = {
            "instance": name,
            "data_centre": data_centre,
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "platform_address": platform_address,
            "peer_secret": SECRET,
            "operator_token": SECRET,
        } | settings
        environment = {f"ORIOLEPADDLE_{k.upper()}": str(v) for k, v in values.items()}
        self.lines = []
        self.ready = threading.Event()
        self.caller_port = None
        self.peer_port = None
        self.operator_port = None
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oriolepaddle.daemon", "serve"],
            env=os.environ | environment,
            stderr=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=self.read_log, daemon=True).start()

    def read_log(self):
        for line in self.process.stderr:
            self.lines.append(line)
            match = _PORTS.search(line)
            if match:
                ports = map(int, match.groups())
                self.caller_port, self.peer_port, self.operator_port = ports
                self.ready.set()

    def await_ready(self):
        assert self.ready.wait(START_TIMEOUT_S), "".join(self.lines)

    def describe(self, peer_address):
        return Instance(
            id=self.name,
            data_centre=self.data_centre,
            caller_address=f"127.0.0.1:{self.caller_port}",
            peer_address=peer_address,
        )

    def send(self, method, path, document=None, key=KEY, headers=()):
        connection = http.client.HTTPConnection("127.0.0.1", self.caller_port, 30)
        fields = {"Authorization": f"Bearer {key}"} if key else {}
        body = None if document is None else json.dumps(document)
        connection.request(method, path, body, fields | dict(headers))
        return connection.getresponse()

    def request(self, method, path, document=None, key=KEY, headers=()):
        response = self.send(method, path, document, key, headers)
        return response.status, response.read()

    def call_operator_api(self, method, path, document=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.operator_port, 30)
        body = None if document is None else json.dumps(document)
        fields = {"Authorization": f"Bearer {SECRET}"}
        connection.request(method, path, body, fields)
        return json.loads(connection.getresponse().read())

    def await_tokens(self):
        """Wait until it has its share of the rates and knows the other region."""
        for _ in range(START_TIMEOUT_S * 20):
            statuses = [
                self.request("POST", CHAT, make_chat(tokens=1), key=key)[0]
                for key in (KEY, OTHER_KEY)
            ]
            is_ready = self.call_operator_api("GET", "/v1/status")["is_ready"]
            if statuses == [200, 200] and is_ready:
                return
            threading.Event().wait(0.05)
        raise AssertionError("".join(self.lines))

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)


class Fleet:
    """Stand-ins and daemons of two data centres in two regions."""

    def __init__(self):
        self.platform = PlatformStandin()
        self.platform.start()
        self.engines = {
            name: EngineStandin(name) for name in ("nordur-e1", "nordur-e2", "sudur-e1")
        }
        self.desk = ServiceStandin("desk")
        for standin in (*self.engines.values(), self.desk):
            standin.start()
        self.engine_links = {
            name: RelayStandin(engine.address) for name, engine in self.engines.items()
        }
        self.desk_link = RelayStandin(self.desk.address)
        self.platform_links = {}
        self.peer_links = {}
        self.daemons = {}
        self.number = 0
        self.publish(self.make_objects())

    def make_objects(self):
        objects = [
            make("data_centre", "nordur-a", region="nordur"),
            make("data_centre", "sudur-a", region="sudur"),
            make_organisation("norddal"),
            make_organisation("sudurvik", residency=["sudur"]),
            make_key("k1", "norddal", KEY),
            make_key("k2", "sudurvik", OTHER_KEY),
            make("route", "oriole-answers", kind="model"),
            make("route", "visit-desk", kind="service"),
            self.make_endpoint("desk", "nordur-a", self.desk_link, ["visit-desk"]),
        ]
        objects += [self.make_engine(name) for name in self.engines]
        return objects

    def make_engine(self, name, **value):
        data_centre = name.split("-")[0] + "-a"
        link = self.engine_links[name]
        routes = ["oriole-answers"]
        return self.make_endpoint(name, data_centre, link, routes, **value)

    def make_endpoint(self, name, data_centre, standin, routes, **value):
        return make(
            "endpoint",
            name,
            data_centre=data_centre,
            address=standin.address,
            routes=routes,
            **value,
        )

    def publish(self, objects):
        self.number += 1
        document = {"number": self.number, "objects": objects}
        self.platform.publish(parse_ticket(json.dumps(document)))

    def start(self, **instances):
        for name, data_centre in instances.items():
            self.launch(name, data_centre)
        for name in instances:
            self.await_listening(name)
        self.list_instances()
        for name in instances:
            self.daemons[name].await_tokens()
        return self

    def launch(self, name, data_centre, **settings):
        self.platform_links[name] = RelayStandin(self.platform.address)
        self.peer_links[name] = RelayStandin()
        self.daemons[name] = Daemon(
            name,
            data_centre,
            self.platform_links[name].address,
            advertised_peer_address=self.peer_links[name].address,
            **settings,
        )

    def await_listening(self, name):
        daemon = self.daemons[name]
        daemon.await_ready()
        self.peer_links[name].target = f"127.0.0.1:{daemon.peer_port}"

    def list_instances(self):
        self.platform.set_instances(
            tuple(
                daemon.describe(self.peer_links[name].address)
                for name, daemon in self.daemons.items()
            )
        )

    def replace(self, name, **settings):
        """Stop an instance gracefully and start it again."""
        data_centre = self.daemons[name].data_centre
        self.daemons[name].stop()
        self.launch(name, data_centre, **settings)
        self.await_listening(name)
        self.list_instances()

    def cut_region(self, *names):
        """Isolate some instances from the platform and from all others."""
        inside = {f"{name}".encode() for name in names}
        outside = {name.encode() for name in self.daemons} - inside
        for name in self.daemons:
            is_inside = name.encode() in inside
            self.peer_links[name].block(*(outside if is_inside else inside))
        for name in names:
            self.platform_links[name].set_mode(RelayMode.CUT)

    def restore_links(self):
        for link in self.peer_links.values():
            link.unblock()
        for link in (*self.platform_links.values(), *self.engine_links.values()):
            link.set_mode(RelayMode.PASS)

    def close(self):
        for daemon in self.daemons.values():
            if daemon.process.poll() is None:
                daemon.kill()
        links = (self.engine_links, self.platform_links, self.peer_links)
        for link in [
            self.desk_link,
            *(item for group in links for item in group.values()),
        ]:
            link.close()
        for standin in (*self.engines.values(), self.desk, self.platform):
            standin.close()


def make_organisation(object_id, /, **value):
    limits = {"rate_tokens_per_s": 100_000, "burst_tokens": 1_000_000}
    return make("organisation", object_id, **(limits | value))


def make_chat(tokens=8, stream=False, text="When does the bus leave?"):
    return {
        "model": "oriole-answers",
        "messages": [{"role": "user", "content": text}],
        "max_tokens": tokens,
        "stream": stream,
    }


def await_true(check, timeout_s=20):
    """Wait until `check` returns a truthy value, and return that."""
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        match = check()
        if match:
            return match
        threading.Event().wait(POLL_INTERVAL_S)
    raise AssertionError(f"not true within {timeout_s} s")


def issue(daemon):
    status, body = daemon.request("POST", "/v1/orders", {"route": "visit-desk"})
    assert status == 201, body
    return json.loads(body)["order"]


def send_order(daemon, number, order, key=KEY):
    headers = {"Idempotency-Key": number}
    path = "/services/visit-desk/book"
    try:
        return daemon.request("POST", path, order, key=key, headers=headers)
    except (http.client.HTTPException, OSError):
        return None


def count_runs(fleet, order):
    return fleet.desk.runs.get(json.dumps(order).encode(), 0)
