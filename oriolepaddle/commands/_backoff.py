"""The pauses between commands to an engine that does not take them on."""

import random
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock

__all__ = ["CommandBackoff"]


@attrs.define
class _Attempts:
    ticket: int
    count: int = 0
    sent_s: float = 0.0
    next_s: float = 0.0


class CommandBackoff:
    """Exponential backoff with jitter for each engine; a new ticket resets it.

    Args:
        clock: The source of time.
        generator: The source of the jitter.
        shortest: The pause after the first command.
        longest: The longest pause.
    """

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        shortest: timedelta,
        longest: timedelta,
    ) -> None:
        self._clock = clock
        self._generator = generator
        self._shortest_s = shortest.total_seconds()
        self._longest_s = longest.total_seconds()
        self._attempts: dict[str, _Attempts] = {}

    def is_waiting(self, endpoint: str, ticket: int) -> bool:
        """Return whether it is too early for another command."""
        held = self._held(endpoint, ticket)
        return held is not None and self._clock.monotonic_s() < held.next_s

    def was_sent_within(self, endpoint: str, ticket: int, grace: timedelta) -> bool:
        """Return whether the ticket's command was sent within `grace`."""
        held = self._held(endpoint, ticket)
        if held is None:
            return False
        return self._clock.monotonic_s() - held.sent_s < grace.total_seconds()

    def record_sent(self, endpoint: str, ticket: int) -> None:
        """Note that a command is sent now."""
        held = self._held(endpoint, ticket)
        if held is None:
            held = self._attempts[endpoint] = _Attempts(ticket)
        pause_s = min(self._longest_s, self._shortest_s * 2**held.count)
        held.count = min(held.count + 1, 32)
        held.sent_s = self._clock.monotonic_s()
        held.next_s = held.sent_s + pause_s * self._generator.uniform(0.5, 1.0)

    def reset(self, endpoint: str) -> None:
        """Forget an engine that has taken its command on."""
        self._attempts.pop(endpoint, None)

    def retain(self, endpoints: set[str]) -> None:
        """Forget all other engines."""
        for endpoint in self._attempts.keys() - endpoints:
            del self._attempts[endpoint]

    def _held(self, endpoint: str, ticket: int) -> _Attempts | None:
        held = self._attempts.get(endpoint)
        return held if held is not None and held.ticket == ticket else None
