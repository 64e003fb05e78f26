"""Which instance mints which instances' part of each rate.

Each instance has an equal part. It lets one hub at a time mint it, by a lease
that both ends count in their own clock and from moments that the hub can prove
to be early, so that no part is ever minted twice.
"""

import threading

from oriolepaddle.clock import Clock

__all__ = ["Delegations"]

LEASE_S = 1.5
"""How long a hub mints for an instance that it does not hear any more."""
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
        # A new life waits until what an earlier one has lent has ended.
        self._free_s = clock.monotonic_s() + LEASE_S + CLOCK_MARGIN_S
        self._holder = ""
        self._held: dict[str, float] = {}

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

    def accept(self, sender: str, sent_after_s: float) -> None:
        """Take in a delegation.

        Args:
            sender: Whose part it is.
            sent_after_s: A moment of this instance's clock after which it was
                surely sent.
        """
        with self._lock:
            until_s = sent_after_s + LEASE_S
            self._held[sender] = max(until_s, self._held.get(sender, until_s))

    def count(self) -> int:
        """Return how many instances' parts are minted here now."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._held = {
                name: until_s for name, until_s in self._held.items() if until_s > now_s
            }
            return len(self._held)
