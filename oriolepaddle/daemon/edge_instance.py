"""An edge instance, which one published document configures."""

import random
import secrets
import threading
from collections.abc import Callable
from datetime import timedelta

import attrs

from oriolepaddle.addresses import split_address
from oriolepaddle.admission import EdgeQueue
from oriolepaddle.buffers import (
    REQUEST_DESCRIPTORS,
    DescriptorBudget,
    make_budget,
    make_socket_queues,
)
from oriolepaddle.catalog import CallerLimits, Catalog, CatalogFollower
from oriolepaddle.clock import Clock
from oriolepaddle.config.model import Organisation
from oriolepaddle.crashes import CrashRegister
from oriolepaddle.daemon.catalog_exchange import CatalogExchange
from oriolepaddle.daemon.connection_upkeep import ConnectionUpkeep
from oriolepaddle.daemon.edge_gauges import add_gauges, make_client_gauges
from oriolepaddle.daemon.edge_inspection import EdgeInspection
from oriolepaddle.daemon.inspection_application import InspectionApplication
from oriolepaddle.edge import EdgeApplication, EdgeContext, InstanceResolver
from oriolepaddle.edge.drain import Drain
from oriolepaddle.edge.liveness import ConnectCheck
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.edge.retry_budget import FleetRetryBudget
from oriolepaddle.edge.startup_retry import StartupRetry
from oriolepaddle.endpoints import EndpointTransport
from oriolepaddle.gossip import (
    Announcer,
    Delegations,
    LocalState,
    RegionLoads,
    RegionWork,
    Roster,
    TokenDraws,
)
from oriolepaddle.limits import GrantingLimiter, PooledLimiter
from oriolepaddle.logs import log_event
from oriolepaddle.metrics import GatewayMetrics
from oriolepaddle.placement import Placer, RegionCapacity
from oriolepaddle.platform import (
    DirectoryApplication,
    PlatformProtocol,
    PlatformStore,
    ReadinessApplication,
    decode_document,
)
from oriolepaddle.settings import EdgeSettings, parse_regions
from oriolepaddle.signals import EndpointPermits, PaceBoard, SignalBoard
from oriolepaddle.web import Application, HttpServer, ServerLimits
from oriolepaddle.web.activity import Activity
from oriolepaddle.web.turns import ParsingTurns

__all__ = ["EdgeInstance"]

DISCONNECT_CHECK_INTERVAL = timedelta(milliseconds=150)
"""Interval of the checks for callers that disconnected. Their endpoints must stop the
work within half a second."""
PEER_IDLE_TIMEOUT = timedelta(seconds=5)
"""Well below `SERVER_IDLE_TIMEOUT`, after which the peer closes the connection."""
SERVER_IDLE_TIMEOUT = timedelta(seconds=60)
SMALL_SERVER_CONNECTIONS = 32
WARM_UP_TIME = timedelta(milliseconds=500)
"""Time to receive announcements of the other instances before callers are sent here."""
FALLBACK_AGE_FRACTION = 2 / 3
"""An instance that is no hub reads the store itself once its catalog is older than this
fraction of the age above which it no longer trusts keys. Hubs distribute a new catalog
within about two seconds."""
FORWARDING_HEADER_BYTES = 4096
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
MIN_DRAIN_TIME = timedelta(seconds=4)
"""Callers cache a resolved address for some seconds and are served until then."""
MICROSECONDS_PER_S = 1_000_000


class EdgeInstance:
    """Creates the components of an edge instance, starts and stops them.

    Args:
        settings: Checked settings.
        clock: The clock of all components.
    """

    def __init__(self, settings: EdgeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._generator = random.Random(secrets.randbits(64))
        self._started_s = clock.monotonic_s()
        self._was_ready = False
        self._limits: CallerLimits | None = None
        self.drain_requested = threading.Event()
        regions = parse_regions(settings.regions)
        own = EntryInstance(
            settings.instance,
            regions[settings.data_centre],
            settings.data_centre,
            settings.caller_address,
            settings.size * settings.cores,
        )
        self.metrics = GatewayMetrics()
        self.signals = SignalBoard(clock, self.metrics.count_signal_event)
        self.paces = PaceBoard(clock)
        self.catalog = Catalog(clock, self.signals.is_leaving)
        incarnation = int(clock.now().timestamp() * MICROSECONDS_PER_S)
        self.roster = Roster(clock, own, incarnation, settings.peer_address, regions)
        self._drain = Drain(
            clock,
            timedelta(seconds=settings.drain_refuse_s),
            settings.drain_limit,
            self.roster.has_ready_neighbour,
        )
        self._delegations = Delegations(clock, settings.instance)
        self._store = PlatformStore(settings.platform_address, clock)
        self._follower = CatalogFollower(
            clock, self._store, self.catalog, self._generator, self._follows_store
        )
        self._exchange = CatalogExchange(clock, self.catalog, decode_document)
        self.permits = EndpointPermits(
            clock,
            self.signals,
            self._find_cold_share,
            timedelta(seconds=settings.max_endpoint_pause_s),
            self.metrics.count_signal_event,
        )
        self.buffers = make_budget(settings.memory_mb)
        self._queues = make_socket_queues(settings.memory_mb, settings.max_connections)
        self.context = self._make_context()
        self._upkeep = ConnectionUpkeep(
            clock, (self.context.transport, self.context.peer_transport)
        )
        self._turns = ParsingTurns(clock)
        self._descriptors = DescriptorBudget(
            lambda: REQUEST_DESCRIPTORS * self._upkeep.idle_count,
            self._upkeep.close_idle,
        )
        add_gauges(self.metrics, self._make_gauges())
        self._announcer = self._make_announcer()
        self._servers = self._make_servers()

    def start(self) -> None:
        """Start following the store, announcing to peers and serving callers."""
        self._follower.start()
        self._exchange.start()
        self._announcer.start()
        for server in self._servers:
            server.start()
        log_event(
            "instance_started",
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            callers=self._settings.caller_address,
            store=self._settings.platform_address,
        )

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        if self._drain.is_active or self.catalog.document is None:
            return False
        is_fresh = self.catalog.age_s() < self._settings.max_catalog_age.total_seconds()
        up_s = self._clock.monotonic_s() - self._started_s
        return is_fresh and up_s >= WARM_UP_TIME.total_seconds()

    def _refresh(self) -> None:
        ready = self.is_ready()
        if ready != self._was_ready:
            self._was_ready = ready
            age_s = round(self.catalog.age_s(), 3)
            log_event("readiness_changed", ready=ready, knowledge_age_s=age_s)
        self.roster.set_own(ready, self._drain.is_active)
        self.context.placer.refresh_cold_shares()
        self.context.crashes.resolve_pending_runs(
            self.catalog.find_end, self.catalog.endpoints_confirmed_at_s
        )
        self.permits.forget_lifted()
        self._upkeep.run()
        self._apply_limits()

    def _apply_limits(self) -> None:
        document = self.catalog.document
        if document is None or document.limits is self._limits:
            return
        self._limits = document.limits
        callers, _, peers, *_ = self._servers
        callers.limits = attrs.evolve(callers.limits, **attrs.asdict(self._limits))
        # Forwarded requests have the fields of the instances that forwarded them.
        peers.limits = attrs.evolve(
            peers.limits,
            max_header_bytes=self._limits.max_header_bytes + FORWARDING_HEADER_BYTES,
            max_body_bytes=self._limits.max_body_bytes,
        )

    def _follows_store(self) -> bool:
        max_age_s = self._settings.max_catalog_age.total_seconds()
        is_old = self.catalog.age_s() > FALLBACK_AGE_FRACTION * max_age_s
        return is_old or self.roster.is_hub()

    def stop(self) -> None:
        """Drain: serve until callers have resolved other instances, then stop."""
        drain = self._drain
        # Set first: connections must close with their next response by the time that
        # the instance is seen to be unready.
        self._servers[0].is_draining = True
        drain.begin()
        self._refresh()
        activity = self.context.activity
        log_event("drain_started", in_flight=activity.count)
        while True:
            is_long_enough = drain.elapsed_s() >= MIN_DRAIN_TIME.total_seconds()
            if drain.has_timed_out() or (is_long_enough and activity.count == 0):
                break
            self._clock.wait(threading.Event(), DRAIN_POLL_INTERVAL)
        open_connections = self._close_connections()
        self._announcer.stop()
        self._follower.stop()
        log_event(
            "instance_stopped",
            in_flight=activity.count,
            open_connections=open_connections,
            after_s=drain.elapsed_s(),
        )

    def _close_connections(self) -> int:
        """Answer the requests that still arrive, and close each connection after that.

        A caller that has seen no other instance yet may send on a kept connection at
        any moment, also just before the process exits.

        Returns:
            The number of connections that are still open when the time is up.
        """
        callers, _, peers, *_ = self._servers
        servers = (callers, peers)
        for server in servers:
            server.stop_accepting()
        while (count := sum(server.close_idle() for server in servers)) > 0:
            if self._drain.has_timed_out():
                break
            self._clock.wait(threading.Event(), DRAIN_POLL_INTERVAL)
        return count

    def close(self) -> None:
        """Close every listener and connection, after `stop` or in place of it."""
        self._announcer.stop()
        self._follower.stop()
        self._exchange.stop()
        for server in self._servers:
            server.close()
        self.context.transport.close()
        self.context.peer_transport.close()

    def reload(self) -> None:
        """Log a request to reload the settings.

        The settings come from the process's environment, which does not change
        while it runs: nothing is reloaded and open connections stay open.
        """
        log_event("reload_requested", version=self.catalog.version)

    def _make_gauges(self) -> dict[str, Callable[[], float]]:
        return {
            "config_ticket": lambda: self.catalog.version,
            "config_age_seconds": self.catalog.age_s,
            "endpoints_age_seconds": self.catalog.endpoints_age_s,
            "store_era": lambda: -1 if self.catalog.era is None else self.catalog.era,
            "store_calls": lambda: self._follower.call_count,
            "peers_reachable": lambda: len(self.roster.alive()),
            "requests_in_flight": lambda: self.context.activity.count,
            "malformed_requests": lambda: sum(
                server.malformed_requests for server in self._servers
            ),
            "descriptors": self._upkeep.count_descriptors,
            "idle_endpoint_connections": lambda: self._upkeep.idle_count,
            "buffered_bytes": lambda: self.buffers.used_bytes,
            "buffers_refused": lambda: self.buffers.refused,
            "requests_queued": self.context.queue.count_waiting,
            "requests_handed_over": lambda: self._loads.handed_over,
            "requests_not_handed_over": lambda: self._loads.kept,
            **make_client_gauges(
                self.buffers, self._descriptors, lambda: self._servers
            ),
            "chunk_turns_delayed": lambda: self._turns.delayed,
            "paced_endpoints": self.paces.count,
            "ready": self.is_ready,
            "draining": lambda: self._drain.is_active,
        }

    def _make_context(self) -> EdgeContext:
        settings = self._settings
        clock = self._clock
        roster = self.roster
        own_region = roster.own.region
        placer = Placer(
            clock,
            self.catalog,
            lambda name: roster.region_of(name) == own_region,
            self._find_cold_share,
            permits=self.permits,
            paces=self.paces,
            generator=self._generator,
        )
        round_trip_s = 2 * settings.region_delay_ms / 1000
        connect_timeout = timedelta(seconds=settings.connect_timeout_s)
        self.pool = GrantingLimiter(clock, self._find_share, self._find_organisation)
        self._draws = TokenDraws(
            clock, roster, self.pool, self._find_organisation, settings.gossip_port
        )
        self._permit_draws = TokenDraws(
            clock,
            roster,
            self.permits.limiter,
            self.permits.find_rate,
            settings.gossip_port,
        )
        self.permits.connect(self._permit_draws)
        capacity = RegionCapacity(
            clock, self.catalog, roster.region_of, placer.estimate_service_s
        )
        self._loads = RegionLoads(
            clock,
            roster,
            round_trip_s,
            self._generator,
            capacity.estimate_added_wait_s,
        )
        return EdgeContext(
            clock=clock,
            catalog=self.catalog,
            protocol=PlatformProtocol(settings.instance),
            placer=placer,
            regions=self._loads,
            limiter=PooledLimiter(self.pool, self._draws),
            retry_budget=FleetRetryBudget(
                clock,
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_s,
                roster.count,
            ),
            crashes=CrashRegister(clock, self.metrics.count_crash_event),
            signals=self.signals,
            permits=self.permits,
            paces=self.paces,
            liveness=ConnectCheck(),
            transport=EndpointTransport(
                clock,
                connect_timeout,
                timedelta(seconds=settings.max_idle_s),
                DISCONNECT_CHECK_INTERVAL,
                self._queues.near_bytes,
            ),
            peer_transport=EndpointTransport(
                clock,
                connect_timeout,
                PEER_IDLE_TIMEOUT,
                DISCONNECT_CHECK_INTERVAL,
                self._queues.far_bytes,
            ),
            activity=Activity(clock),
            metrics=self.metrics,
            region=own_region,
            max_catalog_age=settings.max_catalog_age,
            startup_retry=StartupRetry(clock),
            count_instances=roster.count_region,
            drain=self._drain,
            generator=self._generator,
            buffers=self.buffers,
            queue=EdgeQueue(clock, self._generator.random),
        )

    def _find_share(self) -> float:
        return self._delegations.count() / self.roster.count()

    def _find_cold_share(self) -> float:
        return self._delegations.count() / self.roster.count_possible_neighbours()

    def _find_organisation(self, name: str) -> Organisation | None:
        document = self.catalog.document
        entry = document.find_organisation(name) if document else None
        return entry.organisation if entry else None

    def _make_announcer(self) -> Announcer:
        settings = self._settings
        host = split_address(settings.peer_address)[0]
        seeds = [item.strip() for item in settings.seeds.split(",") if item.strip()]
        state = LocalState(
            catalog=self.catalog,
            placer=self.context.placer,
            work=RegionWork(self._clock, self.context.placer),
            loads=self._loads,
            limiter=self.pool,
            draws=self._draws,
            permit_draws=self._permit_draws,
            signals=self.signals,
            delegations=self._delegations,
            crashes=self.context.crashes,
            fetch_catalog=self._exchange.request_fetch,
        )
        return Announcer(
            self._clock,
            self.roster,
            state,
            (host, settings.gossip_port),
            tuple(split_address(item)[0] for item in seeds),
            settings.peer_secret.encode(),
            self._refresh,
        )

    def _make_servers(self) -> list[HttpServer]:
        settings = self._settings
        readiness = ReadinessApplication(self.is_ready, self.metrics.render)
        resolver = InstanceResolver(self.catalog, self.roster)
        directory = DirectoryApplication(resolver)
        peers = self._exchange.wrap(EdgeApplication(self.context, is_peer_side=True))
        small = SMALL_SERVER_CONNECTIONS
        max_connections = settings.max_connections
        servers = [
            self._listen(
                settings.caller_address,
                EdgeApplication(self.context),
                max_connections,
                "caller",
            ),
            self._listen(
                settings.directory_address, directory, max_connections, "directory"
            ),
            self._listen(settings.peer_address, peers, max_connections, "peer"),
            self._listen(settings.readiness_address, readiness, small, "readiness"),
        ]
        if settings.metrics_address:
            metrics = self._wrap_inspection(readiness)
            servers.append(
                self._listen(settings.metrics_address, metrics, small, "metrics")
            )
        return servers

    def _wrap_inspection(self, application: Application) -> Application:
        token = self._settings.operator_token
        if not token:
            return application
        inspection = EdgeInspection(
            self._clock,
            self.catalog,
            self.roster,
            self.context,
            self.pool,
            self.is_ready,
            lambda: self._drain.is_active,
            self._find_share,
        )
        return InspectionApplication(inspection, token, application)

    def _listen(
        self, address: str, application: Application, max_connections: int, name: str
    ) -> HttpServer:
        host, port = split_address(address)
        limits = ServerLimits(
            max_connections=max_connections, idle_timeout=SERVER_IDLE_TIMEOUT
        )
        return HttpServer(
            host,
            port,
            application,
            self._clock,
            limits,
            name=name,
            free_descriptors=self._upkeep.close_idle,
            buffers=self.buffers,
            queues=self._queues if name != "peer" else self._queues.for_peers(),
            descriptors=self._descriptors,
            turns=self._turns,
            request_descriptors=(
                REQUEST_DESCRIPTORS if name in ("caller", "peer") else 0
            ),
        )
