"""The load of other regions, as announced by their hubs."""

import random
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.edge.forwarding import RegionForecast, choose_forecast
from oriolepaddle.edge.regions import PeerChoice, Residency, allows_region
from oriolepaddle.edge.resolver import SIZE_EXPONENT
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.handover import ForwardedRequests, WaitDrift
from oriolepaddle.gossip.region_waits import AnnouncedWait
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.logs import log_event

__all__ = ["RegionLoads"]

MAX_WAIT_AGE = timedelta(seconds=2)
"""Age beyond which an announced wait is ignored."""
ANNOUNCEMENT_LAG_S = 0.6
"""Time until a forwarded request shows in the wait that its region announces."""


HANDOVER_PAUSE = timedelta(seconds=2)
"""Time without a handover to a region after which the next one is logged."""
REPORT_DELAY_S = 0.25
"""Time until the hub that announces a region's wait knows of a request there: the
interval at which instances with running requests announce."""


@attrs.define
class _ServiceState:
    """What is known of a service in another region.

    Attributes:
        wait: The last announced wait.
        drift: How fast it changes.
    """

    wait: AnnouncedWait
    drift: WaitDrift


class RegionLoads:
    """Chooses instances of other regions; a `RegionChooser`, thread-safe.

    Attributes:
        handed_over: Requests so far that were handed over because the own region would
            serve them late.
        kept: Such requests that no other region was expected to serve in time.

    Args:
        clock: The time.
        roster: The instances.
        round_trip_s: Round-trip time to another region.
        generator: Chooses among a region's instances, weighted by size.
        estimate_added_wait_s: Returns the seconds by which a request of a service,
            with some tokens, prolongs the wait of later ones in a region.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        round_trip_s: float,
        generator: random.Random,
        estimate_added_wait_s: Callable[[str, str, int], float],
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._round_trip_s = round_trip_s
        self._generator = generator
        self._estimate_added_wait_s = estimate_added_wait_s
        self._lock = threading.Lock()
        self._states: dict[tuple[str, str], _ServiceState] = {}
        self._forwarded: dict[tuple[str, str], list[tuple[float, int]]] = {}
        self.handed_over = 0
        self.kept = 0
        self._handover_s: dict[tuple[str, str], float] = {}
        self._sent: dict[tuple[str, str], ForwardedRequests] = {}

    def record(self, wait: AnnouncedWait) -> None:
        """Record the announced wait of a region, unless a later one is known.

        A wait that is passed on does not become newer by that.
        """
        key = (wait.region, wait.service)
        with self._lock:
            state = self._states.get(key)
            if state is None:
                state = self._states[key] = _ServiceState(wait, WaitDrift())
            elif state.wait.announced_s > wait.announced_s:
                return
            state.wait = wait
            state.drift.record(wait.wait_s, wait.announced_s)

    def waits(self) -> list[AnnouncedWait]:
        """Return the recent announcements."""
        oldest_s = self._clock.monotonic_s() - MAX_WAIT_AGE.total_seconds()
        with self._lock:
            waits = [state.wait for state in self._states.values()]
        return [wait for wait in waits if wait.announced_s >= oldest_s]

    def choose(
        self, service: str, tokens: int, residency: Residency
    ) -> PeerChoice | None:
        """Return an instance of the best region; see `RegionChooser`."""
        ready = self._group_ready()
        best: tuple[float, str] | None = None
        for item in self._list_permitted(service, residency, ready):
            wait_s = item.wait_s + self._round_trip_s
            wait_s += self._estimate_forwarded_wait_s(item.region, service)
            if best is None or wait_s < best[0]:
                best = (wait_s, item.region)
        if best is None:
            return None
        return self._choose_instance(ready, best[1], best[0], exponent=1)

    def choose_by_share(
        self, service: str, tokens: int, residency: Residency, limit_s: float
    ) -> PeerChoice | None:
        """Return an instance for a late request; see `RegionChooser`."""
        ready = self._group_ready()
        forecasts = [
            self._make_forecast(item)
            for item in self._list_permitted(service, residency, ready)
        ]
        chosen = choose_forecast(forecasts, limit_s, self._generator)
        self._record_decision(service, chosen)
        if chosen is None:
            return None
        # Few large instances place most requests of a region and know most of each
        # other's; a request that has no time left goes to them.
        return self._choose_instance(
            ready, chosen.region, chosen.expected_s, SIZE_EXPONENT
        )

    def _record_decision(self, service: str, chosen: RegionForecast | None) -> None:
        if chosen is None:
            self.kept += 1
            return
        self.handed_over += 1
        key = (chosen.region, service)
        now_s = self._clock.monotonic_s()
        with self._lock:
            last_s = self._handover_s.get(key, float("-inf"))
            self._handover_s[key] = now_s
        if now_s - last_s > HANDOVER_PAUSE.total_seconds():
            log_event(
                "handover_started",
                region=chosen.region,
                service=service,
                expected_s=round(chosen.expected_s, 3),
                spread_s=round(chosen.spread_s, 3),
            )

    def _list_permitted(
        self, service: str, residency: Residency, ready: dict[str, list[RosterEntry]]
    ) -> list[AnnouncedWait]:
        own = self._roster.own.region
        return [
            item
            for item in self.waits()
            if item.service == service
            and item.region != own
            and item.region in ready
            and item.is_available
            and allows_region(residency, item.region)
        ]

    def _choose_instance(
        self,
        ready: dict[str, list[RosterEntry]],
        region: str,
        expected_s: float,
        exponent: int,
    ) -> PeerChoice:
        weights = [item.instance.size**exponent for item in ready[region]]
        chosen = self._generator.choices(ready[region], weights)[0]
        return PeerChoice(chosen.id, region, chosen.peer_address, expected_s)

    def _make_forecast(self, wait: AnnouncedWait) -> RegionForecast:
        """Return what a request that is forwarded now meets on its arrival."""
        key = (wait.region, wait.service)
        now_s = self._clock.monotonic_s()
        # Both the report and the request take half a round trip.
        unreported_s = now_s - wait.announced_s + self._round_trip_s
        window_s = unreported_s + REPORT_DELAY_S
        with self._lock:
            spread_s = self._states[key].drift.spread_s(unreported_s)
            sent = self._sent.get(key)
            growth, mean_tokens = 0, 0
            if sent is not None:
                growth, mean_tokens = sent.find_growth(now_s, window_s)
        added_s = 0.0
        if growth > 0:
            added_s = growth * self._estimate_added_wait_s(*key, mean_tokens)
            # The region's other instances have the same reports.
            added_s /= self._find_caller_share()
            added_s = max(0.0, added_s - (1 - wait.used_fraction) * window_s)
        expected_s = wait.wait_s + self._round_trip_s + added_s
        return RegionForecast(wait.region, expected_s, spread_s)

    def _find_caller_share(self) -> float:
        """Return the part of the region's callers that use this instance."""
        own = self._roster.own
        others = sum(
            item.size**SIZE_EXPONENT
            for item in self._roster.entry_instances()
            if item.region == own.region and item.id != own.id
        )
        weight = own.size**SIZE_EXPONENT
        return weight / (weight + others)

    def _group_ready(self) -> dict[str, list[RosterEntry]]:
        # An instance that is leaving may have to cut off a long response.
        ready: dict[str, list[RosterEntry]] = {}
        for item in self._roster.alive():
            if item.is_ready and not item.is_leaving:
                ready.setdefault(item.instance.region, []).append(item)
        return ready

    def record_sent(self, choice: PeerChoice, service: str, tokens: int) -> None:
        """Record a forwarded request; see `RegionChooser`."""
        key = (choice.region, service)
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._forwarded.setdefault(key, []).append((now_s, tokens))
            self._sent.setdefault(key, ForwardedRequests()).record(now_s, tokens)

    def _estimate_forwarded_wait_s(self, region: str, service: str) -> float:
        """Return the wait that the region has not announced yet."""
        oldest_s = self._clock.monotonic_s() - ANNOUNCEMENT_LAG_S
        with self._lock:
            forwarded = [
                item
                for item in self._forwarded.get((region, service), ())
                if item[0] > oldest_s
            ]
            self._forwarded[(region, service)] = forwarded
        if not forwarded:
            return 0.0
        mean_tokens = sum(tokens for _, tokens in forwarded) // len(forwarded)
        added_s = self._estimate_added_wait_s(region, service, mean_tokens)
        return len(forwarded) * added_s
