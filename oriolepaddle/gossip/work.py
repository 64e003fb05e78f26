"""The load that the instances of a region put on its endpoints."""

import threading
from collections.abc import Iterable

from oriolepaddle.clock import Clock
from oriolepaddle.gossip.numbers import clip_number, to_ms
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointWork, SentPart
from oriolepaddle.placement import PeerLoad, Placer, PromptPart

__all__ = ["RegionWork"]

MAX_REPORT_AGE_S = 1.5
"""Age beyond which an instance's report of its work is ignored."""
MAX_SENT_PARTS = 1000
"""Prompt parts in one datagram, about 14 bytes each, so that it stays well below
the maximum size; parts left out are prefilled again."""
OTHERS_SOURCE = "region"
"""The peer name under which a member records the sum of all others' work."""


class RegionWork:
    """Collects the work of a region's instances and sums it. Thread-safe.

    Args:
        clock: The time.
        placer: Reports this instance's own work and applies the others'.
    """

    def __init__(self, clock: Clock, placer: Placer) -> None:
        self._clock = clock
        self._placer = placer
        self._lock = threading.Lock()
        self._reports: dict[str, tuple[float, dict[str, PeerLoad]]] = {}

    def record_member_work(self, name: str, work: Iterable[EndpointWork]) -> None:
        """Record the work that one instance reported of itself."""
        loads = _read_loads(work)
        with self._lock:
            self._reports[name] = (self._clock.monotonic_s(), loads)
        self._placer.apply_peer(name, loads)

    def record_others_work(self, work: Iterable[EndpointWork]) -> None:
        """Record the work of all others, as summed by a hub."""
        self._placer.apply_peer(OTHERS_SOURCE, _read_loads(work))

    def own(self) -> list[EndpointWork]:
        """Return this instance's own work."""
        return _write_loads(self._placer.own_loads())

    def sum_others(self, receiver: str) -> list[EndpointWork]:
        """Return the summed work of the region's instances except the receiver."""
        oldest_s = self._clock.monotonic_s() - MAX_REPORT_AGE_S
        total = dict(self._placer.own_loads())
        with self._lock:
            fresh = [
                loads
                for name, (received_s, loads) in self._reports.items()
                if name != receiver and received_s >= oldest_s
            ]
        for loads in fresh:
            for name, load in loads.items():
                total[name] = load.add(total.get(name, PeerLoad(0, 0)))
        return _write_loads(total)


def _read_loads(work: Iterable[EndpointWork]) -> dict[str, PeerLoad]:
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


def _write_loads(loads: dict[str, PeerLoad]) -> list[EndpointWork]:
    max_parts_per_endpoint = MAX_SENT_PARTS // max(1, len(loads))
    return [
        EndpointWork(
            name,
            load.running,
            clip_number(load.prefill_tokens),
            clip_number(load.memory_tokens),
            to_ms(load.measured_prefill_s),
            to_ms(load.expected_prefill_s),
            [
                SentPart(part.id, part.tokens)
                for part in load.sent_parts[-max_parts_per_endpoint:]
            ]
            or None,
        )
        for name, load in loads.items()
    ]
