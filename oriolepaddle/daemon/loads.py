"""Exchange of load summaries with other data centres."""

from datetime import timedelta

from oriolepaddle.membership import LoadSummary as MembershipSummary, Membership
from oriolepaddle.routing import LoadSummary, Router

__all__ = ["LoadExchange"]


class LoadExchange:
    """Publishes this data centre's load and applies that of the others.

    Args:
        membership: Carries the summaries in its heartbeats.
        router: Provides this data centre's summaries and uses the others'.
    """

    def __init__(self, membership: Membership, router: Router) -> None:
        self._membership = membership
        self._router = router

    def run(self) -> None:
        """Publish and apply the summaries once."""
        for summary in self._router.load_summaries():
            self._membership.publish_load(_to_membership_summary(summary))
        received = self._membership.load_summaries()
        self._router.apply_summaries(
            _to_routing_summary(summary) for summary in received
        )


def _to_membership_summary(summary: LoadSummary) -> MembershipSummary:
    return MembershipSummary(
        data_centre=summary.data_centre,
        route=summary.route,
        queueing=timedelta(seconds=summary.queueing_s),
        free_slots=int(summary.free_slots),
        age=timedelta(seconds=summary.age_s),
        requests_per_s=summary.requests_per_s,
        prefill_tokens_per_s=summary.prefill_tokens_per_s,
    )


def _to_routing_summary(summary: MembershipSummary) -> LoadSummary:
    return LoadSummary(
        data_centre=summary.data_centre,
        route=summary.route,
        queueing_s=summary.queueing.total_seconds(),
        free_slots=float(summary.free_slots),
        age_s=summary.age.total_seconds(),
        requests_per_s=summary.requests_per_s,
        prefill_tokens_per_s=summary.prefill_tokens_per_s,
    )
