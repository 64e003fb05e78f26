"""Sending and receiving announcements."""

import threading
from collections.abc import Callable
from datetime import timedelta

from oriolepaddle.clock import Clock
from oriolepaddle.edge.resolver import EntryInstance
from oriolepaddle.gossip.composer import (
    MICROSECONDS_PER_S,
    AnnouncementComposer,
    Contact,
    LastAnnouncement,
    add_grants,
    write_record,
)
from oriolepaddle.gossip.crashes import read_crash
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.region_waits import read_wait
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.signals import read_leaving, read_limit
from oriolepaddle.gossip.socket import Address, DatagramSocket
from oriolepaddle.limits import TokenNeed
from oriolepaddle.logs import log_unforeseen
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    Datagram,
    InstanceRecord,
)
from oriolepaddle.signals import LIMIT_PREFIX

__all__ = ["Announcer"]

SHORTEST_INTERVAL_S = 0.25
LONGEST_INTERVAL_S = 0.5
INTERVAL_PER_MEMBER_S = 0.02
"""The interval grows with the region, so that a hub's work does not. An instance with
running requests announces at the shortest interval, since other instances send more
requests to the same endpoints until they know of its work."""
SILENT_INTERVAL_S = 1.0
"""Time between two datagrams to a silent instance."""
MAX_SILENT_PER_ROUND = 6
"""Silent instances to which one round sends a datagram."""


class Announcer:
    """Exchanges announcements with other instances.

    Members announce their state to their hubs; hubs reply to them and announce to the
    hubs of other regions.

    Args:
        clock: The time.
        roster: The instances.
        state: The local state to announce.
        address: The host and port to bind the UDP socket to.
        seeds: Hosts of instances to contact first.
        secret: The secret that all instances share.
        refresh: Called before each round to update this instance's own state.
    """

    def __init__(
        self,
        clock: Clock,
        roster: Roster,
        state: LocalState,
        address: Address,
        seeds: tuple[str, ...],
        secret: bytes,
        refresh: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._roster = roster
        self._state = state
        self._port = address[1]
        self._seeds = tuple(host for host in seeds if host != address[0])
        self._refresh = refresh
        self._composer = AnnouncementComposer(clock, roster, state)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._contacts: dict[str, Contact] = {}
        self._socket = DatagramSocket(address, secret, self._handle_datagram)
        state.draws.socket = state.permit_draws.socket = self._socket

    def start(self) -> None:
        """Start sending and receiving."""
        self._socket.start()
        threading.Thread(target=self._run, name="gossip", daemon=True).start()

    def stop(self) -> None:
        """Send a last round of announcements and stop."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._send_round()
        self._socket.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._send_round()
            except Exception as error:  # noqa: BLE001 - the next round must be sent
                log_unforeseen("gossip", error)
            self._clock.wait(self._stopping, timedelta(seconds=self._interval_s()))

    def _interval_s(self) -> float:
        if self._state.placer.own_loads():
            return SHORTEST_INTERVAL_S
        wanted_s = INTERVAL_PER_MEMBER_S * self._roster.count_region()
        return min(max(wanted_s, SHORTEST_INTERVAL_S), LONGEST_INTERVAL_S)

    def _send_round(self) -> None:
        self._refresh()
        roster = self._roster
        own = roster.own
        if (hub := roster.token_hub()) is not None and hub.id == own.id:
            if self._state.delegations.may_delegate(own.id):
                incarnation = roster.own_entry().incarnation
                now_s = self._clock.monotonic_s()
                self._state.delegations.accept(own.id, incarnation, now_s)
        receivers = [item for item in roster.hubs() if item.id != own.id]
        if roster.is_hub():
            for region in roster.regions() - {own.region}:
                receivers += roster.hubs(region)
            receivers += self._list_silent()
        for receiver in receivers:
            self._send(receiver)
        self._send_to_seeds()

    def _list_silent(self) -> list[RosterEntry]:
        alive = {item.id for item in self._roster.alive()}
        now_s = self._clock.monotonic_s()
        retry_candidates = [
            item
            for item in self._roster.entries()
            if item.id not in alive
            and now_s - self._contact(item.id).sent_s >= SILENT_INTERVAL_S
        ]
        return sorted(retry_candidates, key=lambda item: self._contact(item.id).sent_s)[
            :MAX_SILENT_PER_ROUND
        ]

    def _send_to_seeds(self) -> None:
        known = {item.host for item in self._roster.alive()}
        for host in self._seeds:
            if host not in known:
                announcement = self._composer.compose(None, Contact())
                datagram = Datagram(announcement=announcement)
                self._socket.send(datagram, (host, self._port))

    def _send(self, receiver: RosterEntry) -> None:
        contact = self._contact(receiver.id)
        announcement = self._composer.compose(receiver, contact)
        if contact.balances and announcement.balances is not None:
            add_grants(announcement, self._grant_tokens(contact))
        contact.sent_s = self._clock.monotonic_s()
        address = (receiver.host, self._port)
        self._socket.send(Datagram(announcement=announcement), address)

    def _grant_tokens(self, contact: Contact) -> dict[str, int]:
        if (
            self._clock.monotonic_s() - contact.last_announcement.received_s
            > SILENT_INTERVAL_S
        ):
            return {}
        wanted = {
            item.organisation: TokenNeed(item.spare, item.wanted)
            for item in contact.balances
        }
        return self._state.limiter.grant(wanted, self._sum_spares())

    def _sum_spares(self) -> dict[str, int]:
        spares = {
            name: need.spare for name, need in self._state.limiter.needs().items()
        }
        oldest_s = self._clock.monotonic_s() - SILENT_INTERVAL_S
        with self._lock:
            contacts = list(self._contacts.values())
        for contact in contacts:
            if contact.last_announcement.received_s < oldest_s:
                continue
            for item in contact.balances:
                spare = spares.get(item.organisation, 0)
                spares[item.organisation] = spare + item.spare
        return spares

    def _contact(self, name: str) -> Contact:
        with self._lock:
            return self._contacts.setdefault(name, Contact())

    def _handle_datagram(self, datagram: Datagram, address: Address) -> None:
        if datagram.announcement is not None:
            self._handle_announcement(datagram.announcement, address)
        elif datagram.draw is not None:
            state = self._state
            is_permit = datagram.draw.organisation.startswith(LIMIT_PREFIX)
            draws = state.permit_draws if is_permit else state.draws
            draws.answer(datagram.draw, address)
        elif datagram.reply is not None:
            # Each ignores the replies to the other's draws, by their numbers.
            self._state.draws.receive(datagram.reply)
            self._state.permit_draws.receive(datagram.reply)

    def _handle_announcement(
        self, announcement: Announcement, address: Address
    ) -> None:
        sender = announcement.sender
        if sender.instance == self._roster.own.id:
            return
        contact = self._contact(sender.instance)
        order = (sender.incarnation, announcement.sent_at_us)
        last_announcement = contact.last_announcement
        if order <= (last_announcement.incarnation, last_announcement.sent_at_us):
            # Reordered, duplicated or from an earlier incarnation.
            if sender.incarnation < last_announcement.incarnation:
                self._send_later_incarnation(sender.instance, address)
            return
        is_new = sender.incarnation != last_announcement.incarnation
        contact.last_announcement = LastAnnouncement(*order, self._clock.monotonic_s())
        contact.balances = announcement.balances or []
        self._state.delegations.record_incarnation(sender.instance, sender.incarnation)
        self._record_instances(announcement)
        self._confirm_freshness(announcement)
        self._apply_state(announcement)
        entry = self._read_record(sender)
        is_same_region = entry.instance.region == self._roster.own.region
        hubs = self._roster.hub_ids()
        is_member = is_same_region and entry.id not in hubs
        if is_new or (is_member and self._roster.own.id in hubs):
            self._send(entry)

    def _send_later_incarnation(self, name: str, address: Address) -> None:
        entry = self._roster.entry(name)
        if entry is not None:
            announcement = self._composer.compose(None, Contact())
            announcement.members = [write_record(entry, self._clock.monotonic_s())]
            self._socket.send(Datagram(announcement=announcement), address)

    def _record_instances(self, announcement: Announcement) -> None:
        self._roster.record_entry(self._read_record(announcement.sender))
        for record in announcement.members or ():
            self._roster.record_entry(self._read_record(record))
        self._roster.record_counts(announcement.counts or {})

    def _read_record(self, record: InstanceRecord) -> RosterEntry:
        instance = EntryInstance(
            record.instance,
            self._roster.region_of(record.data_centre),
            record.data_centre,
            record.caller_address,
            record.size_thousandths / 1000,
        )
        return RosterEntry(
            instance,
            record.incarnation,
            record.peer_address,
            record.is_ready,
            record.is_leaving,
            self._clock.monotonic_s() - record.age_ms / 1000,
        )

    def _confirm_freshness(self, announcement: Announcement) -> None:
        state = self._state
        if announcement.version > state.catalog.version:
            state.fetch_catalog(announcement.sender.peer_address)
            return
        if announcement.echo_us is None or announcement.held_us is None:
            return
        if announcement.echo_incarnation != self._roster.own_entry().incarnation:
            # The echoed time is by an earlier incarnation's clock, and a loss of power
            # resets the clock.
            return
        # The sender had received this instance's datagram when it sent this one.
        # That gives a lower bound of the sending time by this instance's own clock,
        # which a delayed datagram cannot move too late.
        sent_s = (announcement.echo_us + announcement.held_us) / MICROSECONDS_PER_S
        if announcement.delegates:
            sender = announcement.sender
            state.delegations.accept(sender.instance, sender.incarnation, sent_s)
        if announcement.knowledge_age_us is not None:
            confirmed_s = sent_s - announcement.knowledge_age_us / MICROSECONDS_PER_S
            state.catalog.confirm_version(confirmed_s, announcement.version)
        self._compare_endpoints(announcement, sent_s)

    def _compare_endpoints(self, announcement: Announcement, sent_s: float) -> None:
        catalog = self._state.catalog
        if announcement.endpoints_age_us is None or not catalog.needs_peer_snapshot():
            return
        complete_s = sent_s - announcement.endpoints_age_us / MICROSECONDS_PER_S
        if complete_s <= catalog.endpoints_confirmed_at_s:
            return
        if announcement.catalog_digest == catalog.digest():
            catalog.confirm_endpoints(complete_s)
        else:
            self._state.fetch_catalog(announcement.sender.peer_address)

    def _apply_state(self, announcement: Announcement) -> None:
        state = self._state
        state.limiter.receive(
            {item.organisation: item.tokens for item in announcement.grants or ()}
        )
        received_s = self._clock.monotonic_s()
        state.crashes.merge(
            (read_crash(item, received_s) for item in announcement.crashes or ()),
            announcement.sender.instance,
        )
        sender = announcement.sender.instance
        limits = [
            read_limit(item, received_s, sender) for item in announcement.limits or ()
        ]
        state.signals.merge(entry for entry in limits if entry is not None)
        state.signals.merge_leaving(
            read_leaving(item, received_s, sender)
            for item in announcement.leaving or ()
        )
        own = self._roster.own.region
        for item in announcement.waits or ():
            if item.region != own:
                state.loads.record(read_wait(item, received_s))
        if self._roster.region_of(announcement.sender.data_centre) != own:
            return
        if announcement.work is None:
            return
        if self._roster.is_hub():
            state.work.record_member_work(
                announcement.sender.instance, announcement.work
            )
        else:
            state.work.record_others_work(announcement.work)
