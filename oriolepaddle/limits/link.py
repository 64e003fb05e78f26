"""Client for the limiters of other instances."""

from datetime import timedelta
from typing import Any

from oriolepaddle.clock import Clock
from oriolepaddle.errors import PeerError, PeerTimeoutError
from oriolepaddle.limits.backoff import Backoff
from oriolepaddle.limits.settings import LimitSettings
from oriolepaddle.peers import PeerCaller, PeerService
from oriolepaddle.peers.gen_py.limits import Limits

__all__ = ["LIMITS_SERVICE", "LimitsLink"]

LIMITS_SERVICE = PeerService(name="limits", module=Limits)


class LimitsLink:
    """Calls peers, with a back-off for peers that failed recently.

    Args:
        peers: Sends calls to other instances.
        clock: The clock.
        settings: The limiter's settings.
    """

    def __init__(
        self, peers: PeerCaller, clock: Clock, settings: LimitSettings
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._timeout = settings.call_timeout
        self._backoff = Backoff(settings.backoff)

    def may_call(self, peer: str) -> bool:
        """Return whether a peer is not in its back-off period."""
        return self._backoff.may_call(peer, self._clock.monotonic_s())

    def call(
        self, peer: str, method: str, request: Any, timeout: timedelta | None = None
    ) -> Any | None:
        """Call a peer; return None on failure or during its back-off period.

        The peer may have executed a call that returned None.
        """
        try:
            return self.try_call(peer, method, request, timeout)
        except PeerError:
            return None

    def try_call(
        self, peer: str, method: str, request: Any, timeout: timedelta | None = None
    ) -> Any | None:
        """Call a peer; return None without a call during its back-off period.

        Raises:
            PeerUnavailableError: The peer did not execute the call.
            PeerTimeoutError: The peer may have executed the call.
            PeerRejectedError: The peer or this instance rejected the connection.
        """
        if not self.may_call(peer):
            return None
        limit = timeout or self._timeout
        try:
            reply = self._peers.call(peer, LIMITS_SERVICE, method, request, limit)
        except PeerTimeoutError:
            # A timeout below the call timeout doesn't show that the peer is down.
            if limit >= self._timeout:
                self._backoff.record_failure(peer, self._clock.monotonic_s())
            raise
        except PeerError:
            self._backoff.record_failure(peer, self._clock.monotonic_s())
            raise
        self._backoff.record_success(peer)
        return reply
