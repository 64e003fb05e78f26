"""When a starting instance knows enough to be advertised."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from oriolepaddle.config.neighbours import Neighbours
from oriolepaddle.config.outbox import PeerSync

__all__ = ["CatchUp", "PlatformProgress"]

MIN_TRIES = 2
MAX_TRIES = 8


class PlatformProgress(Protocol):
    """How far the platform was read; a `PlatformReader` is one."""

    @property
    def is_complete(self) -> bool:
        """Whether all that the platform held was read since the start."""
        ...

    @property
    def has_failed(self) -> bool:
        """Whether the last call was not answered."""
        ...


class CatchUp:
    """Decides once; an instance that caught up stays so.

    The platform's copy may be stale, so peers are asked as well, inside the
    data centre and outside it: one that had caught up itself, or all in vain.
    Without the platform, at least one such peer is needed.

    Args:
        neighbours: The fleet.
        serve_anyway: The operator's setting to serve although neither the
            platform nor any peer could be asked.
    """

    def __init__(self, neighbours: Neighbours, serve_anyway: bool) -> None:
        self._neighbours = neighbours
        self._serve_anyway = serve_anyway
        self._is_done = False

    def is_done(
        self, progress: PlatformProgress | None, peers: Mapping[str, PeerSync]
    ) -> bool:
        """Return whether the configuration is caught up."""
        if not self._is_done:
            self._is_done = self._is_platform_tried(progress) and (
                self._is_enough(progress, peers) and self._are_peers_tried(peers)
            )
        return self._is_done

    def _is_platform_tried(self, progress: PlatformProgress | None) -> bool:
        return progress is None or progress.is_complete or progress.has_failed

    def _is_enough(
        self, progress: PlatformProgress | None, peers: Mapping[str, PeerSync]
    ) -> bool:
        if self._serve_anyway or any(peer.is_compared for peer in peers.values()):
            return True
        # Without the list it is not known whom to ask.
        is_read = progress is not None and progress.is_complete
        return is_read and self._neighbours.published() is not None

    def _are_peers_tried(self, peers: Mapping[str, PeerSync]) -> bool:
        links = self._neighbours.links()
        reachable = self._neighbours.reachable()
        groups = (links.mesh, links.outer)
        return all(_is_settled(group, peers, reachable) for group in groups)


def _is_settled(
    names: Iterable[str], peers: Mapping[str, PeerSync], reachable: frozenset[str]
) -> bool:
    found = [peers.get(name) for name in names]
    if any(peer is not None and peer.is_compared for peer in found):
        return True
    return all(
        peer is not None and _is_in_vain(peer, peer.name in reachable) for peer in found
    )


def _is_in_vain(peer: PeerSync, is_reachable: bool) -> bool:
    """Return whether no more is to be expected of a peer.

    One that answers heartbeats is waited for longer: its answer was lost.
    """
    tries = MAX_TRIES if is_reachable else MIN_TRIES
    return peer.is_behind or peer.tries >= tries
