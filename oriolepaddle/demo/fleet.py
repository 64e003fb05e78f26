"""The demo's fleet: six instances in three data centres, and their stand-ins."""

import secrets
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.daemon.instance import GatewayInstance
from oriolepaddle.errors import PeerUnavailableError
from oriolepaddle.publication import Instance
from oriolepaddle.settings import Settings
from oriolepaddle.standins import (
    EngineStandin,
    PlatformStandin,
    RelayMode,
    RelayStandin,
    ServiceStandin,
    TicketPublisher,
    make_key,
    make_object,
)

__all__ = ["DemoFleet"]

REGIONS = ("nordur", "sudur", "austur")
ENGINES_PER_DATA_CENTRE = 2
INSTANCES_PER_DATA_CENTRE = 2
START_TIMEOUT_S = 60.0
BUCKET_FILL_TIME = timedelta(seconds=3)
POLL_INTERVAL = timedelta(milliseconds=50)
MODELS = ("oriole-answers", "consiglio")
SERVICES = ("visit-desk", "cabina")
ORGANISATIONS = ("vinabaer", "skolar", "padana", "frutta")
RATE_TOKENS_PER_S = 20_000.0
BURST_TOKENS = 60_000.0
LIMITED_ORGANISATION = "skolar"
LIMITED_RATE_TOKENS_PER_S = 1_000.0
LIMITED_BURST_TOKENS = 4_000.0


class DemoFleet:
    """Stand-ins and instances on free loopback ports.

    Args:
        clock: The clock of all instances.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.platform = PlatformStandin()
        self.publisher = TicketPublisher(self.platform)
        self.engines = {
            f"{region}-{number}": EngineStandin(
                f"{region}-{number}", token_interval_s=0.005, prefill_s=0.01
            )
            for region in REGIONS
            for number in range(1, ENGINES_PER_DATA_CENTRE + 1)
        }
        self.services = {name: ServiceStandin(name) for name in SERVICES}
        self.keys = {name: secrets.token_hex(16) for name in ORGANISATIONS}
        self.instances: dict[str, GatewayInstance] = {}
        self.peer_links: dict[str, RelayStandin] = {}
        self.platform_links: dict[str, RelayStandin] = {}
        self._secret = secrets.token_hex(16)

    def start(self) -> None:
        """Start all parts; wait until each instance is ready and has tokens.

        Raises:
            PeerUnavailableError: An instance was not ready in time.
        """
        for standin in self._standins():
            standin.start()
        self.publisher.publish(*self._make_objects())
        for region in REGIONS:
            for number in range(1, INSTANCES_PER_DATA_CENTRE + 1):
                self._add_instance(f"{region[0]}{number}", f"{region}-a")
        self._list_instances()
        with ThreadPoolExecutor(len(self.instances)) as executor:
            list(executor.map(GatewayInstance.start, self.instances.values()))
        for instance in self.instances.values():
            self._await_ready(instance)
        # The token buckets of a new fleet are empty.
        self.clock.wait(threading.Event(), BUCKET_FILL_TIME)

    def close(self) -> None:
        """Stop all instances and stand-ins."""
        for link in (*self.peer_links.values(), *self.platform_links.values()):
            link.set_mode(RelayMode.PASS)
            link.unblock()
        with ThreadPoolExecutor(len(self.instances)) as executor:
            list(executor.map(GatewayInstance.stop, self.instances.values()))
        for link in (*self.peer_links.values(), *self.platform_links.values()):
            link.close()
        for standin in self._standins():
            standin.close()

    def address(self, name: str) -> str:
        """Return `host:port` of an instance's caller listener."""
        return f"127.0.0.1:{self.instances[name].listeners.callers.port}"

    def cut(self, region: str) -> None:
        """Partition a region from the others and from the platform."""
        inside = {name.encode() for name in self.instances if name[0] == region[0]}
        outside = {name.encode() for name in self.instances} - inside
        for name, link in self.peer_links.items():
            link.block(*(outside if name.encode() in inside else inside))
        for name in inside:
            self.platform_links[name.decode()].set_mode(RelayMode.CUT)

    def heal(self) -> None:
        """End all cuts."""
        for link in self.peer_links.values():
            link.unblock()
        for link in self.platform_links.values():
            link.set_mode(RelayMode.PASS)

    def count_runs(self, body: bytes) -> int:
        """Return how many times the services have run this body."""
        return sum(service.runs.get(body, 0) for service in self.services.values())

    def _standins(self) -> list[EngineStandin | ServiceStandin | PlatformStandin]:
        return [self.platform, *self.engines.values(), *self.services.values()]

    def _add_instance(self, name: str, data_centre: str) -> None:
        self.peer_links[name] = RelayStandin()
        self.platform_links[name] = RelayStandin(self.platform.address)
        settings = Settings(
            instance=name,
            data_centre=data_centre,
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            operator_address="127.0.0.1:0",
            advertised_peer_address=self.peer_links[name].address,
            platform_address=self.platform_links[name].address,
            peer_secret=self._secret,
            operator_token=self._secret,
            max_connections=128,
        )
        instance = GatewayInstance(settings, self.clock)
        self.instances[name] = instance
        self.peer_links[name].target = f"127.0.0.1:{instance.listeners.peers.port}"

    def _list_instances(self) -> None:
        self.platform.set_instances(
            tuple(self._describe(name) for name in self.instances)
        )

    def _describe(self, name: str) -> Instance:
        return self.instances[name].listeners.describe()

    def _await_ready(self, instance: GatewayInstance) -> None:
        deadline_s = self.clock.monotonic_s() + START_TIMEOUT_S
        while not instance.is_ready():
            if self.clock.monotonic_s() > deadline_s:
                raise PeerUnavailableError(
                    f"{instance.identity.instance} was not ready in time"
                )
            self.clock.wait(instance.drain_requested, POLL_INTERVAL)

    def _make_objects(self) -> list[dict]:
        objects = [
            make_object("data_centre", f"{region}-a", region=region)
            for region in REGIONS
        ]
        objects += [_make_organisation(name) for name in ORGANISATIONS]
        objects += [
            make_key(f"key-{name}", name, key) for name, key in self.keys.items()
        ]
        objects += [make_object("route", name, kind="model") for name in MODELS]
        objects += [make_object("route", name, kind="service") for name in SERVICES]
        objects += [self._make_engine_object(name) for name in self.engines]
        objects += [
            make_object(
                "endpoint",
                f"{service}-{region}",
                data_centre=f"{region}-a",
                address=self.services[service].address,
                routes=[service],
            )
            for service in SERVICES
            for region in REGIONS
        ]
        return objects

    def _make_engine_object(self, name: str, **value: object) -> dict:
        return make_object(
            "endpoint",
            name,
            data_centre=f"{name.rpartition('-')[0]}-a",
            address=self.engines[name].address,
            routes=list(MODELS),
            **value,
        )

    def retire_engine(self, name: str) -> None:
        """Publish that an engine is leaving."""
        self.publisher.publish(self._make_engine_object(name, leaving=True))


def _make_organisation(name: str) -> dict:
    rate, burst = RATE_TOKENS_PER_S, BURST_TOKENS
    if name == LIMITED_ORGANISATION:
        rate, burst = LIMITED_RATE_TOKENS_PER_S, LIMITED_BURST_TOKENS
    return make_object("organisation", name, rate_tokens_per_s=rate, burst_tokens=burst)
