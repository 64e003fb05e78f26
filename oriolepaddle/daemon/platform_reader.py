"""Following the platform's tickets and instance list."""

import threading
from datetime import timedelta

from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.config import ConfigState, parse_ticket
from oriolepaddle.errors import PlatformUnavailableError, TicketError
from oriolepaddle.platform import (
    ConfigurationService,
    Instance,
    InstanceList,
    InstanceListService,
    InstanceState,
)

__all__ = ["PlatformReader"]

WATCH_TIMEOUT = timedelta(seconds=20)
RETRY_INTERVAL = timedelta(seconds=1)
TICKET_PREFIX = "tickets/"


class PlatformReader:
    """Watches the platform on two threads."""

    def __init__(
        self,
        clock: Clock,
        config: ConfigState,
        configuration: ConfigurationService,
        instances: InstanceListService,
    ) -> None:
        self._clock = clock
        self._config = config
        self._configuration = configuration
        self._instances = instances
        self._stopping = threading.Event()
        self.caught_up = threading.Event()
        self._list: InstanceList | None = None

    def start(self) -> None:
        """Begin to watch."""
        for target in (self._follow_tickets, self._follow_instances):
            threading.Thread(target=target, name="platform", daemon=True).start()

    def stop(self) -> None:
        """Stop watching; a waiting call ends by itself."""
        self._stopping.set()

    def suggest_instances(self, data_centre: str, count: int) -> tuple[Instance, ...]:
        """Return listed live instances of a data centre."""
        if self._list is None:
            return ()
        found = [
            instance
            for instance in self._list.instances
            if instance.data_centre == data_centre
            and instance.state is InstanceState.LIVE
        ]
        return tuple(found[:count])

    def _follow_tickets(self) -> None:
        revision = 0
        while not self._stopping.is_set():
            try:
                timeout = WATCH_TIMEOUT if self.caught_up.is_set() else timedelta(0)
                reading = self._configuration.watch(TICKET_PREFIX, revision, timeout)
            except PlatformUnavailableError as error:
                logger.warning("configuration service: {}", error.message)
                self._clock.wait(self._stopping, RETRY_INTERVAL)
                continue
            for value in reading.values:
                self._merge(value.key, value.text)
            revision = reading.revision
            if reading.is_complete:
                self.caught_up.set()

    def _merge(self, key: str, text: str) -> None:
        try:
            self._config.merge(parse_ticket(text).entries)
        except TicketError as error:
            logger.error("{} rejected: {}", key, error.message)

    def _follow_instances(self) -> None:
        while not self._stopping.is_set():
            held = self._list
            try:
                self._list = self._instances.watch(
                    held.revision if held else 0, WATCH_TIMEOUT
                )
            except PlatformUnavailableError as error:
                logger.warning("instance list: {}", error.message)
                self._clock.wait(self._stopping, RETRY_INTERVAL)
