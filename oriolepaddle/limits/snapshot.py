"""State of one organisation's limit at one instance, for operators."""

import attrs

__all__ = ["LimitSnapshot"]


@attrs.frozen
class LimitSnapshot:
    """An organisation's tokens at one instance.

    Attributes:
        organisation: The organisation's id.
        pooling_instance: The instance of this data centre that pools its tokens.
        claim: This instance's fraction of its data centre's share.
        fraction: The data centre's fraction of each rate and burst.
        share: The fraction of the organisation's rate and burst minted here.
        lent: The share lent to other instances.
        borrowed: The share borrowed from other instances.
        loans: The number of lent and borrowed loans.
        balance_tokens: Tokens that can be reserved immediately.
        demand_tokens_per_s: Moving average of the tokens requested here.
        is_warm: Whether this instance knows all members that may hold a claim.
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
