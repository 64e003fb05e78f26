"""Organisations as the document publishes them."""

import attrs

from oriolepaddle.config.model import Organisation

__all__ = ["RatedOrganisation"]


@attrs.frozen
class RatedOrganisation:
    """An organisation with what the document says beside its rate.

    Attributes:
        organisation: Its id, rate, burst and residency; a rate of 0 is none.
        priority: Its rank, 0 first, which goes before the route's; None if it
            has none.
        is_token_rated: Whether its rate counts tokens and not requests.
        plain_tokens: What a request without token counts uses.
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
        """Whether it has a rate."""
        return self.organisation.rate_tokens_per_s > 0
