"""The paces of the endpoints that report them.

Answers the load of endpoints that share their machines with other workloads: each is
slower than usual for some hundred milliseconds at a time.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable

from oriolepaddle.clock import Clock
from oriolepaddle.signals.pace import EndpointPace
from oriolepaddle.signals.pace_model import PaceModel
from oriolepaddle.signals.reported_load import USUAL_PACE, ReportedLoad

__all__ = ["PaceBoard"]

MAX_ENDPOINTS = 8_192
"""Twice the endpoints of the largest fleet in the capacity page."""
MAX_SERVICES = 256
MAX_SERVICE_AGE_S = 10.0
"""Age of the newest reading of a service from which its pace is no longer used."""


class PaceBoard:
    """Keeps the pace of each incarnation of an endpoint. Thread-safe.

    Args:
        clock: The source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._services: dict[str, _ServicePaces] = {}
        self._endpoints: OrderedDict[str, EndpointPace] = OrderedDict()

    def record(self, incarnation: str, service: str, load: ReportedLoad) -> None:
        """Record the load in a response whose head has just been received.

        Args:
            incarnation: The incarnation of the endpoint that responded.
            service: Its service.
            load: The reported load.
        """
        if load.pace is None:
            return
        now_s = self._clock.monotonic_s()
        self.merge(incarnation, service, load.pace / USUAL_PACE, now_s)

    def merge(self, incarnation: str, service: str, factor: float, at_s: float) -> None:
        """Merge a reading; the newest one of an endpoint applies.

        Args:
            incarnation: The incarnation of the endpoint.
            service: Its service.
            factor: The pace factor.
            at_s: Monotonic time of the reading.
        """
        with self._lock:
            paces = self._services.get(service)
            if paces is None:
                if len(self._services) >= MAX_SERVICES:
                    return
                paces = self._services[service] = _ServicePaces()
            pace = self._endpoints.get(incarnation)
            if pace is None:
                pace = self._endpoints[incarnation] = EndpointPace(paces.model)
                if len(self._endpoints) > MAX_ENDPOINTS:
                    self._endpoints.popitem(last=False)
            if pace.record(at_s, factor):
                self._endpoints.move_to_end(incarnation)
                paces.newest_s = max(paces.newest_s, at_s)

    def count(self) -> int:
        """Return the number of endpoints with a reading."""
        return len(self._endpoints)

    def find(self, incarnation: str, service: str) -> EndpointPace | None:
        """Return the pace of an endpoint.

        Returns:
            None if no endpoint of its service has reported a pace recently. An
            endpoint without a reading has the mean pace of its service.
        """
        find = self.find_service(service)
        return None if find is None else find(incarnation)

    def find_service(self, service: str) -> Callable[[str], EndpointPace] | None:
        """Return a function that finds the pace of an incarnation of an endpoint.

        Returns:
            None if no endpoint of the service has reported a pace recently.
        """
        paces = self._services.get(service)
        if paces is None:
            return None
        if self._clock.monotonic_s() - paces.newest_s > MAX_SERVICE_AGE_S:
            return None
        return lambda incarnation: self._endpoints.get(incarnation, paces.unknown)


class _ServicePaces:
    """The model of a service's paces and the time of its newest reading."""

    def __init__(self) -> None:
        self.model = PaceModel()
        self.unknown = EndpointPace(self.model)
        self.newest_s = float("-inf")
