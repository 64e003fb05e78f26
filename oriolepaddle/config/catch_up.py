"""The decision whether a starting instance has caught up with the configuration."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from oriolepaddle.config.neighbours import Neighbours
from oriolepaddle.config.outbox import PeerSync

__all__ = ["CatchUp", "PlatformProgress"]

MIN_ATTEMPTS = 2
MAX_ATTEMPTS = 8


class PlatformProgress(Protocol):
    """The progress of reading the platform. `PlatformReader` implements it."""

    @property
    def is_complete(self) -> bool:
        """Whether all values of the platform were read since the start."""
        ...

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        ...


class CatchUp:
    """Decides whether this instance has caught up and may be advertised.

    Once it has caught up, this stays so. The platform's copy may be stale, so peers
    inside and outside the data centre are queried as well: in each of the two groups
    until one comparison with a peer that has caught up is complete, or until the
    attempts with all of its peers are exhausted. If the platform is unavailable, at
    least one complete comparison is required.

    Args:
        neighbours: The fleet.
        serve_without_catch_up: The operator's setting to serve although neither the
            platform nor any peer could be queried.
    """

    def __init__(self, neighbours: Neighbours, serve_without_catch_up: bool) -> None:
        self._neighbours = neighbours
        self._serve_without_catch_up = serve_without_catch_up
        self._is_done = False

    def is_done(
        self, progress: PlatformProgress | None, peers: Mapping[str, PeerSync]
    ) -> bool:
        """Return whether the configuration is caught up."""
        if not self._is_done:
            self._is_done = self._has_tried_platform(progress) and (
                self._has_source(progress, peers) and self._has_tried_peers(peers)
            )
        return self._is_done

    def _has_tried_platform(self, progress: PlatformProgress | None) -> bool:
        return progress is None or progress.is_complete or progress.has_failed

    def _has_source(
        self, progress: PlatformProgress | None, peers: Mapping[str, PeerSync]
    ) -> bool:
        if self._serve_without_catch_up or any(
            peer.is_compared for peer in peers.values()
        ):
            return True
        # Without the list of instances, it is not known which peers exist.
        is_read = progress is not None and progress.is_complete
        return is_read and self._neighbours.published() is not None

    def _has_tried_peers(self, peers: Mapping[str, PeerSync]) -> bool:
        links = self._neighbours.links()
        reachable = self._neighbours.reachable()
        groups = (links.mesh, links.outer)
        return all(_is_group_settled(group, peers, reachable) for group in groups)


def _is_group_settled(
    names: Iterable[str], peers: Mapping[str, PeerSync], reachable: frozenset[str]
) -> bool:
    found = [peers.get(name) for name in names]
    if any(peer is not None and peer.is_compared for peer in found):
        return True
    return all(
        peer is not None and _is_exhausted(peer, peer.name in reachable)
        for peer in found
    )


def _is_exhausted(peer: PeerSync, is_reachable: bool) -> bool:
    """Return whether no more comparisons with a peer are worth waiting for.

    A peer that answers heartbeats gets more attempts, since only a message was lost.
    """
    max_attempts = MAX_ATTEMPTS if is_reachable else MIN_ATTEMPTS
    return peer.is_behind or peer.attempts >= max_attempts
