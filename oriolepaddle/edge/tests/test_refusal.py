import pytest

from oriolepaddle.edge.refusal import find_status
from oriolepaddle.errors import ErrorCode, OriolepaddleError, Outcome

NOT_RUN_STATUSES = {408, 421, 429, 503}


class TestStatus:
    @pytest.mark.parametrize("code", ErrorCode)
    @pytest.mark.parametrize("outcome", Outcome)
    def test_status_for_not_run_is_used_for_that_outcome_only(self, code, outcome):
        status = find_status(OriolepaddleError("", code=code, outcome=outcome))
        if outcome is not Outcome.NOT_RUN:
            assert status in (502, 504)
        assert status not in NOT_RUN_STATUSES or outcome is Outcome.NOT_RUN
