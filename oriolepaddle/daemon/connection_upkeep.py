"""Upkeep of the connections of an instance."""

from collections.abc import Sequence

from oriolepaddle.clock import Clock
from oriolepaddle.daemon.descriptors import DescriptorWatch
from oriolepaddle.endpoints import EndpointTransport

__all__ = ["ConnectionUpkeep"]


class ConnectionUpkeep:
    """Closes connections to endpoints and instances that are not used any more.

    Args:
        clock: The source of time.
        transports: The transports that keep the connections.
    """

    def __init__(self, clock: Clock, transports: Sequence[EndpointTransport]) -> None:
        self._transports = tuple(transports)
        self._descriptors = DescriptorWatch(clock, self.close_idle)

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return sum(transport.idle_count for transport in self._transports)

    def count_descriptors(self) -> int:
        """Return the number of open descriptors, -1 if it is unknown."""
        return self._descriptors.count()

    def run(self) -> None:
        """Close what was idle for too long, and more if descriptors run short."""
        for transport in self._transports:
            transport.close_expired()
        self._descriptors.check()

    def close_idle(self) -> int:
        """Close all idle connections; return their number."""
        return sum(transport.close_idle() for transport in self._transports)
