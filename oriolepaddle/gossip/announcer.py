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
    LastHeard,
    add_grants,
    write_record,
)
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.socket import Address, DatagramSocket
from oriolepaddle.limits import TokenNeed
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    Datagram,
    InstanceRecord,
)

__all__ = ["Announcer"]

SHORTEST_INTERVAL_S = 0.25
LONGEST_INTERVAL_S = 0.5
INTERVAL_FOR_EACH_MEMBER_S = 0.02
"""The interval grows with the region, so that a hub's work does not. An instance
that has requests running tells of them at the shortest one: what the others do not
know of them yet, they send to the same endpoints."""
SILENT_INTERVAL_S = 1.0
"""Between two datagrams to an instance that does not answer."""
MAX_SILENT = 6
"""Silent instances that are tried in one round."""


class Announcer:
    """Members tell their hubs, hubs answer them and tell other regions' hubs.

    Args:
        clock: The time.
        roster: The instances.
        state: What is announced.
        address: `host, port` to bind for datagrams.
        seeds: Addresses of instances to begin with.
        secret: Shared by all instances.
        refresh: Called before each round, to note this instance's own state.
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
        self._socket = DatagramSocket(address, secret, self._take)
        state.draws.socket = self._socket

    def start(self) -> None:
        """Begin to send and receive."""
        self._socket.start()
        threading.Thread(target=self._run, name="gossip", daemon=True).start()

    def stop(self) -> None:
        """Tell the others a last time and end."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._send_round()
        self._socket.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._send_round()
            self._clock.wait(self._stopping, timedelta(seconds=self._interval_s()))

    def _interval_s(self) -> float:
        if self._state.placer.own_loads():
            return SHORTEST_INTERVAL_S
        wanted_s = INTERVAL_FOR_EACH_MEMBER_S * self._roster.count_region()
        return min(max(wanted_s, SHORTEST_INTERVAL_S), LONGEST_INTERVAL_S)

    def _send_round(self) -> None:
        self._refresh()
        roster = self._roster
        own = roster.own
        if (hub := roster.token_hub()) is not None and hub.id == own.id:
            if self._state.delegations.may_delegate(own.id):
                life = roster.own_entry().incarnation
                now_s = self._clock.monotonic_s()
                self._state.delegations.accept(own.id, life, now_s)
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
        due = [
            item
            for item in self._roster.entries()
            if item.id not in alive
            and now_s - self._contact(item.id).sent_s >= SILENT_INTERVAL_S
        ]
        return sorted(due, key=lambda item: self._contact(item.id).sent_s)[:MAX_SILENT]

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
            add_grants(announcement, self._give(contact))
        contact.sent_s = self._clock.monotonic_s()
        address = (receiver.host, self._port)
        self._socket.send(Datagram(announcement=announcement), address)

    def _give(self, contact: Contact) -> dict[str, int]:
        if self._clock.monotonic_s() - contact.last.received_s > SILENT_INTERVAL_S:
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
            if contact.last.received_s < oldest_s:
                continue
            for item in contact.balances:
                held = spares.get(item.organisation, 0)
                spares[item.organisation] = held + item.spare
        return spares

    def _contact(self, name: str) -> Contact:
        with self._lock:
            return self._contacts.setdefault(name, Contact())

    def _take(self, datagram: Datagram, address: Address) -> None:
        if datagram.announcement is not None:
            self._take_announcement(datagram.announcement, address)
        elif datagram.draw is not None:
            self._state.draws.answer(datagram.draw, address)
        elif datagram.reply is not None:
            self._state.draws.receive(datagram.reply)

    def _take_announcement(self, heard: Announcement, address: Address) -> None:
        sender = heard.sender
        if sender.instance == self._roster.own.id:
            return
        contact = self._contact(sender.instance)
        order = (sender.incarnation, heard.sent_at_us)
        last = contact.last
        if order <= (last.incarnation, last.sent_at_us):
            # Overtaken, repeated or of an earlier life.
            if sender.incarnation < last.incarnation:
                self._tell_later_life(sender.instance, address)
            return
        is_new = sender.incarnation != last.incarnation
        contact.last = LastHeard(*order, self._clock.monotonic_s())
        contact.balances = heard.balances or []
        self._state.delegations.note_life(sender.instance, sender.incarnation)
        self._note_instances(heard)
        self._confirm(heard)
        self._take_state(heard)
        entry = self._read_record(sender)
        is_near = entry.instance.region == self._roster.own.region
        hubs = self._roster.hub_ids()
        is_member = is_near and entry.id not in hubs
        if is_new or (is_member and self._roster.own.id in hubs):
            self._send(entry)

    def _tell_later_life(self, name: str, address: Address) -> None:
        held = self._roster.entry(name)
        if held is not None:
            announcement = self._composer.compose(None, Contact())
            announcement.members = [write_record(held, self._clock.monotonic_s())]
            self._socket.send(Datagram(announcement=announcement), address)

    def _note_instances(self, heard: Announcement) -> None:
        self._roster.note(self._read_record(heard.sender))
        for record in heard.members or ():
            self._roster.note(self._read_record(record))
        self._roster.note_counts(heard.counts or {})

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

    def _confirm(self, heard: Announcement) -> None:
        state = self._state
        if heard.version > state.catalog.version:
            state.fetch_catalog(heard.sender.peer_address)
            return
        if heard.echo_us is None or heard.held_us is None:
            return
        if heard.echo_incarnation != self._roster.own_entry().incarnation:
            # It is by the clock of an earlier life, which a loss of power resets.
            return
        # The sender had this instance's datagram when it sent this one: a lower
        # bound of the sending time in this instance's own clock, which no
        # datagram that was held up can make too late.
        sent_s = (heard.echo_us + heard.held_us) / MICROSECONDS_PER_S
        if heard.delegates:
            sender = heard.sender
            state.delegations.accept(sender.instance, sender.incarnation, sent_s)
        if heard.knowledge_age_us is not None:
            confirmed_s = sent_s - heard.knowledge_age_us / MICROSECONDS_PER_S
            state.catalog.confirm_version(confirmed_s, heard.version)
        self._compare_endpoints(heard, sent_s)

    def _compare_endpoints(self, heard: Announcement, sent_s: float) -> None:
        catalog = self._state.catalog
        if heard.endpoints_age_us is None or not catalog.needs_peer_snapshot():
            return
        complete_s = sent_s - heard.endpoints_age_us / MICROSECONDS_PER_S
        if complete_s <= catalog.endpoints_confirmed_at_s:
            return
        if heard.catalog_digest == catalog.digest():
            catalog.confirm_endpoints(complete_s)
        else:
            self._state.fetch_catalog(heard.sender.peer_address)

    def _take_state(self, heard: Announcement) -> None:
        state = self._state
        state.limiter.receive(
            {item.organisation: item.tokens for item in heard.grants or ()}
        )
        state.crashes.merge(
            {item.fingerprint: frozenset(item.lives) for item in heard.crashes or ()}
        )
        own = self._roster.own.region
        heard_s = self._clock.monotonic_s()
        for item in heard.waits or ():
            if item.region != own:
                wait_s = item.wait_ms / 1000
                state.loads.note_wait(item.region, item.service_name, wait_s, heard_s)
        if self._roster.region_of(heard.sender.data_centre) != own:
            return
        if heard.work is None:
            return
        if self._roster.is_hub():
            state.work.note_member(heard.sender.instance, heard.work)
        else:
            state.work.note_others(heard.work)
