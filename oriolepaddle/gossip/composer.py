"""Composing announcements for hubs, members and other regions."""

import attrs

from oriolepaddle.clock import Clock
from oriolepaddle.gossip.entry import RosterEntry
from oriolepaddle.gossip.local import LocalState
from oriolepaddle.gossip.numbers import to_ms
from oriolepaddle.gossip.region_loads import TYPICAL_PROMPT_TOKENS
from oriolepaddle.gossip.roster import Roster
from oriolepaddle.peers.gen_py.gossip.ttypes import (
    Announcement,
    CrashRecord,
    InstanceRecord,
    RegionWait,
    TokenBalance,
    TokenGrant,
)

__all__ = [
    "MICROSECONDS_PER_S",
    "AnnouncementComposer",
    "Contact",
    "LastHeard",
    "add_grants",
    "write_record",
]

MICROSECONDS_PER_S = 1_000_000
MEMBERS_INTERVAL_S = 0.9
"""Between two lists of instances to one receiver."""
FOREIGN_MEMBERS = 4
"""Instances of each other region that members are told: enough to pass requests
on to."""
HUB_STATE_S = 0.1
"""Time for which a hub tells its receivers the same state; it speaks with tens of
them a second, and each hears it twice to four times in that."""
MAX_CRASHES = 20


@attrs.frozen
class LastHeard:
    """The newest announcement of an instance.

    Attributes:
        incarnation: The life that sent it.
        sent_at_us: The time at which it was sent, by that life's clock.
        received_s: Monotonic time at which it came.
    """

    incarnation: int = 0
    sent_at_us: int = 0
    received_s: float = float("-inf")


@attrs.define
class Contact:
    """The exchange of datagrams with one instance.

    Attributes:
        last: What was heard last, replaced as a whole, as two threads use it.
        balances: What it said of its tokens.
        members_sent_s: When it was last sent a list of instances.
        sent_s: When it was last sent anything.
    """

    last: LastHeard = LastHeard()
    balances: list[TokenBalance] = attrs.Factory(list)
    members_sent_s: float = float("-inf")
    sent_s: float = float("-inf")


@attrs.frozen
class _HubState:
    """What a hub tells all its receivers alike.

    Attributes:
        made_s: Monotonic time at which it was read.
        waits: The waits of this region.
        endpoints_s: Monotonic time of which the endpoints were complete.
        digest: The digest of these endpoints or later ones.
    """

    made_s: float
    waits: list[RegionWait]
    endpoints_s: float
    digest: int


class AnnouncementComposer:
    """Writes what each receiver needs and no more.

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

    def compose(self, receiver: RosterEntry | None, contact: Contact) -> Announcement:
        """Return the announcement for a receiver, or for one not yet known."""
        announcement = self._begin(contact)
        if receiver is None:
            return announcement
        is_near = receiver.instance.region == self._roster.own.region
        near_hubs = self._roster.hub_ids()
        if is_near and receiver.id in near_hubs:
            announcement.work = self._state.work.own()
            self._add_delegation(announcement, receiver)
        elif is_near:
            announcement.work = self._state.work.sum_others(receiver.id)
        is_first = contact.members_sent_s == float("-inf")
        is_hub = self._roster.own.id in near_hubs
        if is_hub:
            self._add_hub_state(announcement, receiver, is_near)
        if is_first or is_hub:
            self._add_members(announcement, contact, is_near)
        return announcement

    def _begin(self, contact: Contact) -> Announcement:
        # The moment comes before the knowledge's age is read, and the version
        # after it: a pause in between makes the knowledge look older.
        now_s = self._clock.monotonic_s()
        age_s = self._state.catalog.age_s()
        last = contact.last
        held_s = now_s - last.received_s
        has_echo = last.sent_at_us > 0 and held_s >= 0
        return Announcement(
            sender=write_record(self._roster.own_entry(), now_s),
            sent_at_us=_to_us(now_s),
            echo_us=last.sent_at_us if has_echo else None,
            echo_incarnation=last.incarnation if has_echo else None,
            held_us=_to_us(held_s) if has_echo else None,
            version=self._state.catalog.version,
            knowledge_age_us=None if age_s == float("inf") else _to_us(age_s),
            delegates=False,
            crashes=[
                CrashRecord(name, sorted(lives))
                for name, lives in list(self._state.crashes.entries().items())[
                    -MAX_CRASHES:
                ]
            ],
        )

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
        is_near: bool,
    ) -> None:
        state = self._state
        held = self._read_hub_state()
        announcement.waits = held.waits + (self._list_far_waits() if is_near else [])
        if held.endpoints_s != float("-inf"):
            age_s = self._clock.monotonic_s() - held.endpoints_s
            announcement.endpoints_age_us = _to_us(age_s)
            announcement.catalog_digest = held.digest
        region = receiver.instance.region
        if receiver.id in self._roster.hub_ids(region):
            announcement.balances = [
                TokenBalance(name, need.spare, need.wanted)
                for name, need in state.limiter.needs().items()
            ]

    def _add_members(
        self, announcement: Announcement, contact: Contact, is_near: bool
    ) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - contact.members_sent_s >= MEMBERS_INTERVAL_S:
            contact.members_sent_s = now_s
            announcement.members = self._list_members(is_near)
            announcement.counts = self._roster.counts()

    def _read_hub_state(self) -> _HubState:
        held = self._hub_state
        now_s = self._clock.monotonic_s()
        if held is None or now_s - held.made_s >= HUB_STATE_S:
            catalog = self._state.catalog
            # As with the document, the time is read before what it is the time of.
            endpoints_s = catalog.endpoints_confirmed_at_s
            held = _HubState(
                now_s, self._list_own_waits(), endpoints_s, catalog.digest()
            )
            self._hub_state = held
        return held

    def _list_own_waits(self) -> list[RegionWait]:
        state = self._state
        own = self._roster.own.region
        document = state.catalog.document
        waits = []
        for name in document.services if document else ():
            wait_s = state.placer.estimate_s(name, TYPICAL_PROMPT_TOKENS)
            if wait_s is not None:
                waits.append(RegionWait(own, name, to_ms(wait_s)))
        return waits

    def _list_far_waits(self) -> list[RegionWait]:
        own = self._roster.own.region
        return [
            RegionWait(region, service, to_ms(wait_s))
            for region, service, wait_s in self._state.loads.waits()
            if region != own
        ]

    def _list_members(self, is_near: bool) -> list[InstanceRecord]:
        roster = self._roster
        now_s = self._clock.monotonic_s()
        everyone = [roster.own_entry(), *roster.alive()]
        listed = []
        for region in roster.regions():
            # A receiver that does not know its own hubs yet learns of them from
            # whomever it has met first.
            known = {item.id: item for item in roster.hubs(region)}
            others = [item for item in everyone if item.instance.region == region]
            is_whole = is_near and region == roster.own.region
            most = len(others) if is_whole else FOREIGN_MEMBERS
            known |= {item.id: item for item in others[:most]}
            listed += known.values()
        return [write_record(item, now_s) for item in listed]


def add_grants(announcement: Announcement, grants: dict[str, int]) -> None:
    """Add tokens that the receiver is given."""
    announcement.grants = [TokenGrant(name, tokens) for name, tokens in grants.items()]


def _to_us(duration_s: float) -> int:
    return int(duration_s * MICROSECONDS_PER_S)


def write_record(entry: RosterEntry, now_s: float) -> InstanceRecord:
    """Return what others are told of an instance."""
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
