"""Settings of the retry policy."""

from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["RetrySettings"]


@attrs.frozen
class RetrySettings:
    """Limits on retries.

    Attributes:
        max_attempts: The most tries of one request, the first included.
        budget_ratio: Retries that each successful request of this instance
            allows; the bound on the retries that any fault can add.
        budget_cap: The most retries that the instance can save up.
        timeout_cost: What a retry after a timeout counts for, at least 1; more
            keeps retries down when endpoints are overloaded.
        organisation_cap: The most retries that one organisation can save up.
        organisation_share: The part of the instance's retries that flows to
            each organisation beside what its own successes allow.
        endpoint_cap: The most retries that one endpoint's failures can cause
            at once.
        endpoint_share: The part of the instance's retries that one endpoint's
            failures can cause.
        max_organisations: Organisations whose budgets are kept in memory.
        max_endpoints: Endpoints whose budgets are kept in memory.
        first_delay: Upper end of the random delay before the first retry.
        max_delay: Upper end of the random delay before any retry.
        min_remaining: Time before the deadline under which no try is made.
    """

    max_attempts: int = 3
    budget_ratio: float = 0.08
    budget_cap: float = 10.0
    timeout_cost: float = 1.5
    organisation_cap: float = 5.0
    organisation_share: float = 0.02
    endpoint_cap: float = 5.0
    endpoint_share: float = 0.8
    max_organisations: int = 32_768
    max_endpoints: int = 8_192
    first_delay: timedelta = timedelta(milliseconds=25)
    max_delay: timedelta = timedelta(seconds=1)
    min_remaining: timedelta = timedelta(milliseconds=50)

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.budget_ratio < 1:
            raise SettingsError(f"budget_ratio {self.budget_ratio} is not in [0, 1)")
        if self.max_attempts < 1:
            raise SettingsError(f"max_attempts {self.max_attempts} is under 1")
        if self.timeout_cost < 1:
            raise SettingsError(f"timeout_cost {self.timeout_cost} is under 1")
