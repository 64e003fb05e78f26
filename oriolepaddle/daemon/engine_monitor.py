"""Reading the load and the lives of this data centre's endpoints."""

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.routing import LoadReport

__all__ = ["EngineMonitor"]

MIN_INTERVAL_S = 1.0
MAX_CHECKS_PER_S = 10.0


class EngineMonitor:
    """Asks the endpoints in turn; the rate does not grow with their number.

    Args:
        clock: The time.
        config: Lists the endpoints.
        data_centre: The data centre whose endpoints are asked.
        parts: Asks them, and is told what they answer.
    """

    def __init__(
        self, clock: Clock, config: ConfigState, data_centre: str, parts: ServingContext
    ) -> None:
        self._clock = clock
        self._config = config
        self._data_centre = data_centre
        self._parts = parts
        self._asked_at_s: dict[str, float] = {}
        self._endpoints: list[Endpoint] = []
        self._digest: int | None = None
        self._cache_read: dict[str, tuple[int | None, int]] = {}

    def run(self) -> None:
        """Ask the endpoint that has waited longest, if it is due."""
        endpoints = self._find_endpoints()
        if not endpoints:
            return
        oldest = min(endpoints, key=self._find_asked_at_s)
        interval_s = max(MIN_INTERVAL_S, len(endpoints) / MAX_CHECKS_PER_S)
        now_s = self._clock.monotonic_s()
        if self._find_asked_at_s(oldest) + interval_s <= now_s:
            self._asked_at_s[oldest.id] = now_s
            self._check(oldest)

    def _find_endpoints(self) -> list[Endpoint]:
        digest = self._config.digest
        if digest != self._digest:
            self._digest = digest
            self._endpoints = [
                endpoint
                for endpoint in self._config.endpoints()
                if endpoint.data_centre == self._data_centre
            ]
            names = {endpoint.id for endpoint in self._endpoints}
            self._asked_at_s = {
                name: at_s for name, at_s in self._asked_at_s.items() if name in names
            }
        return self._endpoints

    def _find_asked_at_s(self, endpoint: Endpoint) -> float:
        return self._asked_at_s.get(endpoint.id, float("-inf"))

    def _check(self, endpoint: Endpoint) -> None:
        asked_at_s = self._clock.monotonic_s()
        answer = self._parts.health.check(endpoint.address)
        if not answer.is_up:
            return
        if answer.incarnation is not None:
            self._parts.quarantine.record_health_answer(
                endpoint.id, answer.incarnation, asked_at_s
            )
        self._parts.router.apply_load_report(
            LoadReport(
                endpoint=endpoint.id,
                running=answer.running,
                queued=answer.queued,
                cached_tokens=answer.cached_tokens,
                age_s=self._clock.monotonic_s() - asked_at_s,
            )
        )
        self._parts.admissions.capacity_changed()
        self._read_cache(endpoint)

    def _read_cache(self, endpoint: Endpoint) -> None:
        epoch, after = self._cache_read.get(endpoint.id, (None, 0))
        read = self._parts.health.read_cache_events
        found = read(endpoint.id, endpoint.address, after)
        if found.epoch is not None and found.epoch != epoch:
            # A new life counts from one again.
            found = read(endpoint.id, endpoint.address, 0)
        for events in found.events:
            self._parts.router.apply_cache_events(events)
            self._cache_read[endpoint.id] = (events.epoch, events.sequence)
