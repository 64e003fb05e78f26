"""The runs in flight at this instance."""

from collections import defaultdict
from collections.abc import Set

from oriolepaddle.quarantine.run import Run

__all__ = ["RunTable"]


class RunTable:
    """An index of runs by fingerprint and by endpoint. Not thread-safe."""

    def __init__(self) -> None:
        self._by_fingerprint: defaultdict[bytes, list[Run]] = defaultdict(list)
        self._by_endpoint: defaultdict[str, list[Run]] = defaultdict(list)

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self._by_fingerprint[run.fingerprint].append(run)
        self._by_endpoint[run.endpoint].append(run)

    def remove(self, run: Run) -> bool:
        """Remove a run that ended; return False if it was removed before."""
        if run not in self._by_fingerprint.get(run.fingerprint, ()):
            return False
        _remove(self._by_fingerprint, run.fingerprint, run)
        _remove(self._by_endpoint, run.endpoint, run)
        return True

    def fingerprints(self) -> Set[bytes]:
        """Return the fingerprints with a run in flight."""
        return self._by_fingerprint.keys()

    def find_runs(self, fingerprint: bytes) -> list[Run]:
        """Return the runs of a fingerprint."""
        return self._by_fingerprint.get(fingerprint, [])

    def find_runs_at(self, endpoint: str) -> list[Run]:
        """Return the runs at an endpoint."""
        return self._by_endpoint.get(endpoint, [])


def _remove(runs: dict, key: bytes | str, run: Run) -> None:
    runs[key].remove(run)
    if not runs[key]:
        del runs[key]
