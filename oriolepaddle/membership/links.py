"""Which peers an instance heartbeats: a mesh inside, few links outside."""

import functools
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs
import xxhash

__all__ = ["CARRIERS_PER_LINK", "LinkChoice", "choose_links"]

CARRIERS_PER_LINK = 2
TRIES_PER_DATA_CENTRE = 3
CACHED_HASHES = 16_384


@attrs.frozen
class LinkChoice:
    """The peers of one instance.

    Attributes:
        mesh: The other instances of its data centre.
        outer: Instances of other data centres.
    """

    mesh: tuple[str, ...]
    outer: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """All peers, those of the own data centre first."""
        return self.mesh + self.outer


def choose_links(
    own: str,
    data_centre: str,
    members: Mapping[str, Sequence[str]],
    region_of: Callable[[str], str | None],
    is_suspect: Callable[[str], bool],
) -> LinkChoice:
    """Choose the peers of an instance.

    Data centres form a ring over the fleet and one inside each region; each
    links to those 1, 2, 4, ... places on. Two instances of a data centre carry
    each link. Where the next data centre does not answer, the link goes on to
    the one behind it, so that any set of data centres that reach each other
    stays connected by its rings.

    Args:
        own: This instance's id.
        data_centre: This instance's data centre.
        members: Ids of the instances of each data centre that are not leaving,
            this instance included.
        region_of: Maps a data centre to its region, or None if unknown.
        is_suspect: Whether an instance was tried and does not answer.
    """
    mesh = tuple(sorted(name for name in members.get(data_centre, ()) if name != own))
    carriers = [own] + [name for name in mesh if not is_suspect(name)]
    region = region_of(data_centre)
    rings = [("fleet", sorted(members))]
    if region is not None:
        inside = [name for name in sorted(members) if region_of(name) == region]
        rings.append(("region", inside))
    outer: dict[str, None] = {}
    for ring, data_centres in rings:
        order = _order_ring(data_centre, data_centres)
        for role, candidates in _iterate_roles(ring, order):
            rank = _carrier_rank(own, carriers, f"{data_centre}/{role}")
            if rank is not None:
                picked = _walk(candidates, role, rank, members, is_suspect)
                outer.update(dict.fromkeys(picked))
    return LinkChoice(mesh, tuple(outer))


def _order_ring(data_centre: str, data_centres: Sequence[str]) -> list[str]:
    """Return the other data centres, the next on the ring first."""
    ring = sorted({*data_centres, data_centre}, key=_hash)
    start = ring.index(data_centre)
    return ring[start + 1 :] + ring[:start]


def _iterate_roles(ring: str, order: list[str]) -> Iterator[tuple[str, list[str]]]:
    distance = 1
    while distance <= len(order):
        # Only the link to the next data centre walks on past silent ones.
        end = len(order) if distance == 1 else distance
        yield f"{ring}/{distance}", order[distance - 1 : end]
        distance *= 2


def _carrier_rank(own: str, carriers: list[str], role: str) -> int | None:
    order = _rendezvous(carriers, role)
    rank = order.index(own)
    return rank if rank < CARRIERS_PER_LINK else None


def _walk(
    candidates: list[str],
    role: str,
    rank: int,
    members: Mapping[str, Sequence[str]],
    is_suspect: Callable[[str], bool],
) -> list[str]:
    picked = []
    for place, data_centre in enumerate(candidates):
        targets = _rendezvous(members.get(data_centre, ()), role)
        start = rank % max(1, len(targets))
        tries = TRIES_PER_DATA_CENTRE if place == 0 else 1
        for target in (targets[start:] + targets[:start])[:tries]:
            picked.append(target)
            if not is_suspect(target):
                return picked
    return picked


def _rendezvous(names: Sequence[str], role: str) -> list[str]:
    return sorted(names, key=lambda name: (_hash(f"{role}|{name}"), name))


@functools.lru_cache(maxsize=CACHED_HASHES)
def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
