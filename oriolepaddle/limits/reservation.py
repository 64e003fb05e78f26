"""A reservation of tokens from one or more instances."""

import threading
from collections.abc import Callable

import attrs

__all__ = ["ReservationPart", "SharedReservation"]


@attrs.frozen
class ReservationPart:
    """Tokens debited at one instance.

    Attributes:
        tokens: The number of tokens.
        settle: Refunds the unused tokens; called with the number of used ones.
    """

    tokens: float
    settle: Callable[[float], None]


class SharedReservation:
    """Tokens reserved for one request; implements `Reservation`.

    Args:
        parts: The debits at each instance.
        charge: Called with the number of tokens used beyond the reservation.
    """

    def __init__(
        self, parts: list[ReservationPart], charge: Callable[[float], None]
    ) -> None:
        self._parts = parts
        self._charge = charge
        self._lock = threading.Lock()
        self._is_settled = False

    @property
    def tokens(self) -> float:
        """The number of reserved tokens."""
        return sum(part.tokens for part in self._parts)

    def settle(self, used_tokens: float) -> None:
        """Refund the unused tokens; later calls have no effect."""
        with self._lock:
            if self._is_settled:
                return
            self._is_settled = True
        remaining = max(0.0, used_tokens)
        for part in self._parts:
            used = min(remaining, part.tokens)
            remaining -= used
            part.settle(used)
        if remaining > 0:
            self._charge(remaining)

    def release(self) -> None:
        """Refund all tokens."""
        self.settle(0.0)
