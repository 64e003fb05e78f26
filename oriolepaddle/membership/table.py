"""What is known of the fleet: the published list and what peers say."""

from collections.abc import Iterator

import attrs

from oriolepaddle.membership.member import Member
from oriolepaddle.publication import Instance, InstanceList, InstanceState

__all__ = ["MemberTable", "RECORD_LIFE_S"]

RECORD_LIFE_S = 300.0


class MemberTable:
    """Members by id. Not thread-safe; `Membership` holds its lock.

    Args:
        own: This instance's own record, which nobody else can change.
        seeds: Instances known from the settings.
    """

    def __init__(self, own: Member, seeds: tuple[Instance, ...] = ()) -> None:
        self.own = own
        self._seeds = {seed.id: seed for seed in seeds}
        self._heard: dict[str, Member] = {}
        self._listed: dict[str, Instance] = {}
        # The incarnation held when the list last said that it is leaving: a
        # later life is not bound by that word.
        self._listed_leaving: dict[str, int] = {}
        self.published: InstanceList | None = None
        self.is_superseded = False

    def apply_list(self, instances: InstanceList) -> bool:
        """Take over a list unless a later one is held; tell whether it was."""
        held = self.published
        if held is not None and instances.revision < held.revision:
            return False
        self.published = instances
        self._listed = {instance.id: instance for instance in instances.instances}
        leaving = [
            name
            for name, instance in self._listed.items()
            if instance.state is InstanceState.LEAVING
        ]
        self._listed_leaving = {
            name: self._listed_leaving.get(name, self.incarnation(name) or 0)
            for name in leaving
        }
        return True

    def merge(self, member: Member) -> bool:
        """Merge what was heard of an instance; tell whether it is news."""
        name = member.instance.id
        if name == self.own.instance.id:
            self._check_own(member)
            return False
        held = self._heard.get(name)
        if held is None:
            self._heard[name] = member
            return True
        if member.incarnation < held.incarnation:
            return False
        if member.incarnation > held.incarnation:
            self._heard[name] = attrs.evolve(member, has_restarted=True)
            return True
        return self._refresh(held, member)

    def touch(
        self, name: str, incarnation: int, is_leaving: bool, now_s: float
    ) -> bool:
        """Merge the bare word of an instance that is itself on the line."""
        instance = self.instance(name)
        if instance is None:
            return False
        state = InstanceState.LEAVING if is_leaving else InstanceState.LIVE
        return self.merge(
            Member(attrs.evolve(instance, state=state), incarnation, now_s)
        )

    def expire(self, now_s: float) -> None:
        """Forget instances that are not listed and were not heard for long."""
        oldest_s = now_s - RECORD_LIFE_S
        gone = [
            name
            for name, member in self._heard.items()
            if member.heard_at_s < oldest_s and name not in self._listed
        ]
        for name in gone:
            del self._heard[name]

    def instance(self, name: str) -> Instance | None:
        """Return an instance that is listed, heard of or a seed, or None."""
        if name == self.own.instance.id:
            return self.own.instance
        member = self._heard.get(name)
        listed = self._listed.get(name)
        if member is None:
            return listed or self._seeds.get(name)
        if listed is None:
            return member.instance
        # The list's addresses go before hearsay; the instance's own word on
        # its state goes before the list, which lags.
        state = InstanceState.LEAVING if self.is_leaving(name) else InstanceState.LIVE
        return attrs.evolve(listed, state=state)

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance is leaving by its own or the list's word."""
        if name == self.own.instance.id:
            return self.own.is_leaving
        member = self._heard.get(name)
        if member is not None and member.is_leaving:
            return True
        bound = self._listed_leaving.get(name)
        if bound is None:
            return False
        return member is None or member.incarnation <= bound

    def incarnation(self, name: str) -> int | None:
        """Return the incarnation last heard of an instance, or None."""
        if name == self.own.instance.id:
            return self.own.incarnation
        member = self._heard.get(name)
        return None if member is None else member.incarnation

    def heard(self) -> tuple[Member, ...]:
        """Return the members that were heard, this instance first."""
        return (self.own, *self._heard.values())

    def names(self) -> Iterator[str]:
        """Iterate over the ids of all known instances, this one included."""
        seeds = () if self.published else self._seeds
        return iter({self.own.instance.id, *self._listed, *self._heard, *seeds})

    def is_listed(self, name: str) -> bool:
        """Return whether the published list holds an instance."""
        return name in self._listed

    def is_news(self, member: Member) -> bool:
        """Return whether peers are to be told of a member by each other."""
        if member is self.own or member.has_restarted or member.is_leaving:
            return True
        return member.instance.id not in self._listed

    def _refresh(self, held: Member, member: Member) -> bool:
        # Within one life, leaving is never taken back.
        instance = held.instance if held.is_leaving else member.instance
        is_changed = instance != held.instance
        heard_at_s = max(held.heard_at_s, member.heard_at_s)
        self._heard[held.instance.id] = attrs.evolve(
            held, instance=instance, heard_at_s=heard_at_s
        )
        return is_changed

    def _check_own(self, member: Member) -> None:
        if member.incarnation > self.own.incarnation:
            self.is_superseded = True
