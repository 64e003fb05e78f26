"""Membership: who is in the fleet, and who can be reached."""

from oriolepaddle.membership.view import MembershipView

__all__ = ["MembershipView"]
