"""Names for crashes, so that what several runs saw counts once."""

from collections import OrderedDict

from oriolepaddle.peers import PeerIdentity
from oriolepaddle.quarantine.crash import Crash
from oriolepaddle.quarantine.evidence import CrashEvidence
from oriolepaddle.quarantine.run import Run

__all__ = ["CrashNamer"]

MAX_ENDPOINTS = 4_096


class CrashNamer:
    """Names a crash by the life of the endpoint that it ended.

    For an endpoint that tells no incarnation, runs of this instance that were
    in flight at a crash share its name. Two instances then name it differently.

    Args:
        identity: This instance.
    """

    def __init__(self, identity: PeerIdentity) -> None:
        self._prefix = f"{identity.instance}/{identity.incarnation}"
        self._count = 0
        self._last: OrderedDict[str, tuple[float, Crash]] = OrderedDict()

    def name_crash(self, run: Run, evidence: CrashEvidence, now_s: float) -> Crash:
        """Return the name of the crash that `run` saw at `now_s`."""
        if evidence.incarnation_before is not None:
            return Crash(run.endpoint, evidence.incarnation_before)
        last = self._last.get(run.endpoint)
        if last is not None and run.started_at_s <= last[0]:
            return last[1]
        self._count += 1
        crash = Crash(run.endpoint, f"{self._prefix}/{self._count}")
        self._last[run.endpoint] = (now_s, crash)
        self._last.move_to_end(run.endpoint)
        if len(self._last) > MAX_ENDPOINTS:
            self._last.popitem(last=False)
        return crash
