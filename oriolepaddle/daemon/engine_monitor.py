"""Monitoring of the load and incarnations of this data centre's endpoints."""

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.routing import LoadReport

__all__ = ["EngineMonitor"]

MIN_INTERVAL_S = 1.0
MAX_CHECKS_PER_S = 10.0


class EngineMonitor:
    """Checks endpoints in turn; the rate does not grow with their number.

    Args:
        clock: The clock.
        config: Lists the endpoints.
        data_centre: The data centre whose endpoints are checked.
        context: The health checker, and the components that receive its results.
    """

    def __init__(
        self,
        clock: Clock,
        config: ConfigState,
        data_centre: str,
        context: ServingContext,
    ) -> None:
        self._clock = clock
        self._config = config
        self._data_centre = data_centre
        self._context = context
        self._checked_at_s: dict[str, float] = {}
        self._endpoints: list[Endpoint] = []
        self._config_digest: int | None = None
        self._cache_positions: dict[str, tuple[int | None, int]] = {}

    def run(self) -> None:
        """Check the endpoint whose last check is oldest, if its interval has passed."""
        endpoints = self._find_endpoints()
        if not endpoints:
            return
        oldest = min(endpoints, key=self._find_checked_at_s)
        interval_s = max(MIN_INTERVAL_S, len(endpoints) / MAX_CHECKS_PER_S)
        now_s = self._clock.monotonic_s()
        if self._find_checked_at_s(oldest) + interval_s <= now_s:
            self._checked_at_s[oldest.id] = now_s
            self._check(oldest)

    def _find_endpoints(self) -> list[Endpoint]:
        digest = self._config.digest
        if digest != self._config_digest:
            self._config_digest = digest
            self._endpoints = [
                endpoint
                for endpoint in self._config.endpoints()
                if endpoint.data_centre == self._data_centre
            ]
            ids = {endpoint.id for endpoint in self._endpoints}
            self._checked_at_s = {
                endpoint_id: at_s
                for endpoint_id, at_s in self._checked_at_s.items()
                if endpoint_id in ids
            }
        return self._endpoints

    def _find_checked_at_s(self, endpoint: Endpoint) -> float:
        return self._checked_at_s.get(endpoint.id, float("-inf"))

    def _check(self, endpoint: Endpoint) -> None:
        requested_at_s = self._clock.monotonic_s()
        answer = self._context.health.check(endpoint.address)
        if not answer.is_up:
            return
        if answer.incarnation is not None:
            self._context.quarantine.record_health_answer(
                endpoint.id, answer.incarnation, requested_at_s
            )
        self._context.router.apply_load_report(
            LoadReport(
                endpoint=endpoint.id,
                running=answer.running,
                queued=answer.queued,
                cached_tokens=answer.cached_tokens,
                age_s=self._clock.monotonic_s() - requested_at_s,
            )
        )
        self._context.admissions.capacity_changed()
        self._read_cache(endpoint)

    def _read_cache(self, endpoint: Endpoint) -> None:
        epoch, after = self._cache_positions.get(endpoint.id, (None, 0))
        read = self._context.health.read_cache_events
        page = read(endpoint.id, endpoint.address, after)
        if page.epoch is not None and page.epoch != epoch:
            # A new incarnation numbers its events from one again.
            page = read(endpoint.id, endpoint.address, 0)
        for events in page.events:
            self._context.router.apply_cache_events(events)
            self._cache_positions[endpoint.id] = (events.epoch, events.sequence)
