"""The interface through which the subpackages call other instances."""

from datetime import timedelta
from typing import Any, Protocol

from oriolepaddle.peers.service import PeerService

__all__ = ["PeerCaller"]


class PeerCaller(Protocol):
    """Calls a method of another instance.

    A handler must not call peers itself: a link carries one call at a time, so
    two handlers that call each other would block until the timeout.
    """

    def call(
        self,
        instance: str,
        service: PeerService,
        method: str,
        request: Any,
        timeout: timedelta,
    ) -> Any:
        """Call `method` of `service` at `instance` and return its reply.

        Args:
            instance: The id of the instance to call.
            service: The thrift service.
            method: The method's name; it takes one struct and returns one.
            request: The request's struct.
            timeout: The longest time to wait for the reply.

        Raises:
            PeerUnavailableError: The call was not sent, so it had no effect.
            PeerTimeoutError: The call was sent and may have taken effect.
            PeerRejectedError: The peer or this instance rejected the link.
        """
        ...
