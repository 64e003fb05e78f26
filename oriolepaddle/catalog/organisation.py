"""Organisations as the document publishes them."""

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["RatedOrganisation"]


@attrs.frozen
class RatedOrganisation:
    """An organisation with its settings in the published document.

    Attributes:
        organisation: The id, rate, burst and residency; a rate of 0 means no limit.
        priority: The rank, 0 first, which overrides the route's; None if not set.
        is_token_rated: Whether the rate counts tokens instead of requests.
        plain_tokens: The tokens charged for a request without token counts.
    """

    organisation: Organisation
    priority: int | None = None
    is_token_rated: bool = False
    plain_tokens: int = 1

    @property
    def id(self) -> str:
        """The organisation's id."""
        return self.organisation.id

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has a rate limit."""
        return self.organisation.rate_tokens_per_s > 0
