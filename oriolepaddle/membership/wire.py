"""Conversion between members, load summaries and their thrift structs."""

from datetime import timedelta

from oriolepaddle.membership.load import LoadSummary
from oriolepaddle.membership.member import Member
from oriolepaddle.peers import PeerService
from oriolepaddle.peers.gen_py.membership import Membership
from oriolepaddle.peers.gen_py.membership.ttypes import LoadRecord, MemberRecord
from oriolepaddle.publication import Instance, InstanceState

__all__ = [
    "MEMBERSHIP_SERVICE",
    "read_load",
    "read_member",
    "write_load",
    "write_member",
]

MEMBERSHIP_SERVICE = PeerService(name="membership", module=Membership)
MS_PER_S = 1000
S_PER_MIN = 60
MAX_I32 = 2**31 - 1


def write_member(member: Member, now_s: float) -> MemberRecord:
    """Write a member, with its age in place of the time at which it was seen."""
    instance = member.instance
    return MemberRecord(
        instance=instance.id,
        incarnation=member.incarnation,
        data_centre=instance.data_centre,
        caller_address=instance.caller_address,
        peer_address=instance.peer_address,
        size_thousandths=_clip(instance.size * MS_PER_S),
        is_leaving=member.is_leaving,
        age_ms=round((now_s - member.last_seen_s) * MS_PER_S),
    )


def read_member(record: MemberRecord, now_s: float) -> Member:
    """Read a member, with its age converted to a time of this instance's clock."""
    instance = Instance(
        id=record.instance,
        data_centre=record.data_centre,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        state=InstanceState.LEAVING if record.is_leaving else InstanceState.LIVE,
        size=record.size_thousandths / MS_PER_S,
    )
    age_s = max(0, record.age_ms) / MS_PER_S
    return Member(instance, record.incarnation, now_s - age_s)


def write_load(summary: LoadSummary) -> LoadRecord:
    """Write a load summary."""
    return LoadRecord(
        data_centre=summary.data_centre,
        route=summary.route,
        queueing_ms=_clip(summary.queueing.total_seconds() * MS_PER_S),
        free_slots=_clip(summary.free_slots),
        age_ms=_clip(summary.age.total_seconds() * MS_PER_S),
        requests_per_min=_clip(summary.requests_per_s * S_PER_MIN),
        prefill_tokens_per_s=_clip(summary.prefill_tokens_per_s),
    )


def read_load(record: LoadRecord) -> LoadSummary:
    """Read a load summary."""
    return LoadSummary(
        data_centre=record.data_centre,
        route=record.route,
        queueing=timedelta(milliseconds=record.queueing_ms),
        free_slots=record.free_slots,
        age=timedelta(milliseconds=max(0, record.age_ms)),
        requests_per_s=(record.requests_per_min or 0) / S_PER_MIN,
        prefill_tokens_per_s=float(record.prefill_tokens_per_s or 0),
    )


def _clip(number: float) -> int:
    return max(0, min(MAX_I32, round(number)))
