"""Settings of the retry policy."""

from datetime import timedelta

import attrs

from oriolepaddle.errors import SettingsError

__all__ = ["RetrySettings"]


@attrs.frozen
class RetrySettings:
    """Limits on retries.

    Attributes:
        max_attempts: Maximum attempts of one request, including the first.
        budget_ratio: Retries added to the budget by each successful request of
            this instance; bounds the additional load under any fault.
        budget_cap: Maximum retry budget of the instance.
        timeout_cost: Cost of a retry after a timeout, at least 1; higher values
            reduce retries while endpoints are overloaded.
        organisation_cap: Maximum retry budget of one organisation.
        organisation_share: Fraction of the instance's retries added to each
            organisation's budget, besides those of its own successes.
        endpoint_cap: Maximum retry budget for the failures of one endpoint.
        endpoint_share: Fraction of the instance's retries that failures of one
            endpoint can use.
        max_organisations: Maximum number of organisations with a budget in memory.
        max_endpoints: Maximum number of endpoints with a budget in memory.
        first_delay: Upper end of the random delay before the first retry.
        max_delay: Upper end of the random delay before any retry.
        min_remaining: Minimum time before the deadline for another attempt.
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
            raise SettingsError(
                f"budget_ratio must be in [0, 1), not {self.budget_ratio}"
            )
        if self.max_attempts < 1:
            raise SettingsError(
                f"max_attempts must be at least 1, not {self.max_attempts}"
            )
        if self.timeout_cost < 1:
            raise SettingsError(
                f"timeout_cost must be at least 1, not {self.timeout_cost}"
            )
