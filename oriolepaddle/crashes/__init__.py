"""Detection of what crashes the endpoints that run it: requests, parts of prompts."""

from oriolepaddle.crashes.keys import RequestKeys, make_request_keys
from oriolepaddle.crashes.pending import ActiveRun
from oriolepaddle.crashes.register import CrashRegister
from oriolepaddle.crashes.report import CrashReport
from oriolepaddle.crashes.reports import CrashEntry
from oriolepaddle.crashes.runs import SuspectRun

__all__ = [
    "ActiveRun",
    "CrashEntry",
    "CrashRegister",
    "CrashReport",
    "RequestKeys",
    "SuspectRun",
    "make_request_keys",
]
