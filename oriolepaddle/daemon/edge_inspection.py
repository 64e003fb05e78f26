"""The state of an edge instance that operators can read."""

from collections.abc import Callable
from typing import Any

import attrs

from oriolepaddle.catalog import Catalog, HostRoute
from oriolepaddle.clock import Clock
from oriolepaddle.edge import EdgeContext
from oriolepaddle.edge.regions import allows_region
from oriolepaddle.errors import ErrorCode, RefusedError
from oriolepaddle.gossip import Roster
from oriolepaddle.limits import GrantingLimiter
from oriolepaddle.placement import Job

__all__ = ["EdgeInspection"]


class EdgeInspection:
    """Read-only view of an edge instance's state.

    Args:
        clock: The clock.
        catalog: Routes, keys and endpoints.
        roster: The known instances of the fleet.
        context: The components that serve callers.
        pool: The limiter of the tokens at this instance.
        is_ready: Returns whether callers may be sent here.
        is_draining: Returns whether the instance is draining.
        find_share: Returns the share of each rate that is minted here.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        roster: Roster,
        context: EdgeContext,
        pool: GrantingLimiter,
        is_ready: Callable[[], bool],
        is_draining: Callable[[], bool],
        find_share: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._roster = roster
        self._context = context
        self._pool = pool
        self._is_ready = is_ready
        self._is_draining = is_draining
        self._find_share = find_share

    def status(self) -> dict[str, Any]:
        """Return the state of the instance."""
        own = self._roster.own
        return {
            "instance": own.id,
            "data_centre": own.data_centre,
            "region": own.region,
            "is_ready": self._is_ready(),
            "is_draining": self._is_draining(),
            "is_hub": self._roster.is_hub(),
            "highest_ticket": self._catalog.version,
            "store_era": self._catalog.era,
            "knowledge_age_s": _round(self._catalog.age_s()),
            "endpoints_age_s": _round(self._catalog.endpoints_age_s()),
            "peers_reachable": len(self._roster.alive()),
            "requests_in_flight": self._context.activity.count,
        }

    def instances(self) -> list[dict[str, Any]]:
        """Return the other instances in the roster, also those that are silent."""
        now_s = self._clock.monotonic_s()
        alive = {item.id for item in self._roster.alive()}
        hubs = frozenset().union(
            *(self._roster.hub_ids(region) for region in self._roster.regions())
        )
        return [
            {
                "instance": item.id,
                "region": item.instance.region,
                "address": item.instance.address,
                "size": item.instance.size,
                "is_ready": item.is_ready,
                "is_leaving": item.is_leaving,
                "is_alive": item.id in alive,
                "is_hub": item.id in hubs,
                "heard_ago_s": round(now_s - item.last_seen_s, 3),
            }
            for item in sorted(self._roster.entries(), key=lambda entry: entry.id)
        ]

    def endpoints(self) -> list[dict[str, Any]]:
        """Return the registered endpoints."""
        now_s = self._clock.monotonic_s()
        return [
            {
                "endpoint": item.id,
                "service": item.service,
                "data_centre": item.data_centre,
                "address": item.address,
                "state": item.state.value,
                "is_cold": now_s < item.cold_until_s,
                "may_get_work": self._catalog.may_send(item),
                **self._describe_signals(item.incarnation, now_s),
            }
            for item in sorted(self._catalog.endpoints(), key=lambda item: item.id)
        ]

    def _describe_signals(self, incarnation: str, now_s: float) -> dict[str, Any]:
        entry = self._context.signals.find_entry(incarnation)
        return {
            "pause_s": round(self._context.permits.remaining_pause_s(incarnation), 3),
            "is_leaving": self._context.signals.is_leaving(incarnation),
            "limit_per_s": entry.limit_per_s if entry else None,
            "limit_age_s": round(now_s - entry.stated_s, 3) if entry else None,
            "limit_origin": entry.origin if entry else None,
        }

    def suspects(self) -> list[dict[str, Any]]:
        """Return what is suspected of crashing endpoints, or refused because of it."""
        return [
            {
                "fingerprint": entry.key,
                "state": "quarantined" if entry.is_refused else "suspect",
                "crashes": len(entry.crashes),
                "endpoints": list(entry.crashes),
                "age_s": round(entry.age_s, 3),
            }
            for entry in self._context.crashes.entries()
        ]

    def forget_suspect(self, key: str) -> dict[str, Any]:
        """Clear a request or a part of a prompt, here and at the other instances."""
        return {"fingerprint": key, "cleared": self._context.crashes.forget(key)}

    def limit(self, name: str) -> dict[str, Any]:
        """Return an organisation's limit and this instance's share of it.

        Raises:
            RefusedError: No organisation has that name.
        """
        document = self._catalog.document
        entry = document.find_organisation(name) if document else None
        if entry is None:
            raise RefusedError(
                f"unknown organisation {name}", code=ErrorCode.ROUTE_UNKNOWN
            )
        hub = self._roster.token_hub()
        return {
            "organisation": name,
            "is_limited": entry.is_limited,
            "is_token_rated": entry.is_token_rated,
            "rate_per_s": entry.organisation.rate_tokens_per_s,
            "burst": entry.organisation.burst_tokens,
            "share_here": round(self._find_share(), 4),
            "available_here": round(self._pool.available(entry.organisation), 1),
            "hub": hub.id if hub else None,
        }

    def explain(self, name: str, tokens: int) -> dict[str, Any]:
        """Return where a request of a route would be sent, and all endpoints' scores.

        Args:
            name: The route's name.
            tokens: The length of the prompt, none of it cached.

        Raises:
            RefusedError: There is no such route.
        """
        route = self._find_route(name)
        service = route.services[0].service
        job = Job(service, input_tokens=tokens)
        residency = (route.residency,)
        is_allowed = allows_region(residency, self._context.region)
        scores = self._context.placer.explain(job) if is_allowed else ()
        peer = self._context.regions.choose(service, tokens, residency)
        best = scores[0] if scores else None
        return {
            "endpoint": best.endpoint if best else None,
            "data_centre": best.data_centre if best else None,
            "service": service,
            "residency": sorted(route.residency),
            "elsewhere": peer.instance if peer else None,
            "elsewhere_expected_s": _round(peer.expected_s) if peer else None,
            "scores": [attrs.asdict(score) for score in scores],
        }

    def _find_route(self, name: str) -> HostRoute:
        document = self._catalog.document
        for routes in (document.routes if document else {}).values():
            for route in routes:
                if route.name == name:
                    return route
        raise RefusedError(f"unknown route {name}", code=ErrorCode.ROUTE_UNKNOWN)


def _round(duration_s: float) -> float | None:
    return None if duration_s == float("inf") else round(duration_s, 3)
