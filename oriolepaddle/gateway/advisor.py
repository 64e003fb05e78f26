"""Suggests to callers which instances to send their requests to."""

from typing import Protocol

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Organisation
from oriolepaddle.gateway.forwarder import InstanceFinder
from oriolepaddle.membership import Suggestion
from oriolepaddle.publication import Instance

__all__ = ["PoolingInstanceFinder", "InstanceAdvisor"]

SUGGESTED_INSTANCES = 3
MAX_CANDIDATES = 64
MAX_POOLED_RATE_FRACTION = 0.02
"""The largest fraction of all organisations' rates at which an organisation's requests
are concentrated on one instance; beyond it, that instance would get too much load."""


class PoolingInstanceFinder(Protocol):
    """Finds the instance that pools an organisation's tokens."""

    def pooling_instance(self, organisation_id: str) -> str:
        """Return the id of this data centre's pooling instance.

        The other instances of the data centre draw missing tokens from it first.
        """
        ...


class InstanceAdvisor:
    """Suggests instances to a caller, in order of preference.

    For a small organisation, its pooling instance comes first if it is a candidate:
    requests there need no tokens from other instances, so the traffic between
    instances is least. Larger organisations are spread over all instances in
    proportion to the sizes of the instances.

    Args:
        finder: Finds instances, the larger ones more often first; omits draining and
            unreachable ones.
        pooling_finder: Finds the pooling instances of organisations.
        config: The merged configuration.
    """

    def __init__(
        self,
        finder: InstanceFinder,
        pooling_finder: PoolingInstanceFinder,
        config: ConfigState,
    ) -> None:
        self._finder = finder
        self._pooling_finder = pooling_finder
        self._config = config
        self._rates_digest: int | None = None
        self._total_rate = 0.0

    def advise(self, place: str, organisation: Organisation | None) -> Suggestion:
        """Return the instances to use, in order of preference.

        Args:
            place: A data centre or a region.
            organisation: The caller's organisation, or None if unknown.
        """
        if organisation is None or not self._is_small(organisation):
            return self._finder.suggest_instances(place, SUGGESTED_INSTANCES)
        found = self._finder.suggest_instances(place, MAX_CANDIDATES)
        pooling_instance = self._pooling_finder.pooling_instance(organisation.id)
        ordered = sorted(
            found.instances, key=lambda item: _is_other(item, pooling_instance)
        )
        instances = tuple(ordered[:SUGGESTED_INSTANCES])
        return Suggestion(instances, found.valid_for)

    def _is_small(self, organisation: Organisation) -> bool:
        digest = self._config.digest
        if digest != self._rates_digest:
            rates = [item.rate_tokens_per_s for item in self._config.organisations()]
            self._total_rate = sum(rates)
            self._rates_digest = digest
        return (
            organisation.rate_tokens_per_s
            <= MAX_POOLED_RATE_FRACTION * self._total_rate
        )


def _is_other(instance: Instance, pooling_instance: str) -> bool:
    return instance.id != pooling_instance
