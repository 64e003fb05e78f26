"""Telling callers which entry instances to use."""

from typing import Protocol

from oriolepaddle.config import ConfigState
from oriolepaddle.config.model import Organisation
from oriolepaddle.gateway.forwarder import InstanceFinder
from oriolepaddle.membership import Suggestion
from oriolepaddle.publication import Instance

__all__ = ["PoolingInstanceFinder", "InstanceAdvisor"]

SUGGESTED_INSTANCES = 3
MAX_CANDIDATES = 64
MAX_HOMED_PART = 0.02
"""Part of all rates above which one instance would carry too much."""


class PoolingInstanceFinder(Protocol):
    """Tells at which instance an organisation's tokens are pooled."""

    def pooling_instance(self, organisation_id: str) -> str:
        """Return the instance here at which a request needs no draw."""
        ...


class InstanceAdvisor:
    """Orders instances for one caller.

    The home of a small organisation comes first: there its requests need no
    tokens from other instances, which costs the least traffic between them.
    Larger organisations are spread over all instances by their size.

    Args:
        finder: Orders instances by size, without leaving or unreachable ones.
        homes: Tells the homes of organisations.
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
        self._digest: int | None = None
        self._all_rates = 0.0

    def advise(self, place: str, organisation: Organisation | None) -> Suggestion:
        """Return the instances to use, the one to try first in front.

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
        if digest != self._digest:
            rates = [item.rate_tokens_per_s for item in self._config.organisations()]
            self._all_rates = sum(rates)
            self._digest = digest
        return organisation.rate_tokens_per_s <= MAX_HOMED_PART * self._all_rates


def _is_other(instance: Instance, pooling_instance: str) -> bool:
    return instance.id != pooling_instance
