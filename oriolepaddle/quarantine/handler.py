"""The quarantine service for peers."""

from oriolepaddle.peers import PeerService
from oriolepaddle.peers.gen_py.quarantine import Quarantine as QuarantineModule
from oriolepaddle.peers.gen_py.quarantine.ttypes import (
    CompareReply,
    CompareRequest,
    Report,
    ReportReply,
)
from oriolepaddle.quarantine.quarantine import Quarantine

__all__ = ["QUARANTINE_SERVICE", "QuarantineHandler"]

QUARANTINE_SERVICE = PeerService(name="quarantine", module=QuarantineModule)


class QuarantineHandler:
    """Handles calls from peers; it never calls a peer.

    Args:
        quarantine: This instance's quarantine.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def report(self, request: Report) -> ReportReply:
        """Merge a report."""
        self._quarantine.merge(request)
        return ReportReply()

    def compare(self, request: CompareRequest) -> CompareReply:
        """Return the whole state if the caller's digest differs."""
        if request.digest == self._quarantine.digest():
            return CompareReply(is_equal=True, report=Report(entries=[], claims=[]))
        return CompareReply(is_equal=False, report=self._quarantine.export())
