"""How soon an engine should begin a request, compared with others there."""

from datetime import timedelta

__all__ = ["USUAL", "find_urgency"]

FIRST, USUAL, LAST = 2, 5, 7
"""Ranks from 0 to 9, the lowest first; engines take `USUAL` where none is given."""
SHORT_PROMPT_TOKENS = 2_000
"""About what an engine reads in one step."""


def find_urgency(input_tokens: int, on_time: timedelta) -> int:
    """Return a request's rank.

    The load that this answers: short questions behind long prompts at a peak. A short
    one delays the long ones by a step, and a long one delays it by a tenth of a second.
    What is late already is not to make others late.

    Args:
        input_tokens: Tokens of its prompt.
        on_time: Time left in which its answer has to begin.
    """
    if on_time <= timedelta(0):
        return LAST
    return FIRST if input_tokens <= SHORT_PROMPT_TOKENS else USUAL
