"""A reservation made up of tokens of one or more instances."""

import threading
from collections.abc import Callable

import attrs

__all__ = ["ReservationPart", "SharedReservation"]


@attrs.frozen
class ReservationPart:
    """Tokens debited at one instance.

    Attributes:
        tokens: How many.
        settle: Gives back what was not used, called with the used tokens.
    """

    tokens: float
    settle: Callable[[float], None]


class SharedReservation:
    """Tokens set aside for one request; a `Reservation`.

    Args:
        parts: Where the tokens were debited.
        charge: Called with tokens that were used beyond the reserved ones.
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
        """The tokens that are set aside."""
        return sum(part.tokens for part in self._parts)

    def settle(self, used_tokens: float) -> None:
        """Give back what was not used; later calls have no effect."""
        with self._lock:
            if self._is_settled:
                return
            self._is_settled = True
        left = max(0.0, used_tokens)
        for part in self._parts:
            used = min(left, part.tokens)
            left -= used
            part.settle(used)
        if left > 0:
            self._charge(left)

    def release(self) -> None:
        """Give back all tokens."""
        self.settle(0.0)
