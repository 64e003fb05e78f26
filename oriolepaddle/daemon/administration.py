"""The reports and actions that a gateway instance offers its operators."""

import threading

from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Endpoint, ObjectKind
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.serving import Serving
from oriolepaddle.errors import MalformedRequestError, OriolepaddleError, RefusedError
from oriolepaddle.operators.reports import (
    EndpointReport,
    ExplainedRoute,
    InstanceReport,
    LimitReport,
    ObjectReport,
    QuarantineReport,
    ScoreReport,
    StatusReport,
)
from oriolepaddle.quarantine import QuarantineEntry
from oriolepaddle.routing import RoutingRequest, Score, estimate_tokens, hash_prompt

__all__ = ["InstanceAdministration"]

EXPLAIN_DEADLINE_S = 60.0


class InstanceAdministration:
    """Implements `Administration` for one gateway instance.

    Args:
        clock: The clock.
        fleet: Membership and configuration.
        serving: The components that serve callers.
        draining: Set to begin a graceful shutdown.
    """

    def __init__(
        self, clock: Clock, fleet: Fleet, serving: Serving, draining: threading.Event
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._serving = serving
        self._draining = draining
        self._add_gauges()

    def status(self) -> StatusReport:
        """Return the instance's state."""
        fleet = self._fleet
        identity = fleet.membership.identity
        activity = self._serving.context.activity
        is_ready = fleet.sync.is_caught_up() and self._serving.limiter.is_warm
        return StatusReport(
            instance=identity.instance,
            data_centre=identity.data_centre,
            incarnation=identity.incarnation,
            is_ready=is_ready and not activity.is_draining,
            is_draining=activity.is_draining,
            highest_ticket=fleet.config.highest_number,
            objects=self._count_objects(),
            rejected_tickets=sum(fleet.rejections.counts().values()),
            peers_reachable=len(fleet.membership.reachable()),
            requests_in_flight=activity.count,
            knowledge_age_s=fleet.age_s(),
        )

    def instances(self) -> tuple[InstanceReport, ...]:
        """Return the other instances."""
        membership = self._fleet.membership
        own = membership.identity.instance
        reachable = membership.reachable()
        return tuple(
            InstanceReport(
                id=instance.id,
                data_centre=instance.data_centre,
                state=str(membership.status(instance.id) or instance.state),
                is_reachable=instance.id in reachable,
                incarnation=membership.incarnation(instance.id),
                caller_address=instance.caller_address,
            )
            for instance in membership.instances()
            if instance.id != own
        )

    def endpoints(self) -> tuple[EndpointReport, ...]:
        """Return the endpoints of the data centre."""
        own = self._fleet.membership.identity.data_centre
        return tuple(
            self._make_endpoint_report(endpoint)
            for endpoint in self._fleet.config.endpoints()
            if endpoint.data_centre == own
        )

    def limit(self, organisation: str) -> LimitReport | None:
        """Return an organisation's limit, or None if it is not configured."""
        configured = self._fleet.config.organisation(organisation)
        if configured is None:
            return None
        snapshot = self._serving.limiter.snapshot(configured)
        return LimitReport(
            organisation=organisation,
            rate_tokens_per_s=configured.rate_tokens_per_s,
            burst_tokens=configured.burst_tokens,
            share=snapshot.share,
            balance_tokens=snapshot.balance_tokens,
            borrowed_tokens_per_s=snapshot.borrowed * configured.rate_tokens_per_s,
            lent_tokens_per_s=snapshot.lent * configured.rate_tokens_per_s,
        )

    def explain(
        self, route: str, organisation: str | None, prompt: str
    ) -> ExplainedRoute:
        """Return where a request would go, and why."""
        request = self._make_request(route, organisation, prompt)
        try:
            decision = self._serving.router.choose(request)
        except RefusedError as error:
            return ExplainedRoute(None, None, error.code.code, ())
        endpoint = decision.endpoint
        return ExplainedRoute(
            endpoint=endpoint.id if endpoint else None,
            data_centre=decision.data_centre,
            refusal=None,
            scores=tuple(_make_score_report(score) for score in decision.scores),
        )

    def find_object(self, kind: str, object_id: str) -> ObjectReport | None:
        """Return a configuration object, or None if none was ever received."""
        try:
            object_kind = ObjectKind(kind)
        except ValueError as error:
            raise MalformedRequestError(f"unknown kind of object: {kind!r}") from error
        entry = self._fleet.config.entry(object_kind, object_id)
        if entry is None:
            return None
        return ObjectReport(kind, object_id, entry.number, entry.document or None)

    def order_state(self, number: str) -> str:
        """Return which instance issued an order, or the code of the error."""
        registry = self._serving.orders.registry
        try:
            issuer = registry.issuer(number)
        except OriolepaddleError as error:
            return error.code.code
        if issuer != self._fleet.membership.identity:
            return f"issued by {issuer.instance} of {issuer.data_centre}"
        return f"issued here; {registry.in_flight} orders in flight"

    def quarantined(self) -> tuple[QuarantineReport, ...]:
        """Return the requests that are suspected or quarantined."""
        entries = self._serving.quarantine.list()
        return tuple(_make_quarantine_report(entry) for entry in entries)

    def clear_quarantine(self, fingerprint: str) -> bool:
        """Clear one request; return whether it was there."""
        try:
            data = bytes.fromhex(fingerprint)
        except ValueError as error:
            raise MalformedRequestError("the fingerprint is not hexadecimal") from error
        quarantine = self._serving.quarantine
        is_known = any(entry.fingerprint == data for entry in quarantine.list())
        if is_known:
            quarantine.clear(data)
        return is_known

    def start_drain(self) -> None:
        """Begin a graceful shutdown."""
        self._draining.set()

    def allow_cold_start(self) -> None:
        """Accept the operator's confirmation that no unlisted instance runs here."""
        self._serving.limiter.allow_cold_start()

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return self._serving.metrics.render()

    def _make_endpoint_report(self, endpoint: Endpoint) -> EndpointReport:
        view = self._serving.router.inspect(endpoint)
        return EndpointReport(
            id=endpoint.id,
            data_centre=endpoint.data_centre,
            address=endpoint.address,
            routes=endpoint.routes,
            is_leaving=endpoint.leaving,
            in_flight=view.in_flight,
            is_backing_off=view.is_failed,
        )

    def _make_request(
        self, route: str, organisation: str | None, prompt: str
    ) -> RoutingRequest:
        configured_route = self._fleet.config.route(route)
        if configured_route is None:
            raise MalformedRequestError(f"unknown route {route!r}")
        configured = (
            self._fleet.config.organisation(organisation) if organisation else None
        )
        if organisation and configured is None:
            raise MalformedRequestError(f"unknown organisation {organisation!r}")
        return RoutingRequest(
            id="explain",
            route=configured_route,
            organisation=configured,
            prompt_tokens=estimate_tokens(prompt),
            output_tokens=configured_route.max_output_tokens,
            prefix_hashes=hash_prompt(prompt),
            deadline_s=self._clock.monotonic_s() + EXPLAIN_DEADLINE_S,
        )

    def _count_objects(self) -> int:
        return sum(not entry.is_tombstone for entry in self._fleet.config.entries())

    def _add_gauges(self) -> None:
        fleet, context = self._fleet, self._serving.context
        metrics = self._serving.metrics
        metrics.add_gauge(
            "config_ticket", "Highest ticket held.", lambda: fleet.config.highest_number
        )
        metrics.add_gauge("config_age_seconds", "Since it was confirmed.", fleet.age_s)
        metrics.add_gauge(
            "peers_reachable",
            "Peers that answer.",
            lambda: len(fleet.membership.reachable()),
        )
        metrics.add_gauge(
            "requests_in_flight", "Being served.", lambda: context.activity.count
        )
        metrics.add_gauge(
            "requests_queued", "Waiting.", lambda: context.admissions.waiting
        )
        metrics.add_gauge(
            "quarantine_entries",
            "Requests held against.",
            lambda: len(self._serving.quarantine.list()),
        )
        metrics.add_gauge(
            "rejected_tickets",
            "Tickets that broke the schema.",
            lambda: sum(fleet.rejections.counts().values()),
        )
        metrics.add_gauge(
            "draining", "1 while draining.", lambda: float(context.activity.is_draining)
        )
        metrics.add_gauge(
            "limits_warm",
            "1 while it has its share.",
            lambda: float(self._serving.limiter.is_warm),
        )


def _make_score_report(score: Score) -> ScoreReport:
    return ScoreReport(
        target=score.target,
        total_s=score.total_s,
        queueing_s=score.queueing_s,
        prefill_s=score.prefill_s,
        network_s=score.delay_s,
    )


def _make_quarantine_report(entry: QuarantineEntry) -> QuarantineReport:
    return QuarantineReport(
        fingerprint=entry.fingerprint.hex(),
        state=str(entry.state),
        crashes=len(entry.crashes),
        remaining_s=entry.remaining_lifetime.total_seconds(),
    )
