"""The known members of the fleet, from the published list and from peers."""

from collections.abc import Iterator

import attrs

from oriolepaddle.membership.member import Member
from oriolepaddle.publication import Instance, InstanceList, InstanceState

__all__ = ["MEMBER_RECORD_TTL_S", "MemberTable"]

MEMBER_RECORD_TTL_S = 300.0


class MemberTable:
    """Members by id. Not thread-safe; guarded by the lock of `Membership`.

    Args:
        own: This instance's own record, which peers' records do not change.
        seeds: Instances known from the settings.
    """

    def __init__(self, own: Member, seeds: tuple[Instance, ...] = ()) -> None:
        self.own = own
        self._seeds = {seed.id: seed for seed in seeds}
        self._members: dict[str, Member] = {}
        self._listed: dict[str, Instance] = {}
        # The incarnation that was known when the list began to report an instance
        # as leaving. The report does not apply to later incarnations.
        self._listed_leaving_incarnations: dict[str, int] = {}
        self.published: InstanceList | None = None
        self.is_superseded = False

    def apply_list(self, instances: InstanceList) -> bool:
        """Apply a list unless a later one was applied; return whether it was."""
        stored = self.published
        if stored is not None and instances.revision < stored.revision:
            return False
        self.published = instances
        self._listed = {instance.id: instance for instance in instances.instances}
        leaving = [
            name
            for name, instance in self._listed.items()
            if instance.state is InstanceState.LEAVING
        ]
        self._listed_leaving_incarnations = {
            name: self._listed_leaving_incarnations.get(
                name, self.incarnation(name) or 0
            )
            for name in leaving
        }
        return True

    def merge(self, member: Member) -> bool:
        """Merge an instance's record; return whether its known state changed."""
        name = member.instance.id
        if name == self.own.instance.id:
            self._check_own(member)
            return False
        stored = self._members.get(name)
        if stored is None:
            self._members[name] = member
            return True
        if member.incarnation < stored.incarnation:
            return False
        if member.incarnation > stored.incarnation:
            self._members[name] = attrs.evolve(member, has_restarted=True)
            return True
        return self._refresh(stored, member)

    def touch(
        self, name: str, incarnation: int, is_leaving: bool, now_s: float
    ) -> bool:
        """Merge the state that an instance reports of itself in a message."""
        instance = self.instance(name)
        if instance is None:
            return False
        state = InstanceState.LEAVING if is_leaving else InstanceState.LIVE
        return self.merge(
            Member(attrs.evolve(instance, state=state), incarnation, now_s)
        )

    def expire(self, now_s: float) -> None:
        """Remove instances that are not listed and were not seen recently."""
        oldest_s = now_s - MEMBER_RECORD_TTL_S
        expired = [
            name
            for name, member in self._members.items()
            if member.last_seen_s < oldest_s and name not in self._listed
        ]
        for name in expired:
            del self._members[name]

    def instance(self, name: str) -> Instance | None:
        """Return an instance that is listed, known from peers or a seed, or None."""
        if name == self.own.instance.id:
            return self.own.instance
        member = self._members.get(name)
        listed = self._listed.get(name)
        if member is None:
            return listed or self._seeds.get(name)
        if listed is None:
            return member.instance
        # The list's addresses take precedence over those from peers. The state
        # that the instance reports takes precedence over the list, which lags.
        state = InstanceState.LEAVING if self.is_leaving(name) else InstanceState.LIVE
        return attrs.evolve(listed, state=state)

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance is leaving by its own report or by the list."""
        if name == self.own.instance.id:
            return self.own.is_leaving
        member = self._members.get(name)
        if member is not None and member.is_leaving:
            return True
        leaving_incarnation = self._listed_leaving_incarnations.get(name)
        if leaving_incarnation is None:
            return False
        return member is None or member.incarnation <= leaving_incarnation

    def incarnation(self, name: str) -> int | None:
        """Return the latest known incarnation of an instance, or None."""
        if name == self.own.instance.id:
            return self.own.incarnation
        member = self._members.get(name)
        return None if member is None else member.incarnation

    def members(self) -> tuple[Member, ...]:
        """Return the members known from messages, this instance first."""
        return (self.own, *self._members.values())

    def names(self) -> Iterator[str]:
        """Iterate over the ids of all known instances, this one included."""
        seeds = () if self.published else self._seeds
        return iter({self.own.instance.id, *self._listed, *self._members, *seeds})

    def is_listed(self, name: str) -> bool:
        """Return whether the published list contains an instance."""
        return name in self._listed

    def should_relay(self, member: Member) -> bool:
        """Return whether peers relay a member's record to each other."""
        if member is self.own or member.has_restarted or member.is_leaving:
            return True
        return member.instance.id not in self._listed

    def _refresh(self, stored: Member, member: Member) -> bool:
        # Within one incarnation, leaving is final.
        instance = stored.instance if stored.is_leaving else member.instance
        is_changed = instance != stored.instance
        last_seen_s = max(stored.last_seen_s, member.last_seen_s)
        self._members[stored.instance.id] = attrs.evolve(
            stored, instance=instance, last_seen_s=last_seen_s
        )
        return is_changed

    def _check_own(self, member: Member) -> None:
        if member.incarnation > self.own.incarnation:
            self.is_superseded = True
