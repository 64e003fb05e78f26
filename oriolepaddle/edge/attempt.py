"""Attempts of one request, of which one at a time may write the response."""

import enum
import threading
from collections.abc import Callable

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.endpoints import Cancellation
from oriolepaddle.errors import EndpointTimeoutError, OriolepaddleError

__all__ = ["AlternativeOutcome", "Attempt", "AttemptSupersededError"]


class AlternativeOutcome(enum.StrEnum):
    """How an alternative attempt ended."""

    TOOK_OVER = "took over"
    SUPERSEDED = "superseded"
    FAILED = "failed"


class AttemptSupersededError(OriolepaddleError):
    """An alternative attempt isn't needed, as the first one has responded."""


class Attempt:
    """One attempt of a request, and the alternative that may take it over.

    An attempt that seems lost may still be sound. It goes on until an alternative at
    another endpoint has begun its response, so that nothing is lost if no endpoint
    takes the alternative. The alternative is cancelled if the first one responds
    before it. Thread-safe.

    Args:
        clock: The source of time.
        replaced: The attempt to which this one is an alternative, or None.
        on_takeover: Called when this alternative has replaced the other attempt, before
            any part of its response is delivered.

    Attributes:
        cancellation: Cancels the attempt's transfer.
        took_over_s: Monotonic time at which this alternative replaced the other
            attempt, or None.
    """

    def __init__(
        self,
        clock: Clock,
        replaced: "Attempt | None" = None,
        on_takeover: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_takeover = on_takeover
        self.cancellation = Cancellation()
        self.took_over_s: float | None = None
        self._lock = replaced._lock if replaced else threading.Lock()
        self._replaced = replaced
        self._alternative: Attempt | None = None
        self._error: OriolepaddleError | None = None
        self._is_delivering = False
        self._has_ended = threading.Event()
        self._has_finished = threading.Event()
        self._failure: Exception | None = None

    @property
    def is_pending(self) -> bool:
        """Whether it is an alternative that hasn't begun its response."""
        return self._replaced is not None

    @property
    def has_taken_over(self) -> bool:
        """Whether this alternative has replaced the other attempt."""
        return self.took_over_s is not None

    @property
    def has_alternative(self) -> bool:
        """Whether an alternative is running."""
        return self._alternative is not None

    def claim(self) -> None:
        """Begin to deliver a part of the response, so that no other attempt does.

        An alternative takes over, and returns when the other attempt has ended.

        Raises:
            OriolepaddleError: Another attempt has responded.
        """
        with self._lock:
            if self._error is not None:
                raise self._error
            replaced, self._replaced = self._replaced, None
            if replaced is not None:
                self.took_over_s = self._clock.monotonic_s()
                replaced._error = EndpointTimeoutError(
                    "another endpoint has responded before this one went on"
                )
            alternative, self._alternative = self._alternative, None
            if alternative is not None:
                alternative._error = _make_superseded_error()
            self._is_delivering = True
        if alternative is not None:
            alternative.cancellation.cancel(alternative._error)
        if replaced is not None:
            replaced.cancellation.cancel(replaced._error)
            replaced._has_ended.wait()
            self._on_takeover()

    def release(self) -> None:
        """Record that the part of the response has been delivered."""
        self._is_delivering = False

    def check(self) -> None:
        """Raise an error if another attempt has responded.

        Raises:
            OriolepaddleError: Another attempt has responded.
        """
        if self._error is not None:
            raise self._error

    def add_alternative(self, on_takeover: Callable[[], None]) -> "Attempt | None":
        """Return a new alternative, or None if there can be none at this moment.

        Args:
            on_takeover: Called when the alternative has replaced this attempt.
        """
        with self._lock:
            is_possible = (
                self._alternative is None
                and self._replaced is None
                and self._error is None
                and not self._is_delivering
                and not self._has_ended.is_set()
            )
            if not is_possible:
                return None
            self._alternative = Attempt(self._clock, self, on_takeover)
            return self._alternative

    def start(self, run: Callable[[], None]) -> None:
        """Run an alternative on a thread of its own.

        Args:
            run: Sends the request and completes the response.
        """
        thread = threading.Thread(
            target=self._run, args=(run,), name="alternative-attempt", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            # The system has no thread left; the first attempt goes on.
            logger.warning("no alternative attempt: {}", error)
            self._finish(error)

    def end(self) -> None:
        """Record that the attempt uses the request's state no more."""
        with self._lock:
            self._has_ended.set()

    def await_alternative(self) -> bool:
        """Wait for the end of the alternative.

        Returns:
            Whether it took over and completed the response.

        Raises:
            Exception: The error of an alternative that took over.
        """
        alternative = self._alternative
        if alternative is None:
            return False
        alternative._has_finished.wait()
        if alternative.has_taken_over and alternative._failure is not None:
            raise alternative._failure
        return alternative.has_taken_over

    def cancel_alternative(self, error: Exception) -> None:
        """Make the alternative fail, and wait for its end."""
        alternative = self._alternative
        if alternative is not None:
            alternative.cancellation.cancel(error)
            alternative._has_finished.wait()

    def _run(self, run: Callable[[], None]) -> None:
        try:
            run()
        except (OSError, OriolepaddleError) as error:
            self._failure = error
        except Exception as error:  # noqa: BLE001 - raised on the request's thread
            logger.opt(exception=error).error("an alternative attempt failed")
            self._failure = error
        finally:
            self._finish()

    def _finish(self, failure: Exception | None = None) -> None:
        with self._lock:
            self._failure = self._failure or failure
            replaced = self._replaced
            if replaced is not None and replaced._alternative is self:
                replaced._alternative = None
        self._has_finished.set()


def _make_superseded_error() -> AttemptSupersededError:
    return AttemptSupersededError(
        "the first endpoint went on before another one responded"
    )
