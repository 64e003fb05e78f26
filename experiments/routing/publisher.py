"""Publication of load and cache events, with delays and losses."""

import random

from experiments.routing.scenario import Scenario
from experiments.simulation import Engine, EventLoop
from oriolepaddle.routing import CacheEvents, LoadReport, LoadSummary, Router

__all__ = ["Publisher"]


class Publisher:
    """Delivers load reports, cache events and summaries to the routers.

    Args:
        loop: The event loop.
        source: The source of randomness.
        engines: The engines by endpoint.
        routers: The routers by data centre.
        scenario: Intervals, lags and losses.
        delay_s: The one-way delay between regions, in seconds.
    """

    def __init__(
        self,
        loop: EventLoop,
        source: random.Random,
        engines: dict[str, Engine],
        routers: dict[str, list[Router]],
        scenario: Scenario,
        delay_s: float,
    ) -> None:
        self._loop = loop
        self._random = source
        self._engines = engines
        self._routers = routers
        self._scenario = scenario
        self._delay_s = delay_s
        self._sequences: dict[str, int] = {}

    def start(self) -> None:
        """Schedule the first reports of each endpoint and data centre."""
        for engine in self._engines.values():
            self._loop.schedule(self._random.random(), self._publish_engine, engine)
        for data_centre in self._routers:
            self._loop.schedule(
                self._random.random(), self._publish_summaries, data_centre
            )

    def _publish_engine(self, engine: Engine) -> None:
        self._loop.schedule(
            self._scenario.report_interval_s, self._publish_engine, engine
        )
        if not engine.is_up:
            return
        name = engine.endpoint.id
        report = LoadReport(
            name, engine.running, engine.queued, age_s=self._scenario.report_lag_s
        )
        self._loop.schedule(
            self._scenario.report_lag_s, self._deliver_load_report, engine, report
        )
        sequence = self._sequences[name] = self._sequences.get(name, 0) + 1
        stored, evicted = engine.pop_cache_changes()
        if self._random.random() < self._scenario.event_loss:
            return
        lag_s = self._scenario.event_lag_s
        events = CacheEvents(name, engine.epoch, sequence, stored, evicted, lag_s)
        self._loop.schedule(lag_s, self._deliver_cache_events, engine, events)

    def _deliver_load_report(self, engine: Engine, report: LoadReport) -> None:
        for router in self._routers[engine.endpoint.data_centre]:
            router.apply_load_report(report)

    def _deliver_cache_events(self, engine: Engine, events: CacheEvents) -> None:
        for router in self._routers[engine.endpoint.data_centre]:
            router.apply_cache_events(events)

    def _publish_summaries(self, data_centre: str) -> None:
        interval_s = self._scenario.summary_interval_s
        self._loop.schedule(interval_s, self._publish_summaries, data_centre)
        router = self._random.choice(self._routers[data_centre])
        summaries = router.load_summaries()
        self._loop.schedule(
            self._delay_s, self._deliver_summaries, data_centre, summaries
        )

    def _deliver_summaries(
        self, data_centre: str, summaries: tuple[LoadSummary, ...]
    ) -> None:
        for other, routers in self._routers.items():
            if other == data_centre:
                continue
            for router in routers:
                router.apply_summaries(summaries)
