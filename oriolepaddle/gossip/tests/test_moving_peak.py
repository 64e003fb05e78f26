"""Peaks that move between three regions, with each region's queue as one number."""

import heapq
import itertools
import random
from collections import Counter
from datetime import timedelta

import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.edge.forwarding import choose_peer
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip import RegionLoads, Roster, RosterEntry
from oriolepaddle.gossip.region_waits import AnnouncedWait
from oriolepaddle.placement import Choice, Job

REQUESTS_PER_S = {"nordur": 320, "sudur": 230, "vestur": 160}
DATA_CENTRES = {f"{region}-a": region for region in REQUESTS_PER_S}
INSTANCES = 4
ONE_WAY_S = 0.08
SERVICE_S, LIMIT_S = 0.1, 0.8
PEAK, OUTSIDE_PEAK, PEAK_S = 2.5, 0.4, 3.0
LOST_S = (4.0, 6.0)
REPORT_AGES_S = (0.1, 0.5, 1.0)
MOVES, PAIRS = 3, 3
"""Moves of the peak, each of which may turn the flow between each pair of regions."""
MIN_FLOW = 10
"""Requests in half a second below which a net flow between regions is chance."""
SEED_DIFFERENCE = 0.01
"""Fraction of requests by which seeds differ, as in docs/placement.md."""


class Play:
    """Requests of some seconds; `counts` is what their callers get."""

    def __init__(self, is_before, load, report_age_s, has_loss=False, seed=1):
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.random = random.Random(seed)
        self.load, self.report_age_s, self.has_loss = load, report_age_s, has_loss
        self.counts, self.flows = Counter(), {}
        self.queue_s = dict.fromkeys(REQUESTS_PER_S, 0.0)
        self.drained_s = dict.fromkeys(REQUESTS_PER_S, 100.0)
        self.used = dict.fromkeys(REQUESTS_PER_S, 0.0)
        self.numbers, self.events = itertools.count(), []
        self.loads = {
            region: [self._make_loads(region, n, is_before) for n in range(INSTANCES)]
            for region in REQUESTS_PER_S
        }
        for region in REQUESTS_PER_S:
            self._at(0.0, self._report, region)
            self._at(0.0, self._arrive, region)
        while (event := heapq.heappop(self.events))[0] < 100 + 4 * PEAK_S:
            due_s, _, action, args = event
            self.clock.advance(timedelta(seconds=due_s - self.clock.monotonic_s()))
            action(*args)

    def _make_loads(self, region, number, is_before):
        entries = [
            EntryInstance(f"{name}{index}", name, f"{name}-a", f"{name}{index}:80")
            for name in REQUESTS_PER_S
            for index in range(INSTANCES)
        ]
        own = next(item for item in entries if item.id == f"{region}{number}")
        roster = Roster(self.clock, own, 1, "", DATA_CENTRES)
        roster.set_own(True, False)
        for item in entries:
            roster.record_entry(RosterEntry(item, 1, item.id, True, False, 1e6))
        loads = RegionLoads(
            self.clock,
            roster,
            2 * ONE_WAY_S,
            random.Random(number),
            lambda name, service, tokens: 1 / REQUESTS_PER_S[name],
        )
        if is_before:

            def _choose(service, tokens, residency, limit_s):
                """Decide as commit 8df71cb did for requests refused here."""
                peer = loads.choose(service, tokens, residency)
                return peer if peer and peer.expected_s <= limit_s else None

            loads.choose_by_share = _choose
        return loads

    def _at(self, delay_s, action, *args):
        due_s = self.clock.monotonic_s() + max(delay_s, 1e-6)
        heapq.heappush(self.events, (due_s, next(self.numbers), action, args))

    def _played_s(self):
        return self.clock.monotonic_s() - 100

    def _is_lost(self, region):
        start_s, end_s = LOST_S
        is_time = start_s <= self._played_s() < end_s
        return self.has_loss and region == "vestur" and is_time

    def _drain(self, region):
        now_s = self.clock.monotonic_s()
        left_s = self.queue_s[region] - (now_s - self.drained_s[region])
        self.queue_s[region], self.drained_s[region] = max(0.0, left_s), now_s
        return self.queue_s[region]

    def _report(self, region):
        self._at(0.25, self._report, region)
        wait_s = float("inf")
        if not self._is_lost(region):
            wait_s = SERVICE_S + self._drain(region)
        used = min(1.0, self.used[region] / 0.25)
        self.used[region] = 0.0
        announced_s = self.clock.monotonic_s() + ONE_WAY_S
        wait = AnnouncedWait(region, "desk", wait_s, announced_s, used)
        for other in self.loads.keys() - {region}:
            for loads in self.loads[other]:
                self._at(ONE_WAY_S + self.report_age_s, loads.record, wait)

    def _arrive(self, region):
        peak = list(REQUESTS_PER_S)[int(self._played_s() / PEAK_S) % 3]
        factor = PEAK if region == peak else OUTSIDE_PEAK
        rate = REQUESTS_PER_S[region] * self.load * factor
        self._at(self.random.expovariate(rate), self._arrive, region)
        loads = self.random.choice(self.loads[region])
        wait_s = SERVICE_S + self._drain(region)
        is_refused = self._is_lost(region) or wait_s > LIMIT_S
        choice = None if is_refused else Choice(None, wait_s, 0)
        job = Job("desk", max_first_byte_s=LIMIT_S)
        peer = loads.choose("desk", 0, ())
        if peer is not None:
            peer = choose_peer(loads, choice, peer, job, (), 10, 0)
        if peer is None:
            self._serve(region, 0.0)
            return
        self.counts["forwarded"] += 1
        loads.record_sent(peer, "desk", 0)
        flow = self.flows.setdefault(int(self._played_s() / 0.5), Counter())
        flow[(region, peer.region)] += 1
        self._at(ONE_WAY_S, self._serve, peer.region, ONE_WAY_S, region)

    def _serve(self, region, elapsed_s, home=None):
        wait_s = SERVICE_S + self._drain(region)
        if not self._is_lost(region) and wait_s <= LIMIT_S:
            self.queue_s[region] += 1 / REQUESTS_PER_S[region]
            self.used[region] += 1 / REQUESTS_PER_S[region]
            way_s = ONE_WAY_S if home else 0.0
            is_in_time = elapsed_s + wait_s + way_s <= LIMIT_S
            self.counts["in time" if is_in_time else "late"] += 1
        elif home:
            self.counts["refused there"] += 1
            self._at(ONE_WAY_S, self._serve, home, elapsed_s + ONE_WAY_S)
        else:
            self.counts["refused"] += 1

    def count_turns(self):
        """Return how often the net flow between two regions changed its direction."""
        turns, last = 0, {}
        for flow in self.flows.values():
            for pair in itertools.combinations(REQUESTS_PER_S, 2):
                net = flow[pair] - flow[pair[::-1]]
                if abs(net) >= MIN_FLOW:
                    turns += last.get(pair, net) * net < 0
                    last[pair] = net
        return turns


def play_all(is_before, load, has_loss):
    """Return the outcomes and changes of direction over all ages of reports."""
    counts, turns = Counter(), 0
    for age_s in REPORT_AGES_S:
        played = Play(is_before, load, age_s, has_loss)
        counts.update(played.counts)
        turns += played.count_turns()
    callers = counts["in time"] + counts["late"] + counts["refused"]
    return counts["in time"] / callers, counts["refused there"], turns


class TestMovingPeak:
    """Compares the share with the decision of commit 8df71cb on the same load."""

    @pytest.mark.parametrize("has_loss", [False, True])
    def test_serves_more_in_time_if_the_peak_exceeds_all_regions(self, has_loss):
        before, refused_before, turns_before = play_all(True, 1.2, has_loss)
        after, refused_after, turns_after = play_all(False, 1.2, has_loss)
        assert after > before
        assert refused_after < refused_before
        assert turns_after <= turns_before

    @pytest.mark.parametrize("has_loss", [False, True])
    def test_serves_as_many_in_time_if_the_other_regions_have_room(self, has_loss):
        before, _, _ = play_all(True, 0.8, has_loss)
        after, _, turns = play_all(False, 0.8, has_loss)
        assert after > before - SEED_DIFFERENCE
        assert turns <= MOVES * PAIRS * len(REPORT_AGES_S)
