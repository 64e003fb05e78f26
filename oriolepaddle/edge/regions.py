"""The choice of an instance of another region."""

from typing import Protocol

import attrs

__all__ = ["PeerChoice", "RegionChooser", "Residency", "allows_region"]

Residency = tuple[tuple[str, ...], ...]
"""Sets of regions, each of which binds a request if it is not empty."""


def allows_region(residency: Residency, region: str) -> bool:
    """Return whether a request may be served in a region."""
    return all(not regions or region in regions for regions in residency)


@attrs.frozen
class PeerChoice:
    """An instance of another region that may serve a request.

    Attributes:
        instance: Its id.
        region: Its region.
        address: `host:port` of its listener for other instances.
        expected_s: Seconds until the first byte, the way there and back
            included.
    """

    instance: str
    region: str
    address: str
    expected_s: float


class RegionChooser(Protocol):
    """Knows the load of other regions."""

    def choose(
        self, service: str, tokens: int, residency: Residency
    ) -> PeerChoice | None:
        """Return the instance that is expected to answer first, or None.

        Args:
            service: The service that is to run the request.
            tokens: Tokens of the prompt.
            residency: Where the request may be served.
        """
        ...

    def record_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Note that a request is now sent there."""
        ...
