"""Reading the tickets and snapshots that the platform publishes."""

import random
import threading
from collections import OrderedDict
from datetime import timedelta

import xxhash
from loguru import logger

from oriolepaddle.clock import Clock
from oriolepaddle.config.codec import parse_ticket
from oriolepaddle.config.conflict import Conflict, ConflictKind
from oriolepaddle.config.merge_target import MergeTarget
from oriolepaddle.config.prefix_reader import PrefixReader
from oriolepaddle.config.rejections import Rejections
from oriolepaddle.config.snapshot import SnapshotAssembler, parse_shard
from oriolepaddle.config.staleness import StalenessGuard
from oriolepaddle.errors import TicketError
from oriolepaddle.publication import ConfigurationService, ServiceValue

__all__ = ["PlatformReader", "SNAPSHOT_PREFIX", "TICKET_PREFIX"]

TICKET_PREFIX = "tickets/"
SNAPSHOT_PREFIX = "snapshots/"
WATCH_TIMEOUT = timedelta(seconds=30)
MAX_TICKET_DIGESTS = 4096


class PlatformReader:
    """Reads `tickets/` and `snapshots/`, then watches both.

    Args:
        clock: Source of the time.
        service: The platform's configuration service.
        target: Merges the tickets and snapshots that were read.
        rejections: Records rejected tickets and shards.
        staleness: Notified of each answered call.
        generator: Draws the pauses and backoff delays.
    """

    def __init__(
        self,
        clock: Clock,
        service: ConfigurationService,
        target: MergeTarget,
        rejections: Rejections,
        staleness: StalenessGuard,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._target = target
        self._rejections = rejections
        self._assembler = SnapshotAssembler()
        self._ticket_digests: OrderedDict[int, tuple[str, int]] = OrderedDict()
        #: One reader for each prefix, that of the snapshots first.
        self.readers = tuple(
            PrefixReader(
                clock, service, prefix, apply, staleness.record_contact, generator
            )
            for prefix, apply in (
                (SNAPSHOT_PREFIX, self._apply_shards),
                (TICKET_PREFIX, self._apply_tickets),
            )
        )
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    @property
    def is_complete(self) -> bool:
        """Whether all values of the platform were read since the start."""
        return all(reader.is_complete for reader in self.readers)

    @property
    def has_failed(self) -> bool:
        """Whether the last call for one of the prefixes failed."""
        return any(reader.has_failed for reader in self.readers)

    @property
    def calls(self) -> int:
        """The number of calls made, watches included."""
        return sum(reader.calls for reader in self.readers)

    def tick(self) -> None:
        """Make the calls that are due, without waiting for changes."""
        for reader in self.readers:
            if reader.due_at_s <= self._clock.monotonic_s():
                reader.step(timedelta())

    def start(self) -> None:
        """Read each prefix on its own thread until `stop`."""
        for reader in self.readers:
            thread = threading.Thread(
                target=self._run_reader,
                args=(reader,),
                name="config-reader",
                daemon=True,
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the threads; a pending watch ends with its timeout."""
        self._stopping.set()

    def _run_reader(self, reader: PrefixReader) -> None:
        while not self._stopping.is_set():
            pause_s = reader.due_at_s - self._clock.monotonic_s()
            if pause_s > 0:
                self._clock.wait(self._stopping, timedelta(seconds=pause_s))
                continue
            try:
                reader.step(WATCH_TIMEOUT)
            except Exception:  # noqa: BLE001 - one faulty value must not stop the reader
                logger.exception("failed to read or apply the configuration")
                self._clock.wait(self._stopping, timedelta(seconds=1))

    def _apply_tickets(self, values: tuple[ServiceValue, ...]) -> None:
        entries = []
        for value in values:
            try:
                ticket = parse_ticket(value.text)
            except TicketError as error:
                self._reject(value, "ticket_invalid", error)
                continue
            self._check_number(value, ticket.number)
            entries.extend(ticket.entries)
        self._target.merge(entries)

    def _apply_shards(self, values: tuple[ServiceValue, ...]) -> None:
        for value in values:
            try:
                snapshot = self._assembler.add(parse_shard(value.text))
            except TicketError as error:
                self._reject(value, "shard_invalid", error)
                continue
            if snapshot is not None:
                self._target.adopt(snapshot.floor, snapshot.entries)

    def _reject(self, value: ServiceValue, reason: str, error: TicketError) -> None:
        logger.warning("rejected {}: {}", value.key, error.message)
        self._rejections.add(value.key, reason, error.message)

    def _check_number(self, value: ServiceValue, number: int) -> None:
        """Add a conflict if an earlier ticket with this number had other content."""
        digest = xxhash.xxh3_64_intdigest(value.text.encode())
        first = self._ticket_digests.setdefault(number, (value.key, digest))
        if first[1] != digest:
            self._target.add_conflict(
                Conflict(ConflictKind.SAME_NUMBER, number, value.key)
            )
        if len(self._ticket_digests) > MAX_TICKET_DIGESTS:
            self._ticket_digests.popitem(last=False)
