"""Selection of the instances that store the answers of an issuer that left."""

from oriolepaddle.membership import MembershipView
from oriolepaddle.membership.rendezvous import rank_instances
from oriolepaddle.peers import PeerIdentity

__all__ = ["rank_successors"]


def rank_successors(view: MembershipView, issuer: PeerIdentity) -> tuple[str, ...]:
    """Return the candidate successors of an issuer, the preferred one first.

    They are in the issuer's data centre, so that answers stay in its region.
    Views of the fleet differ, so a forwarder queries more candidates than the
    issuer transferred to. If it misses the successor, the answer is
    unavailable, but the order never runs twice.

    Args:
        view: This instance's view of the fleet.
        issuer: The instance that issued the orders.
    """
    published = view.published()
    listed = published.instances if published else ()
    candidates = [
        instance.id
        for instance in listed
        if instance.data_centre == issuer.data_centre and instance.id != issuer.instance
    ]
    return rank_instances(candidates, f"{issuer.instance}|{issuer.incarnation}")
