"""What one more request costs the others that wait in a region.

Answers the load of a region that has lost its endpoints of a service: all its
instances forward to another region, whose announced wait is up to a second old.
"""

from collections.abc import Callable

from oriolepaddle.catalog import Catalog, EndpointService
from oriolepaddle.clock import Clock
from oriolepaddle.placement.load import INITIAL_PREFILL_TOKENS_PER_S

__all__ = ["RegionCapacity"]


class RegionCapacity:
    """Estimates from the catalog how fast a region works off a service's requests.

    Args:
        clock: The time.
        catalog: The endpoints of all regions.
        region_of: Returns the region of a data centre.
        estimate_service_s: Returns the seconds for which a plain request of a service
            occupies its slot.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        region_of: Callable[[str], str],
        estimate_service_s: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._region_of = region_of
        self._estimate_service_s = estimate_service_s

    def estimate_added_wait_s(self, region: str, service: str, tokens: int) -> float:
        """Return the seconds by which a request prolongs the wait of later ones.

        Args:
            region: The region that serves the request.
            service: The service.
            tokens: Tokens of the prompt, for services with engines.

        Returns:
            Infinity if no endpoint of the region takes requests at full rate.
        """
        now_s = self._clock.monotonic_s()
        slots = [
            endpoint.slots
            for endpoint in self._catalog.endpoints()
            if endpoint.service == service
            and endpoint.cold_until_s <= now_s
            and self._region_of(endpoint.data_centre) == region
            and self._catalog.may_send(endpoint)
        ]
        if not slots:
            return float("inf")
        if self._find_service(service).engine is None:
            return self._estimate_service_s(service) / max(1, sum(slots))
        return tokens / INITIAL_PREFILL_TOKENS_PER_S / len(slots)

    def _find_service(self, name: str) -> EndpointService:
        document = self._catalog.document
        services = document.services if document else {}
        return services.get(name, EndpointService(name))
