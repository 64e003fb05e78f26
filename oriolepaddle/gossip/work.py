"""What the instances of a region have running at its endpoints."""

import threading
from collections.abc import Iterable

from oriolepaddle.clock import Clock
from oriolepaddle.gossip.numbers import clip_number, to_ms
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointWork, SentPart
from oriolepaddle.placement import PeerLoad, Placer, PromptPart

__all__ = ["RegionWork"]

MEMORY_S = 1.5
"""Age at which an instance's word on its work counts no longer."""
MAX_SENT_PARTS = 1000
"""Parts of prompts told in one datagram, some 14 bytes each, so that it stays well
below the largest one; what is left out is read anew."""
REGION = "region"
"""The name under which a member notes the work of all others together."""


class RegionWork:
    """Collects instances' work and adds it up for each of them; thread-safe.

    Args:
        clock: The time.
        placer: Knows this instance's own work and takes in the others'.
    """

    def __init__(self, clock: Clock, placer: Placer) -> None:
        self._clock = clock
        self._placer = placer
        self._lock = threading.Lock()
        self._heard: dict[str, tuple[float, dict[str, PeerLoad]]] = {}

    def note_member(self, name: str, work: Iterable[EndpointWork]) -> None:
        """Take in one instance's own work."""
        loads = _read(work)
        with self._lock:
            self._heard[name] = (self._clock.monotonic_s(), loads)
        self._placer.apply_peer(name, loads)

    def note_others(self, work: Iterable[EndpointWork]) -> None:
        """Take in the work of all others, as a hub has added it up."""
        self._placer.apply_peer(REGION, _read(work))

    def own(self) -> list[EndpointWork]:
        """Return this instance's own work."""
        return _write(self._placer.own_loads())

    def sum_others(self, receiver: str) -> list[EndpointWork]:
        """Return the work of all instances of the region but one."""
        oldest_s = self._clock.monotonic_s() - MEMORY_S
        total = dict(self._placer.own_loads())
        with self._lock:
            fresh = [
                loads
                for name, (heard_s, loads) in self._heard.items()
                if name != receiver and heard_s >= oldest_s
            ]
        for loads in fresh:
            for name, load in loads.items():
                total[name] = load.add(total.get(name, PeerLoad(0, 0)))
        return _write(total)


def _read(work: Iterable[EndpointWork]) -> dict[str, PeerLoad]:
    return {
        item.endpoint: PeerLoad(
            item.running,
            item.prefill_tokens,
            item.memory_tokens,
            (item.reading_ms or 0) / 1000,
            (item.expected_ms or 0) / 1000,
            tuple(PromptPart(part.id, part.tokens) for part in item.sent_parts or ()),
        )
        for item in work
    }


def _write(loads: dict[str, PeerLoad]) -> list[EndpointWork]:
    each = MAX_SENT_PARTS // max(1, len(loads))
    return [
        EndpointWork(
            name,
            load.running,
            clip_number(load.prefill_tokens),
            clip_number(load.memory_tokens),
            to_ms(load.measured_prefill_s),
            to_ms(load.expected_prefill_s),
            [SentPart(part.id, part.tokens) for part in load.sent_parts[-each:]]
            or None,
        )
        for name, load in loads.items()
    ]
