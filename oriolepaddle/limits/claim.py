"""What one instance mints, and what loans out of it may still use."""

__all__ = ["OwnClaim"]


class OwnClaim:
    """A claim that shrinks only when the loans out of it have run out.

    Args:
        loan_s: The longest time that a loan lasts, in seconds.
    """

    def __init__(self, loan_s: float) -> None:
        self.claim = 0.0
        self._loan_s = loan_s
        self._held: list[tuple[float, float]] = []
        self._steps: list[tuple[float, float]] = []

    @property
    def lent_claim(self) -> float:
        """The part of the claim out of which loans may be made and renewed."""
        return min([self.claim, *(claim for _, claim in self._steps)])

    @property
    def is_shrinking(self) -> bool:
        """Whether the claim is about to be lowered."""
        return bool(self._steps)

    def held(self, now_s: float) -> float:
        """Return the claim with what loans made before it lapsed may still use."""
        self._held = [pair for pair in self._held if pair[0] > now_s]
        return max([self.claim, *(claim for _, claim in self._held)])

    def grow(self, claim: float) -> None:
        """Raise the claim to `claim`, if that is more."""
        self.claim = max(self.claim, claim)

    def shrink(self, target: float, now_s: float) -> None:
        """Lower the claim to `target` after the longest loan; call it again then."""
        due = [claim for at_s, claim in self._steps if at_s <= now_s]
        self._steps = [step for step in self._steps if step[0] > now_s]
        self.claim = min([self.claim, *due])
        if self.lent_claim > target:
            self._steps.append((now_s + self._loan_s, target))

    def give_up(self, now_s: float) -> None:
        """Stop minting at once; the loans made before run out."""
        if self.claim > 0:
            self._held.append((now_s + self._loan_s, self.claim))
        self.claim = 0.0
        self._steps.clear()
