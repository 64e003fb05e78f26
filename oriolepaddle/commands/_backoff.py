"""Backoff between commands to an engine that does not apply them."""

import random
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock

__all__ = ["CommandBackoff"]


@attrs.define
class _SentCommand:
    ticket: int
    attempts: int = 0
    sent_at_s: float = 0.0
    retry_at_s: float = 0.0


class CommandBackoff:
    """Exponential backoff with jitter for each engine; a new ticket resets it.

    Args:
        clock: Clock that measures the pauses.
        generator: Random generator for the jitter.
        min_pause: Pause after the first command.
        max_pause: Upper bound of the pause.
    """

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        min_pause: timedelta,
        max_pause: timedelta,
    ) -> None:
        self._clock = clock
        self._generator = generator
        self._min_pause_s = min_pause.total_seconds()
        self._max_pause_s = max_pause.total_seconds()
        self._sent_commands: dict[str, _SentCommand] = {}

    def is_waiting(self, endpoint: str, ticket: int) -> bool:
        """Return whether the pause since the last command is not over yet."""
        sent = self._find(endpoint, ticket)
        return sent is not None and self._clock.monotonic_s() < sent.retry_at_s

    def was_sent_within(self, endpoint: str, ticket: int, grace: timedelta) -> bool:
        """Return whether the ticket's command was sent within `grace`."""
        sent = self._find(endpoint, ticket)
        if sent is None:
            return False
        return self._clock.monotonic_s() - sent.sent_at_s < grace.total_seconds()

    def record_sent(self, endpoint: str, ticket: int) -> None:
        """Record that a command is sent now, and start the next pause."""
        sent = self._find(endpoint, ticket)
        if sent is None:
            sent = self._sent_commands[endpoint] = _SentCommand(ticket)
        pause_s = min(self._max_pause_s, self._min_pause_s * 2**sent.attempts)
        sent.attempts = min(sent.attempts + 1, 32)
        sent.sent_at_s = self._clock.monotonic_s()
        sent.retry_at_s = sent.sent_at_s + pause_s * self._generator.uniform(0.5, 1.0)

    def reset(self, endpoint: str) -> None:
        """Clear the backoff of an engine that applied its command."""
        self._sent_commands.pop(endpoint, None)

    def retain(self, endpoints: set[str]) -> None:
        """Clear the backoff of all engines but these."""
        for endpoint in self._sent_commands.keys() - endpoints:
            del self._sent_commands[endpoint]

    def _find(self, endpoint: str, ticket: int) -> _SentCommand | None:
        sent = self._sent_commands.get(endpoint)
        return sent if sent is not None and sent.ticket == ticket else None
