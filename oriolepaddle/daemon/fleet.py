"""The components for membership and configuration of a gateway instance."""

import random
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState
from oriolepaddle.config.platform_reader import PlatformReader
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.config.sync import ConfigSync
from oriolepaddle.config.wire import CONFIGURATION_SERVICE
from oriolepaddle.daemon.instance_list import InstanceListReader
from oriolepaddle.daemon.listeners import Listeners
from oriolepaddle.membership.handler import MembershipHandler
from oriolepaddle.membership.membership import Membership
from oriolepaddle.membership.wire import MEMBERSHIP_SERVICE
from oriolepaddle.peers import PeerIdentity, PeerPool
from oriolepaddle.publication.http import (
    HttpConfigurationService,
    HttpInstanceListService,
)
from oriolepaddle.settings import Settings
from oriolepaddle.settings.seeds import parse_seeds

__all__ = ["Fleet"]


class Fleet:
    """Membership, peer links and the configuration with its readers.

    Args:
        settings: Checked settings.
        clock: The clock.
        identity: This instance in its current incarnation.
        listeners: The listeners whose addresses are advertised.
        generator: Source of jitter and of random order.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        identity: PeerIdentity,
        listeners: Listeners,
        generator: random.Random,
    ) -> None:
        self.config = ConfigState()
        self.rejections = Rejections(clock)
        max_staleness_s = settings.max_staleness_s
        self.staleness = StalenessGuard(
            clock, timedelta(seconds=max_staleness_s) if max_staleness_s else None
        )
        self.membership = Membership(
            clock,
            identity,
            listeners.describe(),
            None,
            lambda: (self.config.digest, self.config.highest_number),
            self._find_region,
            generator,
            parse_seeds(settings.seeds),
        )
        secret = settings.peer_secret.encode()
        self.pool = PeerPool(identity, secret, self.membership)
        self.membership.connect(self.pool)
        self.sync = ConfigSync(
            clock,
            identity.instance,
            self.config,
            self.pool,
            self.membership,
            self.rejections,
            self.staleness,
            generator,
            settings.serve_without_catch_up,
        )
        self._reader = self._make_reader(settings, clock, generator)
        self.sync.set_platform_reader(self._reader)
        self._list_reader = InstanceListReader(
            clock,
            HttpInstanceListService(settings.platform_address, clock),
            self.membership.apply_list,
            generator,
        )
        listeners.peers.register(MEMBERSHIP_SERVICE, MembershipHandler(self.membership))
        listeners.peers.register(CONFIGURATION_SERVICE, self.sync.handler)

    def _make_reader(
        self, settings: Settings, clock: Clock, generator: random.Random
    ) -> PlatformReader:
        return PlatformReader(
            clock,
            HttpConfigurationService(settings.platform_address),
            self.sync.platform_target,
            self.rejections,
            self.staleness,
            generator,
        )

    def start(self) -> None:
        """Start reading the platform and exchanging messages with peers."""
        self._list_reader.start()
        self._reader.start()
        self.membership.start()
        self.sync.start()

    def stop(self) -> None:
        """Stop reading the platform and close the links to peers."""
        self._list_reader.stop()
        self._reader.stop()
        self.sync.stop()
        self.membership.stop()
        self.pool.close()

    def age_s(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self.staleness.staleness().total_seconds()

    def _find_region(self, data_centre: str) -> str | None:
        configured = self.config.data_centre(data_centre)
        return configured.region if configured else None
