from datetime import timedelta

import pytest

from oriolepaddle.placement import find_urgency
from oriolepaddle.placement.urgency import FIRST, LAST, SHORT_PROMPT_TOKENS, USUAL

IN_TIME = timedelta(seconds=0.5)


class TestUrgency:
    @pytest.mark.parametrize(
        ("tokens", "on_time", "expected"),
        [
            (SHORT_PROMPT_TOKENS, IN_TIME, FIRST),
            (SHORT_PROMPT_TOKENS + 1, IN_TIME, USUAL),
            (100, timedelta(0), LAST),
            (9_000, -IN_TIME, LAST),
        ],
    )
    def test_short_prompts_come_first_and_late_ones_last(
        self, tokens, on_time, expected
    ):
        assert find_urgency(tokens, on_time) == expected

    def test_lower_comes_first(self):
        assert 0 <= FIRST < USUAL < LAST <= 9
