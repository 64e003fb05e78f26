"""What operators see of one organisation at one instance."""

import attrs

__all__ = ["LimitSnapshot"]


@attrs.frozen
class LimitSnapshot:
    """An organisation's tokens at one instance.

    Attributes:
        organisation: The organisation's id.
        pooling_instance: The instance of this data centre that pools its share.
        claim: This instance's part of its data centre's share, from 0 to 1.
        fraction: The data centre's part of each rate and burst, from 0 to 1.
        share: The part of the organisation's rate and burst minted here.
        lent: The part lent to other instances.
        borrowed: The part borrowed from other instances.
        loans: The number of loans given and taken.
        balance_tokens: Tokens that may be reserved here at once.
        demand_tokens_per_s: Tokens asked for here of late.
        is_warm: Whether this instance knows all that may hold a claim.
    """

    organisation: str
    pooling_instance: str
    claim: float
    fraction: float
    share: float
    lent: float
    borrowed: float
    loans: int
    balance_tokens: float
    demand_tokens_per_s: float
    is_warm: bool
