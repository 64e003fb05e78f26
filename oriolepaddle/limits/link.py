"""Calls to the limiters of other instances."""

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
    """Calls peers and leaves those alone that failed lately.

    Args:
        peers: Calls the peers.
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

    def is_open(self, peer: str) -> bool:
        """Return whether a peer has not failed lately."""
        return self._backoff.is_open(peer, self._clock.monotonic_s())

    def call(
        self, peer: str, method: str, request: Any, timeout: timedelta | None = None
    ) -> Any | None:
        """Call a peer; return None if it failed or failed lately.

        The peer may have acted on a call that returned None.
        """
        try:
            return self.try_call(peer, method, request, timeout)
        except PeerError:
            return None

    def try_call(
        self, peer: str, method: str, request: Any, timeout: timedelta | None = None
    ) -> Any | None:
        """Call a peer; return None, without a call, if it failed lately.

        Raises:
            PeerUnavailableError: The call had no effect.
            PeerTimeoutError: The call may have had its effect.
            PeerRejectedError: The peer refused the link.
        """
        if not self.is_open(peer):
            return None
        limit = timeout or self._timeout
        try:
            reply = self._peers.call(peer, LIMITS_SERVICE, method, request, limit)
        except PeerTimeoutError:
            # A short wait that ran out says little about the peer.
            if limit >= self._timeout:
                self._backoff.note_failure(peer, self._clock.monotonic_s())
            raise
        except PeerError:
            self._backoff.note_failure(peer, self._clock.monotonic_s())
            raise
        self._backoff.note_success(peer)
        return reply
