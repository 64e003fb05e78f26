"""Runs of suspects, of which one at a time may start."""

import attrs

__all__ = ["SuspectRun", "SuspectRuns"]


@attrs.frozen(eq=False)
class SuspectRun:
    """A run at an endpoint.

    Attributes:
        suspects: What of its request was suspected when it started; empty for most.
    """

    suspects: frozenset[str] = frozenset()


class SuspectRuns:
    """The runs of suspects at this instance. Not thread-safe."""

    def __init__(self) -> None:
        self._runs: set[SuspectRun] = set()

    def try_start(self, suspects: frozenset[str]) -> SuspectRun | None:
        """Start a run unless another run tests the same suspects."""
        if any(not run.suspects.isdisjoint(suspects) for run in self._runs):
            return None
        run = SuspectRun(suspects)
        self._runs.add(run)
        return run

    def end(self, run: SuspectRun) -> None:
        """Remove a run that ended, or whose response has begun."""
        self._runs.discard(run)
