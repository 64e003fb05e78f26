from datetime import timedelta

import pytest

from oriolepaddle.placement import find_urgency
from oriolepaddle.placement.urgency import (
    DEFAULT_URGENCY,
    LATE_URGENCY,
    SHORT_PROMPT_TOKENS,
    SHORT_PROMPT_URGENCY,
)

IN_TIME = timedelta(seconds=0.5)


class TestUrgency:
    @pytest.mark.parametrize(
        ("tokens", "on_time", "expected"),
        [
            (SHORT_PROMPT_TOKENS, IN_TIME, SHORT_PROMPT_URGENCY),
            (SHORT_PROMPT_TOKENS + 1, IN_TIME, DEFAULT_URGENCY),
            (100, timedelta(0), LATE_URGENCY),
            (9_000, -IN_TIME, LATE_URGENCY),
        ],
    )
    def test_short_prompts_come_first_and_late_ones_last(
        self, tokens, on_time, expected
    ):
        assert find_urgency(tokens, on_time) == expected

    def test_ranks_are_ordered_within_the_range(self):
        assert 0 <= SHORT_PROMPT_URGENCY < DEFAULT_URGENCY < LATE_URGENCY <= 9
