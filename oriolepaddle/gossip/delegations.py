"""Which instance mints which instances' part of each rate.

Each instance has an equal part. It lets one hub at a time mint it, by a lease
that both ends count in their own clock and from moments that the hub can prove
to be early, so that no life's part is ever minted twice. A hub drops the lease of
an earlier life as soon as it hears of the next one. Only a life that ends behind
a cut, and begins again on the other side of it, has its part minted twice, for
at most the rest of one lease.
"""

import threading

from oriolepaddle.clock import Clock

__all__ = ["Delegations"]

LEASE_S = 1.5
"""How long a hub mints for an instance that it does not hear any more."""
START_WAIT_S = 0.3
"""Time in which hubs hear of a new life and drop what they hold of an earlier."""
CLOCK_MARGIN_S = 0.1
"""Beyond the lease, for the drift of two clocks."""


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
        self._free_s = clock.monotonic_s() + START_WAIT_S
        self._holder = ""
        self._held: dict[str, tuple[int, float]] = {}

    def may_delegate(self, hub: str) -> bool:
        """Return whether a hub may be told now that it mints the own part.

        A change of the hub waits until the former one's lease has ended.
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            if hub != self._holder:
                if now_s < self._free_s:
                    return False
                self._holder = hub
            self._free_s = now_s + LEASE_S + CLOCK_MARGIN_S
            return True

    def note_life(self, sender: str, incarnation: int) -> None:
        """Drop what an earlier life of an instance has delegated."""
        with self._lock:
            held = self._held.get(sender)
            if held is None or held[0] < incarnation:
                self._held[sender] = (incarnation, float("-inf"))

    def accept(self, sender: str, incarnation: int, sent_after_s: float) -> None:
        """Take in a delegation.

        Args:
            sender: Whose part it is.
            incarnation: The sender's life.
            sent_after_s: A moment of this instance's clock after which it was
                surely sent.
        """
        until_s = sent_after_s + LEASE_S
        with self._lock:
            held = self._held.get(sender)
            if held is None or held[0] < incarnation:
                self._held[sender] = (incarnation, until_s)
            elif held[0] == incarnation:
                self._held[sender] = (incarnation, max(until_s, held[1]))

    def count(self) -> int:
        """Return how many instances' parts are minted here now."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            # A lease that has run out stays, so that a late datagram of an
            # earlier life cannot begin one anew.
            return sum(until_s > now_s for _, until_s in self._held.values())
