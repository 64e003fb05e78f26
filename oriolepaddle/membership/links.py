"""The choice of heartbeat peers: a mesh per data centre and few links outside."""

import functools
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs
import xxhash

__all__ = ["INSTANCES_PER_LINK", "LinkChoice", "choose_links"]

INSTANCES_PER_LINK = 2
MAX_TARGETS_PER_DATA_CENTRE = 3
CACHED_HASHES = 16_384


@attrs.frozen
class LinkChoice:
    """The peers to which one instance sends heartbeats.

    Attributes:
        mesh: The other instances of its data centre.
        outer: The linked instances of other data centres.
    """

    mesh: tuple[str, ...]
    outer: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """All peers, those in the same data centre first."""
        return self.mesh + self.outer


def choose_links(
    own: str,
    data_centre: str,
    members: Mapping[str, Sequence[str]],
    region_of: Callable[[str], str | None],
    is_suspect: Callable[[str], bool],
) -> LinkChoice:
    """Choose the peers of an instance.

    Data centres form one ring over the fleet and one in each region. Each links
    to the data centres 1, 2, 4, ... positions ahead, and two of its instances
    maintain each link. If the next data centre does not respond, the link moves
    on to the one after it, so that any set of data centres that can reach each
    other stays connected by its rings.

    Args:
        own: This instance's id.
        data_centre: This instance's data centre.
        members: Ids of the instances of each data centre that are not leaving,
            this instance included.
        region_of: Maps a data centre to its region, or None if unknown.
        is_suspect: Returns whether an instance has not answered heartbeats.
    """
    mesh = tuple(sorted(name for name in members.get(data_centre, ()) if name != own))
    responsive = [own] + [name for name in mesh if not is_suspect(name)]
    region = region_of(data_centre)
    rings = [("fleet", sorted(members))]
    if region is not None:
        inside = [name for name in sorted(members) if region_of(name) == region]
        rings.append(("region", inside))
    outer: dict[str, None] = {}
    for ring, data_centres in rings:
        order = _order_ring(data_centre, data_centres)
        for link, candidates in _iterate_links(ring, order):
            rank = _rank_for_link(own, responsive, f"{data_centre}/{link}")
            if rank is not None:
                picked = _pick_targets(candidates, link, rank, members, is_suspect)
                outer.update(dict.fromkeys(picked))
    return LinkChoice(mesh, tuple(outer))


def _order_ring(data_centre: str, data_centres: Sequence[str]) -> list[str]:
    """Return the other data centres in ring order, starting with the next one."""
    ring = sorted({*data_centres, data_centre}, key=_hash)
    start = ring.index(data_centre)
    return ring[start + 1 :] + ring[:start]


def _iterate_links(ring: str, order: list[str]) -> Iterator[tuple[str, list[str]]]:
    distance = 1
    while distance <= len(order):
        # Only the link to the next data centre skips unresponsive ones.
        end = len(order) if distance == 1 else distance
        yield f"{ring}/{distance}", order[distance - 1 : end]
        distance *= 2


def _rank_for_link(own: str, responsive: list[str], link: str) -> int | None:
    order = _rendezvous(responsive, link)
    rank = order.index(own)
    return rank if rank < INSTANCES_PER_LINK else None


def _pick_targets(
    candidates: list[str],
    link: str,
    rank: int,
    members: Mapping[str, Sequence[str]],
    is_suspect: Callable[[str], bool],
) -> list[str]:
    picked = []
    for position, data_centre in enumerate(candidates):
        targets = _rendezvous(members.get(data_centre, ()), link)
        start = rank % max(1, len(targets))
        max_targets = MAX_TARGETS_PER_DATA_CENTRE if position == 0 else 1
        for target in (targets[start:] + targets[:start])[:max_targets]:
            picked.append(target)
            if not is_suspect(target):
                return picked
    return picked


def _rendezvous(names: Sequence[str], link: str) -> list[str]:
    return sorted(names, key=lambda name: (_hash(f"{link}|{name}"), name))


@functools.lru_cache(maxsize=CACHED_HASHES)
def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
