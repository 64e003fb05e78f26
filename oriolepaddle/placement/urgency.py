"""The scheduling rank of a request at an engine."""

from datetime import timedelta

__all__ = ["DEFAULT_URGENCY", "find_urgency"]

SHORT_PROMPT_URGENCY, DEFAULT_URGENCY, LATE_URGENCY = 2, 5, 7
"""Ranks from 0 to 9; lower ranks run first. Engines assume `DEFAULT_URGENCY` if a
request has none."""
SHORT_PROMPT_TOKENS = 2_000
"""About the number of tokens that an engine prefills in one step."""


def find_urgency(input_tokens: int, on_time: timedelta) -> int:
    """Return a request's scheduling rank.

    At peak load short prompts would queue behind long ones. A short prompt delays the
    long ones by one step, whereas a long one delays a short one by a tenth of a second.
    Requests that are already late come last, so that they do not make others late.

    Args:
        input_tokens: Tokens of its prompt.
        on_time: Time left until the first byte is due.
    """
    if on_time <= timedelta(0):
        return LATE_URGENCY
    return (
        SHORT_PROMPT_URGENCY if input_tokens <= SHORT_PROMPT_TOKENS else DEFAULT_URGENCY
    )
