"""A run of a request at an endpoint."""

from typing import Protocol

import attrs

from oriolepaddle.quarantine.evidence import CrashEvidence

__all__ = ["Run", "RunListener"]


class RunListener(Protocol):
    """Receives the end of a run."""

    def end_incomplete_run(self, run: "Run", evidence: CrashEvidence | None) -> None:
        """Record that `run` ended without a complete answer."""
        ...

    def complete_run(self, run: "Run") -> None:
        """Record that `run` got its complete answer."""
        ...


@attrs.frozen(eq=False)
class Run:
    """A run in flight.

    Its first method call ends it; later calls have no effect.

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
        """Record a complete answer, which dismisses the crashes of a suspect."""
        self._listener.complete_run(self)

    def fail(self, evidence: CrashEvidence) -> None:
        """Record a broken connection; `evidence` decides whether it was a crash."""
        self._listener.end_incomplete_run(self, evidence)

    def abandon(self) -> None:
        """Record another end of the run, which is inconclusive."""
        self._listener.end_incomplete_run(self, None)
