"""Which instances keep the answers of an issuer that left."""

from oriolepaddle.membership import MembershipView
from oriolepaddle.membership.rendezvous import rank_instances
from oriolepaddle.peers import PeerIdentity

__all__ = ["rank_successors"]


def rank_successors(view: MembershipView, issuer: PeerIdentity) -> tuple[str, ...]:
    """Return the issuer's possible successors, the first choice first.

    They stand in the issuer's data centre, so that answers stay in its region.
    Views differ, so an asker tries more of them than the issuer handed to; a
    successor that is missed costs an answer, never a second run.

    Args:
        view: The fleet as this instance sees it.
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
