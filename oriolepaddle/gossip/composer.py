"""Composing announcements for hubs, members and other regions."""

from collections.abc import Iterable

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.gossip.crashes import write_crash
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.numbers import to_ms
from oriolepaddle.gossip.region_waits import (
    TYPICAL_PROMPT_TOKENS,
    write_own_wait,
    write_wait,
)
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.gossip.signals import write_leaving, write_limit
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    EndpointCrash,
    InstanceRecord,
    RegionWait,
    TokenBalance,
    TokenGrant,
)
from oriolepaddle.placement import find_used_fraction

__all__ = [
    "MICROSECONDS_PER_S",
    "AnnouncementComposer",
    "Contact",
    "LastAnnouncement",
    "add_grants",
    "write_record",
]

MICROSECONDS_PER_S = 1_000_000
MEMBERS_INTERVAL_S = 0.9
"""Time between two instance lists to one receiver."""
MEMBERS_PER_REMOTE_REGION = 4
"""Instances of each remote region in an instance list: enough to forward requests
to."""
CRASHES_INTERVAL_S = 1.0
"""Time after which unchanged crash reports are sent again, as datagrams are lost."""
HUB_STATE_CACHE_S = 0.1
"""Time for which a hub sends its receivers the same state. It sends to tens of
them a second, each two to four times a second."""


@attrs.frozen
class LastAnnouncement:
    """The newest announcement received from an instance.

    Attributes:
        incarnation: The sender's incarnation.
        sent_at_us: The time at which it was sent, by that incarnation's clock.
        received_s: Monotonic time at which it was received.
    """

    incarnation: int = 0
    sent_at_us: int = 0
    received_s: float = float("-inf")


@attrs.define
class Contact:
    """The exchange of datagrams with one instance.

    Attributes:
        last_announcement: Its last announcement; replaced as a whole, since two
            threads use it.
        balances: The token balances that it last reported.
        members_sent_s: When an instance list was last sent to it.
        sent_s: When an announcement was last sent to it.
        crashes_sent_s: When crash reports were last sent to it.
    """

    last_announcement: LastAnnouncement = LastAnnouncement()
    balances: list[TokenBalance] = attrs.Factory(list)
    members_sent_s: float = float("-inf")
    sent_s: float = float("-inf")
    crashes_sent_s: float = float("-inf")


@attrs.frozen
class _HubState:
    """The state that a hub sends to all its receivers.

    Attributes:
        read_at_s: Monotonic time at which it was read.
        waits: The waits of this region.
        endpoints_s: Monotonic time as of which the endpoints were complete.
        digest: The digest of the endpoints at `endpoints_s` or later.
    """

    read_at_s: float
    waits: list[RegionWait]
    endpoints_s: float
    digest: int


class AnnouncementComposer:
    """Composes announcements with the fields that each receiver needs.

    Args:
        clock: The time.
        roster: The instances.
        state: What is announced.
    """

    def __init__(self, clock: Clock, roster: Roster, state: LocalState) -> None:
        self._clock = clock
        self._roster = roster
        self._state = state
        self._hub_state: _HubState | None = None
        # Public, like `list_services`, so that tests can replace it.
        self.estimate_wait_s = state.placer.estimate_s

    def compose(self, receiver: RosterEntry | None, contact: Contact) -> Announcement:
        """Return the announcement for a receiver; None stands for an unknown one."""
        announcement = self._make_base_announcement(contact)
        if receiver is None:
            return announcement
        is_same_region = receiver.instance.region == self._roster.own.region
        region_hubs = self._roster.hub_ids()
        if is_same_region:
            now_s = self._clock.monotonic_s()
            announcement.limits = [
                write_limit(entry, now_s)
                for entry in self._state.signals.select_to_send()
            ]
            announcement.leaving = [
                write_leaving(entry, now_s)
                for entry in self._state.signals.select_leaving_to_send()
            ]
        if is_same_region and receiver.id in region_hubs:
            announcement.work = self._state.work.own()
            self._add_delegation(announcement, receiver)
        elif is_same_region:
            announcement.work = self._state.work.sum_others(receiver.id)
        is_first = contact.members_sent_s == float("-inf")
        is_hub = self._roster.own.id in region_hubs
        if is_hub:
            self._add_hub_state(announcement, receiver, is_same_region)
        if is_first or is_hub:
            self._add_members(announcement, contact, is_same_region)
        return announcement

    def _make_base_announcement(self, contact: Contact) -> Announcement:
        # The time is read before the catalog's age, and the version after it, so
        # that a pause in between makes the catalog look older, never fresher.
        now_s = self._clock.monotonic_s()
        age_s = self._state.catalog.age_s()
        last_announcement = contact.last_announcement
        hold_s = now_s - last_announcement.received_s
        has_echo = last_announcement.sent_at_us > 0 and hold_s >= 0
        return Announcement(
            sender=write_record(self._roster.own_entry(), now_s),
            sent_at_us=_to_us(now_s),
            echo_us=last_announcement.sent_at_us if has_echo else None,
            echo_incarnation=last_announcement.incarnation if has_echo else None,
            held_us=_to_us(hold_s) if has_echo else None,
            version=self._state.catalog.version,
            knowledge_age_us=None if age_s == float("inf") else _to_us(age_s),
            delegates=False,
            crashes=self._list_crashes(contact, now_s),
        )

    def _list_crashes(
        self, contact: Contact, now_s: float
    ) -> list[EndpointCrash] | None:
        crashes = self._state.crashes
        is_due = now_s - contact.crashes_sent_s >= CRASHES_INTERVAL_S
        if not is_due and crashes.changed_s < contact.crashes_sent_s:
            return None
        contact.crashes_sent_s = now_s
        return [write_crash(report, now_s) for report in crashes.select_to_send()]

    def _add_delegation(
        self, announcement: Announcement, receiver: RosterEntry
    ) -> None:
        chosen = self._roster.token_hub()
        is_chosen = chosen is not None and chosen.id == receiver.id
        announcement.delegates = is_chosen and self._state.delegations.may_delegate(
            receiver.id
        )

    def _add_hub_state(
        self,
        announcement: Announcement,
        receiver: RosterEntry,
        is_same_region: bool,
    ) -> None:
        state = self._state
        hub_state = self._read_hub_state()
        announcement.waits = hub_state.waits + (
            self._list_remote_waits() if is_same_region else []
        )
        if hub_state.endpoints_s != float("-inf"):
            age_s = self._clock.monotonic_s() - hub_state.endpoints_s
            announcement.endpoints_age_us = _to_us(age_s)
            announcement.catalog_digest = hub_state.digest
        region = receiver.instance.region
        if receiver.id in self._roster.hub_ids(region):
            announcement.balances = [
                TokenBalance(name, need.spare, need.wanted)
                for name, need in state.limiter.needs().items()
            ]

    def _add_members(
        self, announcement: Announcement, contact: Contact, is_same_region: bool
    ) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - contact.members_sent_s >= MEMBERS_INTERVAL_S:
            contact.members_sent_s = now_s
            announcement.members = self._list_members(is_same_region)
            announcement.counts = self._roster.counts()

    def _read_hub_state(self) -> _HubState:
        hub_state = self._hub_state
        now_s = self._clock.monotonic_s()
        if hub_state is None or now_s - hub_state.read_at_s >= HUB_STATE_CACHE_S:
            catalog = self._state.catalog
            # As with the document, the time is read before the state that it dates.
            endpoints_s = catalog.endpoints_confirmed_at_s
            hub_state = _HubState(
                now_s, self._list_own_waits(), endpoints_s, catalog.digest()
            )
            self._hub_state = hub_state
        return hub_state

    def list_services(self) -> Iterable[str]:
        """Return the services whose waits are announced."""
        document = self._state.catalog.document
        return document.services if document else ()

    def _list_own_waits(self) -> list[RegionWait]:
        own = self._roster.own.region
        waits = []
        for name in self.list_services():
            wait_s = self.estimate_wait_s(name, TYPICAL_PROMPT_TOKENS)
            used = find_used_fraction(self._state.catalog, self._state.placer, name)
            waits.append(write_own_wait(own, name, wait_s, used))
        return waits

    def _list_remote_waits(self) -> list[RegionWait]:
        own = self._roster.own.region
        now_s = self._clock.monotonic_s()
        return [
            write_wait(item, now_s)
            for item in self._state.loads.waits()
            if item.region != own
        ]

    def _list_members(self, is_same_region: bool) -> list[InstanceRecord]:
        roster = self._roster
        now_s = self._clock.monotonic_s()
        alive = [roster.own_entry(), *roster.alive()]
        listed = []
        for region in roster.regions():
            # A receiver that does not know its own hubs yet learns of them from the
            # first instance that it is in contact with.
            selected = {item.id: item for item in roster.hubs(region)}
            others = [item for item in alive if item.instance.region == region]
            lists_all = is_same_region and region == roster.own.region
            limit = len(others) if lists_all else MEMBERS_PER_REMOTE_REGION
            selected |= {item.id: item for item in others[:limit]}
            listed += selected.values()
        return [write_record(item, now_s) for item in listed]


def add_grants(announcement: Announcement, grants: dict[str, int]) -> None:
    """Add the tokens that are granted to the receiver."""
    announcement.grants = [TokenGrant(name, tokens) for name, tokens in grants.items()]


def _to_us(duration_s: float) -> int:
    return int(duration_s * MICROSECONDS_PER_S)


def write_record(entry: RosterEntry, now_s: float) -> InstanceRecord:
    """Return the record that announces an instance to others."""
    age_ms = to_ms(now_s - entry.last_seen_s)
    return InstanceRecord(
        instance=entry.id,
        incarnation=entry.incarnation,
        data_centre=entry.instance.data_centre,
        caller_address=entry.instance.address,
        peer_address=entry.peer_address,
        size_thousandths=int(entry.instance.size * 1000),
        is_ready=entry.is_ready,
        is_leaving=entry.is_leaving,
        age_ms=age_ms,
    )
