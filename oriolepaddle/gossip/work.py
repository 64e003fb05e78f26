"""The load that the instances of a region put on its endpoints."""

import threading
from collections import Counter
from collections.abc import Iterable

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.gossip.numbers import clip_number, to_ms
from oriolepaddle.peers.gen_py.gossip.ttypes import EndpointWork, SentPart
from oriolepaddle.placement import PeerLoad, Placer, PromptPart

__all__ = ["RegionWork"]

MAX_REPORT_AGE_S = 1.5
"""Age beyond which an instance's report of its work is ignored."""
SUM_CACHE_S = 0.1
"""Time for which a hub sends the same sum: less than an announcement's interval."""
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
        self._sum: _WorkSum | None = None

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
        return self._find_sum().write_without(receiver)

    def _find_sum(self) -> "_WorkSum":
        # A hub replies to each of its members several times a second. Adding up all
        # reports for each reply would cost the square of their number.
        now_s = self._clock.monotonic_s()
        cached = self._sum
        if cached is None or now_s - cached.made_s >= SUM_CACHE_S:
            oldest_s = now_s - MAX_REPORT_AGE_S
            with self._lock:
                reports = {
                    name: loads
                    for name, (received_s, loads) in self._reports.items()
                    if received_s >= oldest_s
                }
            cached = self._sum = _WorkSum(now_s, reports, self._placer.own_loads())
        return cached


class _WorkSum:
    """The sum of some instances' work, from which that of one can be taken off.

    Args:
        made_s: Monotonic time at which the work was read.
        reports: The work of each member, by endpoint.
        own: The work of this instance.
    """

    def __init__(
        self,
        made_s: float,
        reports: dict[str, dict[str, PeerLoad]],
        own: dict[str, PeerLoad],
    ) -> None:
        self.made_s = made_s
        self._reports = reports
        self._total: dict[str, PeerLoad] = {}
        part_counts: dict[str, Counter[PromptPart]] = {}
        for loads in (own, *reports.values()):
            for endpoint, load in loads.items():
                part_counts.setdefault(endpoint, Counter()).update(load.sent_parts)
                plain = attrs.evolve(load, sent_parts=()) if load.sent_parts else load
                known = self._total.get(endpoint)
                self._total[endpoint] = plain if known is None else known.add(plain)
        max_parts = MAX_SENT_PARTS // max(1, len(self._total))
        self._parts = {
            endpoint: [
                (part, count, SentPart(part.id, part.tokens))
                for part, count in list(counted.items())[-max_parts:]
            ]
            for endpoint, counted in part_counts.items()
        }

    def write_without(self, name: str) -> list[EndpointWork]:
        """Return the work of all except one member."""
        taken_off = self._reports.get(name, {})
        written = []
        for endpoint, total in self._total.items():
            load = taken_off.get(endpoint)
            rest = total if load is None else total.subtract(load)
            known = frozenset(load.sent_parts) if load else frozenset()
            parts = [
                sent
                for part, count, sent in self._parts[endpoint]
                if count > 1 or part not in known
            ]
            if parts or not rest.is_idle:
                written.append(_write_load(endpoint, rest, parts))
        return written


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
    max_parts = MAX_SENT_PARTS // max(1, len(loads))
    return [
        _write_load(
            name,
            load,
            [SentPart(part.id, part.tokens) for part in load.sent_parts[-max_parts:]],
        )
        for name, load in loads.items()
    ]


def _write_load(name: str, load: PeerLoad, parts: list[SentPart]) -> EndpointWork:
    return EndpointWork(
        name,
        load.running,
        clip_number(load.prefill_tokens),
        clip_number(load.memory_tokens),
        to_ms(load.measured_prefill_s),
        to_ms(load.expected_prefill_s),
        parts or None,
    )
