"""Quarantine of requests that crash every endpoint that runs them."""

from oriolepaddle.quarantine.advice import StartAction, StartAdvice
from oriolepaddle.quarantine.crash import Crash
from oriolepaddle.quarantine.entry import EntryState, QuarantineEntry
from oriolepaddle.quarantine.evidence import (
    ConnectionEnd,
    CrashEvidence,
    HealthAnswer,
)
from oriolepaddle.quarantine.fingerprint import make_fingerprint
from oriolepaddle.quarantine.handler import QUARANTINE_SERVICE, QuarantineHandler
from oriolepaddle.quarantine.quarantine import Quarantine
from oriolepaddle.quarantine.replicator import QuarantineReplicator
from oriolepaddle.quarantine.run import Run
from oriolepaddle.quarantine.settings import QuarantineSettings

__all__ = [
    "QUARANTINE_SERVICE",
    "ConnectionEnd",
    "Crash",
    "CrashEvidence",
    "EntryState",
    "HealthAnswer",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineHandler",
    "QuarantineSettings",
    "QuarantineReplicator",
    "Run",
    "StartAction",
    "StartAdvice",
    "make_fingerprint",
]
