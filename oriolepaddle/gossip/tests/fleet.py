"""Gossip between instances in memory, on a clock that the tests advance."""

import random
from collections import deque
from datetime import timedelta
from types import SimpleNamespace

from oriolepaddle.catalog import Catalog
from oriolepaddle.clock import ManualClock
from oriolepaddle.config.model import Organisation
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import (
    Announcer,
    Delegations,
    LocalState,
    RegionLoads,
    RegionWork,
    Roster,
    TokenDraws,
)
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.placement import Placer
from oriolepaddle.signals import EndpointPermits, SignalBoard

ROUND = timedelta(milliseconds=250)
REGIONS = {"nordur-a": "nordur", "nordur-b": "nordur", "sudur-a": "sudur"}
ORGANISATION = Organisation("norddal", 1000.0, 1000.0)
PORT = 7600


class FakeSocket:
    """Appends datagrams to the fleet's queue."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    def start(self):
        """Do nothing; datagrams are delivered by the fleet."""

    def close(self):
        """Do nothing; there is no socket."""

    def send(self, datagram, address):
        self.fleet.wire.append((self.host, address[0], datagram))


class GossipFleet:
    """Instances that exchange datagrams when `run` is called.

    Attributes:
        cut: Pairs of hosts between which datagrams are lost.
        frozen: Names of paused instances; datagrams to them are delayed.
        delayed: Datagrams that are not delivered yet.
        sent: The number of datagrams sent so far.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.wire = deque()
        self.cut = set()
        self.frozen = set()
        self.delayed = []
        self.sent = 0
        self.instances = {}

    def add(self, name, data_centre, size=1.0, seeds=(), incarnation=1, host=None):
        host = host or f"10.0.0.{len(self.instances) + 1}"
        entry_instance = EntryInstance(
            name, REGIONS[data_centre], data_centre, f"{host}:80", size
        )
        roster = Roster(self.clock, entry_instance, incarnation, f"{host}:81", REGIONS)
        catalog = Catalog(self.clock)
        placer = Placer(self.clock, catalog, lambda name: True)
        delegations = Delegations(self.clock, name)
        limiter = GrantingLimiter(
            self.clock,
            lambda: delegations.count() / roster.count(),
            lambda name: ORGANISATION,
        )
        signals = SignalBoard(self.clock)
        permits = EndpointPermits(
            self.clock,
            signals,
            lambda: delegations.count() / roster.count_possible_neighbours(),
        )
        state = LocalState(
            catalog=catalog,
            placer=placer,
            work=RegionWork(self.clock, placer),
            loads=RegionLoads(
                self.clock, roster, 0.16, random.Random(1), lambda *_: 0.02
            ),
            limiter=limiter,
            draws=TokenDraws(
                self.clock, roster, limiter, lambda name: ORGANISATION, PORT
            ),
            permit_draws=TokenDraws(
                self.clock, roster, permits.limiter, permits.find_rate, PORT
            ),
            delegations=delegations,
            signals=signals,
            crashes=CrashRegister(self.clock),
            fetch_catalog=lambda address: self.fetch(catalog, address),
        )
        hosts = tuple(self.instances[seed].host for seed in seeds)
        announcer = Announcer(
            self.clock,
            roster,
            state,
            ("127.0.0.1", 0),
            hosts,
            b"secret",
            lambda: roster.set_own(True, False),
        )
        announcer._socket.close()
        announcer._socket = FakeSocket(self, host)
        permits.connect(state.permit_draws)
        announcer._port = PORT
        self.instances[name] = SimpleNamespace(
            host=host,
            roster=roster,
            state=state,
            announcer=announcer,
            permits=permits,
        )
        return self.instances[name]

    def run(self, duration):
        rounds = int(duration / ROUND)
        for _ in range(rounds):
            self.send_round()
            self.deliver()
            self.clock.advance(ROUND)

    def send_round(self):
        for name, instance in list(self.instances.items()):
            if name not in self.frozen:
                instance.announcer._send_round()

    def deliver(self):
        names = {instance.host: name for name, instance in self.instances.items()}
        while self.wire:
            source, target, datagram = self.wire.popleft()
            self.sent += 1
            is_cut = (source, target) in self.cut or (target, source) in self.cut
            if target not in names or is_cut:
                continue
            if names[target] in self.frozen:
                self.delayed.append((source, target, datagram))
                continue
            self.instances[names[target]].announcer._handle_datagram(
                datagram, (source, PORT)
            )

    def fetch(self, catalog, address):
        """Copy the catalog of the instance at an address, as over TCP."""
        for instance in self.instances.values():
            if instance.roster.own_entry().peer_address != address:
                continue
            peer = instance.state.catalog
            if peer.document is not None:
                catalog.accept_document(peer.document)
            if catalog.needs_peer_snapshot():
                catalog.adopt(peer.snapshot(), self.clock.monotonic_s())

    def remove(self, name):
        return self.instances.pop(name)

    def sum_shares(self):
        return sum(
            instance.state.delegations.count() / instance.roster.count()
            for instance in self.instances.values()
        )
