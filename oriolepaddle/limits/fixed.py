"""A limiter with a static split of each rate."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.limits.bucket import Bucket
from oriolepaddle.limits.reservation import ReservationPart, SharedReservation

__all__ = ["FixedSplitLimiter"]


class FixedSplitLimiter:
    """Mints a fixed fraction of each rate and burst; the baseline of experiments.

    One object for each instance splits by instance; one object shared by the
    instances of a data centre splits by data centre.

    Args:
        clock: The clock.
        share: Fraction of each rate and burst, from 0 to 1.
    """

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._share = share
        self._started_s = clock.monotonic_s()
        self._lock = threading.Lock()
        self._buckets: dict[str, Bucket] = {}

    def reserve(self, organisation: Organisation, tokens: float) -> SharedReservation:
        """Reserve tokens for a request; see `TokenLimiter.reserve`."""
        with self._lock:
            bucket = self._bucket(organisation)
            debit = bucket.acquire(tokens)
        if debit is None:
            raise RefusedError(
                f"{organisation.id} has exceeded its share of the token rate and burst",
                code=ErrorCode.RATE_LIMITED,
            )

        def _settle(used: float) -> None:
            with self._lock:
                bucket.advance(self._clock.monotonic_s())
                bucket.settle(debit, used)

        return SharedReservation([ReservationPart(tokens, _settle)], bucket.charge)

    def _bucket(self, organisation: Organisation) -> Bucket:
        bucket = self._buckets.get(organisation.id)
        if bucket is None:
            bucket = Bucket(self._started_s)
            self._buckets[organisation.id] = bucket
            bucket.resize(
                organisation.rate_tokens_per_s * self._share,
                organisation.burst_tokens * self._share,
            )
        bucket.advance(self._clock.monotonic_s())
        return bucket
