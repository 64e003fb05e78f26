"""Which hub mints which instances' share of each rate.

Each instance has an equal share and delegates the minting of it to one hub at a
time, by a lease. Both ends measure the lease by their own clock, and the hub starts
it from a lower bound of the time at which it was sent, so that no incarnation's
share is minted twice. A hub drops the lease of an earlier incarnation as soon as it
learns of a later one. The exception is an instance that ends on one side of a
network partition and restarts on the other: its share is minted twice for at most
the rest of one lease.
"""

import threading

from oriolepaddle.clock import Clock

__all__ = ["Delegations"]

LEASE_S = 1.5
"""How long a hub mints for an instance that has become silent."""
START_WAIT_S = 0.3
"""Time for hubs to learn of a new incarnation and drop the earlier one's lease."""
CLOCK_MARGIN_S = 0.1
"""Added to the lease, for the drift between two clocks."""


class Delegations:
    """The delegations from and to one instance; thread-safe.

    Args:
        clock: The time.
        own: This instance's id.
    """

    def __init__(self, clock: Clock, own: str) -> None:
        self._clock = clock
        self._own = own
        self._lock = threading.Lock()
        self._lease_end_s = clock.monotonic_s() + START_WAIT_S
        self._current_hub = ""
        self._leases: dict[str, tuple[int, float]] = {}

    def may_delegate(self, hub: str) -> bool:
        """Return whether this instance's share may be delegated to a hub now.

        Another hub is allowed only after the current hub's lease has ended.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if hub != self._current_hub:
                if now_s < self._lease_end_s:
                    return False
                self._current_hub = hub
            self._lease_end_s = now_s + LEASE_S + CLOCK_MARGIN_S
            return True

    def record_incarnation(self, sender: str, incarnation: int) -> None:
        """Record an instance's incarnation and drop an earlier one's lease."""
        with self._lock:
            lease = self._leases.get(sender)
            if lease is None or lease[0] < incarnation:
                self._leases[sender] = (incarnation, float("-inf"))

    def accept(self, sender: str, incarnation: int, sent_after_s: float) -> None:
        """Accept a delegation, which starts or extends the sender's lease.

        Args:
            sender: The instance whose share is delegated.
            incarnation: The sender's incarnation.
            sent_after_s: A time by this instance's clock after which the
                delegation is guaranteed to have been sent.
        """
        until_s = sent_after_s + LEASE_S
        with self._lock:
            lease = self._leases.get(sender)
            if lease is None or lease[0] < incarnation:
                self._leases[sender] = (incarnation, until_s)
            elif lease[0] == incarnation:
                self._leases[sender] = (incarnation, max(until_s, lease[1]))

    def count(self) -> int:
        """Return how many instances' shares are minted here now."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            # Expired leases are retained, so that a late datagram of an earlier
            # incarnation cannot start a new one.
            return sum(until_s > now_s for _, until_s in self._leases.values())
