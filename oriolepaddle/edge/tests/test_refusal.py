import pytest

from oriolepaddle.edge.refusal import find_status
from oriolepaddle.errors import ErrorCode, OriolepaddleError, Outcome

PROMISES = {408, 421, 429, 503}


class TestStatus:
    @pytest.mark.parametrize("code", ErrorCode)
    @pytest.mark.parametrize("outcome", Outcome)
    def test_promises_not_run_only_when_it_is_so(self, code, outcome):
        status = find_status(OriolepaddleError("", code=code, outcome=outcome))
        if outcome is not Outcome.NOT_RUN:
            assert status in (502, 504)
        assert status not in PROMISES or outcome is Outcome.NOT_RUN
