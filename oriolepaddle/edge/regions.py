"""The interface for choosing an instance of another region."""

from typing import Protocol

import attrs

__all__ = ["PeerChoice", "RegionChooser", "Residency", "allows_region"]

Residency = tuple[tuple[str, ...], ...]
"""Sets of regions; a request may be served in those that every nonempty set has."""


def allows_region(residency: Residency, region: str) -> bool:
    """Return whether a request may be served in a region."""
    return all(not regions or region in regions for regions in residency)


@attrs.frozen
class PeerChoice:
    """An instance of another region that may serve a request.

    Attributes:
        instance: The instance's id.
        region: The instance's region.
        address: `host:port` of the instance's listener for peers.
        expected_s: The expected time to the first byte in seconds, including the
            network round trip.
    """

    instance: str
    region: str
    address: str
    expected_s: float


class RegionChooser(Protocol):
    """Chooses instances by the load of other regions."""

    def choose(
        self, service: str, tokens: int, residency: Residency
    ) -> PeerChoice | None:
        """Return the instance with the earliest expected first byte, or None.

        Args:
            service: The service that is to run the request.
            tokens: The number of tokens in the prompt.
            residency: The residency constraints of the request.
        """
        ...

    def choose_by_share(
        self, service: str, tokens: int, residency: Residency, limit_s: float
    ) -> PeerChoice | None:
        """Return an instance for a request that its own region would serve late.

        Args:
            service: The service that is to run the request.
            tokens: The number of tokens in the prompt.
            residency: The residency constraints of the request.
            limit_s: The longest acceptable time to the first byte in seconds.

        Returns:
            None for the part of such requests that no other region is expected to
            serve in time.
        """
        ...

    def record_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Record that a request is being sent to a chosen instance."""
        ...
