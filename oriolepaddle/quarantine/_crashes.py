"""Identification of crashes, so that one seen by several runs counts once."""

from collections import OrderedDict

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine.crash import Crash
from oriolepaddle.quarantine.evidence import CrashEvidence
from oriolepaddle.quarantine.run import Run

__all__ = ["CrashIdentifier"]

MAX_ENDPOINTS = 4_096


class CrashIdentifier:
    """Identifies a crash by the incarnation of the endpoint that crashed.

    If the endpoint reports no incarnation, all runs at the endpoint that this
    instance had in flight when it recorded the crash share an id, but other
    instances use different ids.

    Args:
        identity: This instance and its incarnation.
    """

    def __init__(self, identity: PeerIdentity) -> None:
        self._prefix = f"{identity.instance}/{identity.incarnation}"
        self._local_crash_count = 0
        self._last_crashes: OrderedDict[str, tuple[float, Crash]] = OrderedDict()

    def identify(self, run: Run, evidence: CrashEvidence, now_s: float) -> Crash:
        """Return the crash that `run` observed at `now_s`."""
        if evidence.incarnation_before is not None:
            return Crash(run.endpoint, evidence.incarnation_before)
        last = self._last_crashes.get(run.endpoint)
        if last is not None and run.started_at_s <= last[0]:
            return last[1]
        self._local_crash_count += 1
        crash = Crash(run.endpoint, f"{self._prefix}/{self._local_crash_count}")
        self._last_crashes[run.endpoint] = (now_s, crash)
        self._last_crashes.move_to_end(run.endpoint)
        if len(self._last_crashes) > MAX_ENDPOINTS:
            self._last_crashes.popitem(last=False)
        return crash
