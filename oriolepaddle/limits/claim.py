"""This instance's claim and the share that its loans may still use."""

__all__ = ["OwnClaim"]


class OwnClaim:
    """A claim that shrinks only after the loans made from it have run out.

    Args:
        loan_s: Maximum duration of a loan in seconds.
    """

    def __init__(self, loan_s: float) -> None:
        self.claim = 0.0
        self._loan_s = loan_s
        self._released_claims: list[tuple[float, float]] = []
        self._pending_reductions: list[tuple[float, float]] = []

    @property
    def lendable_claim(self) -> float:
        """The part of the claim from which loans may be made and renewed."""
        return min([self.claim, *(claim for _, claim in self._pending_reductions)])

    @property
    def is_shrinking(self) -> bool:
        """Whether a reduction of the claim is pending."""
        return bool(self._pending_reductions)

    def outstanding(self, now_s: float) -> float:
        """Return the claim, or a larger released claim that loans may still use."""
        self._released_claims = [
            pair for pair in self._released_claims if pair[0] > now_s
        ]
        return max([self.claim, *(claim for _, claim in self._released_claims)])

    def grow(self, claim: float) -> None:
        """Raise the claim to `claim` if that is larger."""
        self.claim = max(self.claim, claim)

    def shrink(self, target: float, now_s: float) -> None:
        """Lower the claim to `target` after one loan duration.

        The reduction takes effect in a later call, once the loans have run out.
        """
        due_claims = [
            claim
            for effective_at_s, claim in self._pending_reductions
            if effective_at_s <= now_s
        ]
        self._pending_reductions = [
            reduction for reduction in self._pending_reductions if reduction[0] > now_s
        ]
        self.claim = min([self.claim, *due_claims])
        if self.lendable_claim > target:
            self._pending_reductions.append((now_s + self._loan_s, target))

    def release(self, now_s: float) -> None:
        """Stop minting immediately; loans made earlier run out on their own."""
        if self.claim > 0:
            self._released_claims.append((now_s + self._loan_s, self.claim))
        self.claim = 0.0
        self._pending_reductions.clear()
