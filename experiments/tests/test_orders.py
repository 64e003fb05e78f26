import pytest

from experiments.orders.measurement import (
    make_answer,
    measure_costs,
    measure_record_bytes,
)
from experiments.orders.retention import compute_retention
from oriolepaddle.orders import OrderLimits
from oriolepaddle.orders.limits import LEDGER_BYTES, RECORD_BYTES


class TestOrderMeasurement:
    @pytest.mark.parametrize("answer_bytes", [None, 0, 1_000])
    def test_accounted_bytes_cover_measured_bytes(self, answer_bytes):
        accounted_bytes = RECORD_BYTES
        if answer_bytes is not None:
            accounted_bytes += make_answer(answer_bytes).size_bytes
        assert measure_record_bytes(2_000, answer_bytes) <= accounted_bytes

    def test_accounted_bytes_cover_organisations(self):
        used_bytes = measure_record_bytes(2_000, None, organisations=2_000)
        assert used_bytes <= RECORD_BYTES + LEDGER_BYTES

    def test_steps_are_measured(self):
        assert len(measure_costs(100)) == 7

    def test_lifetime_and_memory_limit_retention(self):
        limits = OrderLimits()
        slow = compute_retention(limits, 0.1, 1_000)
        assert slow.answers_h == slow.records_h == 6.0
        fast = compute_retention(limits, 100.0, 1_000)
        rate_bytes_per_h = 100.0 * 3_600
        used_bytes = fast.answers_h * rate_bytes_per_h * 1_000
        used_bytes += fast.records_h * rate_bytes_per_h * RECORD_BYTES
        assert 0 < fast.answers_h < fast.records_h < 6.0
        assert used_bytes == pytest.approx(limits.max_bytes)
