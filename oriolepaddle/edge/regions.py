"""The choice of an instance of another region."""

from typing import Protocol

import attrs

__all__ = ["PeerChoice", "RegionChooser"]


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
        self, service: str, tokens: int, residency: tuple[tuple[str, ...], ...]
    ) -> PeerChoice | None:
        """Return the instance that is expected to answer first, or None.

        Args:
            service: The service that is to run the request.
            tokens: Tokens of the prompt.
            residency: Sets of regions, each of which binds if it is not empty.
        """
        ...

    def note_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Note that a request is now sent there."""
        ...
