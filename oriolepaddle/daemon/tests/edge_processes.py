"""Edge instances as processes of their own."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile

from oriolepaddle.daemon.tests.edge_fleet import (
    HOST,
    KEY,
    NETWORK,
    REGIONS,
    await_true,
    find_addresses,
)

READY_TIMEOUT_S = 30
SECRET = "a secret of the test fleet"


class EdgeProcess:
    """One `serve-edge` process. Its standard output is in a temporary file.

    Args:
        name: The id of the instance.
        values: Its settings.
    """

    def __init__(self, name, values):
        self.name = name
        self.values = values
        self.output = tempfile.TemporaryFile()
        environment = {f"ORIOLEPADDLE_{k.upper()}": str(v) for k, v in values.items()}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oriolepaddle.daemon", "serve-edge"],
            env=os.environ | environment,
            stdout=self.output,
            stderr=subprocess.STDOUT,
        )

    @property
    def is_alive(self):
        return self.process.poll() is None

    def address(self, listener="caller"):
        host, port = self.values[f"{listener}_address"].split(":")
        return host, int(port)

    def is_ready(self):
        connection = http.client.HTTPConnection(*self.address("readiness"), timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def request(self, path, request_id, method="GET", body=b"", timeout_s=10, **fields):
        """Send one request; return its status and body."""
        headers = {
            "Host": HOST,
            "X-Oriolepaddle-Request-Id": request_id,
            "X-Oriolepaddle-Deadline-Ms": "4000",
            "Authorization": f"Token {KEY}",
        }
        headers |= {field.replace("_", "-"): value for field, value in fields.items()}
        connection = http.client.HTTPConnection(*self.address(), timeout=timeout_s)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def read_log(self):
        self.output.seek(0)
        return self.output.read().decode()

    def stop(self):
        if self.is_alive:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.output.close()


class EdgeProcesses:
    """Processes of one fleet, which find each other and one store.

    Args:
        store_address: The address of the store.
    """

    def __init__(self, store_address):
        self._store_address = store_address
        self._seeds = []
        (self._gossip_port,) = NETWORK.find_ports(
            NETWORK.add_host(), 1, socket.SOCK_DGRAM
        )
        self.instances = {}

    def add(self, name, data_centre="nordur-a", **changes):
        values = {
            "instance": name,
            "data_centre": data_centre,
            "regions": json.dumps(REGIONS),
            "gossip_port": self._gossip_port,
            "platform_address": self._store_address,
            "peer_secret": SECRET,
            "seeds": ",".join(self._seeds[:3]),
        }
        values |= find_addresses(NETWORK.add_host()) | changes
        self._seeds.append(values["peer_address"])
        self.instances[name] = EdgeProcess(name, values)
        return self.instances[name]

    def await_ready(self):
        for instance in self.instances.values():
            await_true(instance.is_ready, READY_TIMEOUT_S)

    def stop(self):
        for instance in self.instances.values():
            instance.stop()
