"""Membership of the fleet: the known instances and which are reachable."""

from oriolepaddle.membership.handler import MembershipHandler
from oriolepaddle.membership.load import LoadSummary
from oriolepaddle.membership.member import MemberStatus
from oriolepaddle.membership.membership import Membership
from oriolepaddle.membership.suggestion import Suggestion
from oriolepaddle.membership.view import MembershipView
from oriolepaddle.membership.wire import MEMBERSHIP_SERVICE

__all__ = [
    "MEMBERSHIP_SERVICE",
    "LoadSummary",
    "MemberStatus",
    "Membership",
    "MembershipHandler",
    "MembershipView",
    "Suggestion",
]
