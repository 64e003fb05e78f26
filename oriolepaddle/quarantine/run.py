"""One run of a request at an endpoint."""

from typing import Protocol

import attrs

from oriolepaddle.quarantine.evidence import CrashEvidence

__all__ = ["Run", "RunListener"]


class RunListener(Protocol):
    """What a run tells when it ends."""

    def end_run(self, run: "Run", evidence: CrashEvidence | None) -> None:
        """Take in that `run` ended with `evidence`, or without any."""
        ...

    def finish_run(self, run: "Run") -> None:
        """Take in that `run` gave its whole answer."""
        ...


@attrs.frozen(eq=False)
class Run:
    """A run in flight; exactly one of its methods ends it, later calls do nothing.

    Attributes:
        fingerprint: The fingerprint of its request.
        endpoint: The endpoint that runs it.
        started_at_s: When it started, in monotonic seconds.
    """

    fingerprint: bytes
    endpoint: str
    started_at_s: float
    _listener: RunListener

    def finish(self) -> None:
        """Tell that the whole answer came, which clears a suspect."""
        self._listener.finish_run(self)

    def fail(self, evidence: CrashEvidence) -> None:
        """Tell that the connection broke; `evidence` says if it was a crash."""
        self._listener.end_run(self, evidence)

    def abandon(self) -> None:
        """Tell that the run ended in another way, which proves nothing."""
        self._listener.end_run(self, None)
