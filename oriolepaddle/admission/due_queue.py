"""Waiting requests in the order of their latest start."""

from oriolepaddle.admission.waiter import Waiter

__all__ = ["DueQueue"]

DUE_STEP_S = 0.1
"""Requests whose latest starts are less than about this apart count as equally due,
and the organisation that has had the least goes first. About the accuracy with which
a latest start is known."""


class DueQueue:
    """Orders requests by latest start, then by what their organisation has had.

    Not thread-safe. The length is bounded by its user, so every operation may look at
    all waiting requests.
    """

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._served: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, waiter: object) -> bool:
        return waiter in self._waiters

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; unknown ones are ignored."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        if not self._waiters:
            # What organisations have had counts only while they compete.
            self._served.clear()

    def charge(self, waiter: Waiter) -> None:
        """Charge a request that starts to its organisation."""
        served = self._served.get(waiter.organisation, 0.0)
        self._served[waiter.organisation] = served + waiter.cost_tokens / waiter.weight

    def first(self) -> Waiter | None:
        """Return the request that is to start next, or None."""
        return min(self._waiters, key=self._rank, default=None)

    def last(self) -> Waiter | None:
        """Return the request to drop when there is no room, or None."""
        return max(self._waiters, key=self._rank, default=None)

    def oldest_entry_s(self) -> float | None:
        """Return the monotonic time at which the oldest request entered, or None."""
        return min((waiter.entered_s for waiter in self._waiters), default=None)

    def _rank(self, waiter: Waiter) -> tuple[int, float, int]:
        step = int(waiter.deadline_s / DUE_STEP_S)
        return (step, self._served.get(waiter.organisation, 0.0), waiter.sequence)
