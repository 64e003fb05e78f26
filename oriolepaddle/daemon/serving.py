"""The components that serve callers."""

import random
from datetime import timedelta

from oriolepaddle.admission import Aim
from oriolepaddle.clock import Clock
from oriolepaddle.daemon.fleet import Fleet
from oriolepaddle.daemon.listeners import Listeners
from oriolepaddle.daemon.orders import OrderComponents
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.endpoints.health import HealthChecker
from oriolepaddle.gateway import Authenticator, CallerApplication, Exchanger
from oriolepaddle.gateway.admissions import RouteAdmissions
from oriolepaddle.gateway.advisor import InstanceAdvisor
from oriolepaddle.gateway.context import ServingContext
from oriolepaddle.gateway.forwarder import Forwarder
from oriolepaddle.gateway.forwarding import ForwardingSigner
from oriolepaddle.gateway.order_exchange import OrderExchange
from oriolepaddle.gateway.order_runner import GatewayOrderRunner
from oriolepaddle.gateway.parser import RequestParser
from oriolepaddle.limits import LIMITS_SERVICE, LimitSettings, SharedTokenLimiter
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.publication import InstanceState
from oriolepaddle.quarantine import (
    QUARANTINE_SERVICE,
    Quarantine,
    QuarantineHandler,
    QuarantineSettings,
)
from oriolepaddle.retries import RetryPolicy, RetrySettings
from oriolepaddle.routing import Router, ShortestTimePolicy
from oriolepaddle.settings import Settings
from oriolepaddle.web.activity import Activity

__all__ = ["Serving"]


class Serving:
    """Limits, routing, retries, quarantine and the callers' HTTP API.

    Args:
        settings: Checked settings.
        clock: The clock.
        fleet: Membership and configuration.
        listeners: The listeners that callers and peers connect to.
        generator: Source of jitter and tie-breaking.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        fleet: Fleet,
        listeners: Listeners,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._fleet = fleet
        self.metrics = GatewayMetrics()
        self.limiter = SharedTokenLimiter(
            clock, fleet.pool, fleet.membership, fleet.config, LimitSettings()
        )
        self.quarantine = Quarantine(
            clock, QuarantineSettings(), fleet.membership.identity
        )
        self.router = Router(
            clock,
            fleet.config,
            settings.data_centre,
            ShortestTimePolicy(generator),
            self._count_instances,
            self._find_delay_s,
            lambda route: self.admissions.estimated_wait_s(route),
        )
        self.admissions = RouteAdmissions(clock, self.router, Aim(settings.aim))
        self._buffers = listeners.buffers
        self.context = self._make_context(generator)
        self.runner = GatewayOrderRunner(self.context, fleet.config)
        self.orders = OrderComponents(settings, clock, fleet, listeners, self.runner)
        listeners.peers.register(LIMITS_SERVICE, self.limiter.handler)
        listeners.peers.register(QUARANTINE_SERVICE, QuarantineHandler(self.quarantine))
        self.application = self._make_application()

    def _make_context(self, generator: random.Random) -> ServingContext:
        settings = self._settings
        clock = self._clock
        config = self._fleet.config
        signer = ForwardingSigner(settings.peer_secret.encode(), settings.instance)
        transport = EndpointTransport(
            clock, timedelta(seconds=settings.connect_timeout_s)
        )
        self._signer = signer
        return ServingContext(
            clock=clock,
            router=self.router,
            admissions=self.admissions,
            limiter=self.limiter,
            quarantine=self.quarantine,
            retries=RetryPolicy(clock, RetrySettings(), generator),
            transport=transport,
            health=HealthChecker(),
            forwarder=Forwarder(
                settings.instance,
                clock,
                self._fleet.membership,
                transport,
                signer,
                settings.stall_timeout_s,
            ),
            authenticator=Authenticator(config),
            staleness=self._fleet.staleness,
            activity=Activity(clock),
            metrics=self.metrics,
            stall_timeout_s=settings.stall_timeout_s,
            buffers=self._buffers,
        )

    def _make_application(self) -> CallerApplication:
        context = self.context
        parser = RequestParser(
            self._fleet.config, context.authenticator, self._clock, self._signer
        )
        orders = OrderExchange(
            context, self.orders.registry, self.orders.forwarder, self.runner
        )
        return CallerApplication(
            parser,
            Exchanger(context, orders),
            InstanceAdvisor(self._fleet.membership, self.limiter, self._fleet.config),
            context.authenticator,
            self._settings.data_centre,
            self.metrics,
        )

    def _count_instances(self) -> int:
        membership = self._fleet.membership
        own = self._settings.data_centre
        own_instances = [
            instance
            for instance in membership.instances()
            if instance.data_centre == own and instance.state is InstanceState.LIVE
        ]
        return max(1, len(own_instances))

    def _find_delay_s(self, data_centre: str) -> float:
        config = self._fleet.config
        own = config.data_centre(self._settings.data_centre)
        other = config.data_centre(data_centre)
        is_same_region = (
            own is not None and other is not None and own.region == other.region
        )
        settings = self._settings
        delay_ms = settings.near_delay_ms if is_same_region else settings.far_delay_ms
        return delay_ms / 1000
