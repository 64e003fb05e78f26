"""A fleet of quarantines whose links a test can cut."""

import random
from concurrent.futures import Executor, Future
from datetime import timedelta

from oriolepaddle.clock import ManualClock
from oriolepaddle.errors import PeerTimeoutError, PeerUnavailableError
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine import (
    ConnectionEnd,
    CrashEvidence,
    HealthAnswer,
    Quarantine,
    QuarantineHandler,
    QuarantineReplicator,
    QuarantineSettings,
    StartAction,
)

SETTINGS = QuarantineSettings()


def make_evidence(incarnation="1"):
    return CrashEvidence(
        ConnectionEnd.RESET, HealthAnswer.REFUSED, incarnation_before=incarnation
    )


def start_run(quarantine, clock, fingerprint, endpoint, **options):
    """Wait as advised by the quarantine, then start the run."""
    while True:
        advice = quarantine.advise_start(fingerprint, endpoint, **options)
        if advice.action in (StartAction.START, StartAction.AVOID):
            return quarantine.start_run(fingerprint, endpoint)
        assert advice.action is StartAction.WAIT
        clock.advance(advice.delay)


def find_state(quarantine, fingerprint):
    states = {entry.fingerprint: entry.state for entry in quarantine.list()}
    return states.get(fingerprint)


class InlineExecutor(Executor):
    def submit(self, function, *args):
        future = Future()
        future.set_result(function(*args))
        return future


class Node:
    """One instance: a quarantine, its replicator and its view of the fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.identity = PeerIdentity(name, 1, "lombardia-lodi")
        self.restart()

    def restart(self):
        fleet = self.fleet
        self.quarantine = Quarantine(fleet.clock, SETTINGS, self.identity)
        self.handler = QuarantineHandler(self.quarantine)
        self.replicator = QuarantineReplicator(
            fleet.clock,
            SETTINGS,
            self.quarantine,
            self,
            self,
            InlineExecutor(),
            random.Random(1),
        )

    def reachable(self):
        return frozenset(self.fleet.nodes) - {self.identity.instance}

    def incarnation(self, instance):
        return self.fleet.nodes[instance].identity.incarnation

    def call(self, instance, service, method, request, timeout):
        link = frozenset({instance, self.identity.instance})
        if link in self.fleet.cut:
            raise PeerUnavailableError("cut")
        if self.fleet.is_lost():
            raise PeerTimeoutError("lost")
        reply = getattr(self.fleet.nodes[instance].handler, method)(request)
        if link in self.fleet.mute:
            raise PeerTimeoutError("no reply")
        return reply


class Fleet:
    def __init__(self, names="abc"):
        self.clock = ManualClock()
        self.cut = set()
        self.mute = set()
        self.is_lost = lambda: False
        self.nodes = {name: Node(self, name) for name in names}

    def __getitem__(self, name):
        return self.nodes[name].quarantine

    def tick(self, times=3):
        for _ in range(times):
            for node in self.nodes.values():
                node.replicator.tick()

    def crash(self, name, fingerprint, endpoint, incarnation="1"):
        run = start_run(self[name], self.clock, fingerprint, endpoint)
        self.tick()
        run.fail(make_evidence(incarnation))

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
