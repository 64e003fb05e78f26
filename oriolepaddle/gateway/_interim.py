"""The simplest routing, replaced by `oriolepaddle.routing`."""

import random

import attrs

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Endpoint
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gateway.caller_request import CallerRequest

__all__ = ["Choice", "RandomRouter"]


@attrs.frozen
class Choice:
    """An endpoint here, or another data centre."""

    endpoint: Endpoint | None
    data_centre: str | None


class RandomRouter:
    """Chooses any allowed endpoint of the data centre, else another's."""

    def __init__(
        self, config: ConfigState, data_centre: str, rng: random.Random
    ) -> None:
        self._config = config
        self._data_centre = data_centre
        self._rng = rng

    def choose(self, request: CallerRequest, excluded: frozenset[str]) -> Choice:
        """Return where a request goes.

        Raises:
            RefusedError: No endpoint may run it.
        """
        allowed = self._allowed_data_centres(request)
        candidates = [
            endpoint
            for endpoint in self._config.endpoints()
            if request.route.id in endpoint.routes
            and not endpoint.leaving
            and endpoint.id not in excluded
            and endpoint.data_centre in allowed
        ]
        local = [item for item in candidates if item.data_centre == self._data_centre]
        if local:
            return Choice(self._rng.choice(local), None)
        if candidates and not request.hops:
            return Choice(None, self._rng.choice(candidates).data_centre)
        if not candidates and not allowed:
            raise RefusedError(
                "no data centre in the region of residency",
                code=ErrorCode.RESIDENCY_UNSERVABLE,
            )
        raise RefusedError("no endpoint may run it", code=ErrorCode.NO_ENDPOINT)

    def _allowed_data_centres(self, request: CallerRequest) -> set[str]:
        limits = [request.route.residency]
        if request.organisation is not None:
            limits.append(request.organisation.residency)
        return {
            data_centre.id
            for data_centre in self._config.data_centres()
            if all(not limit or data_centre.region in limit for limit in limits)
        }
