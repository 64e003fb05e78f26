import pytest

from oriolepaddle.placement.stall import (
    MAX_CHECK_GAP_S,
    MIN_STALL_S,
    STALL_INTERVALS,
    StallDetector,
)

CHECK_INTERVAL_S = 0.15
USUAL_INTERVAL_S = 0.05


def check_until(detector, end_s, find_activity_s, interval_s=USUAL_INTERVAL_S):
    """Return the time of the first check that finds a stall, or None."""
    now_s = 0.0
    while now_s < end_s:
        if detector.check(now_s, find_activity_s(now_s), interval_s):
            return now_s
        now_s += CHECK_INTERVAL_S
    return None


class TestStallDetector:
    @pytest.fixture
    def detector(self):
        return StallDetector()

    def test_finds_an_endpoint_that_stopped(self, detector):
        stalled_s = check_until(detector, 5.0, lambda now_s: min(now_s, 2.0))
        assert 2.0 + MIN_STALL_S <= stalled_s <= 2.0 + MIN_STALL_S + MAX_CHECK_GAP_S

    def test_stream_that_rests_beside_active_ones_is_not_stalled(self, detector):
        assert check_until(detector, 10.0, lambda now_s: now_s) is None

    def test_slow_streams_are_not_stalled(self, detector):
        """All events of a sound but slow engine are 1.5 s apart."""
        last_event_s = lambda now_s: now_s // 1.5 * 1.5  # noqa: E731
        assert check_until(detector, 20.0, last_event_s, interval_s=1.5) is None

    def test_slow_interval_allows_a_longer_silence(self, detector):
        stalled_s = check_until(detector, 5.0, lambda now_s: 0.0, interval_s=0.2)
        assert stalled_s >= STALL_INTERVALS * 0.2

    def test_pause_of_this_instance_is_not_the_endpoints(self, detector):
        assert not detector.check(0.0, 0.0, USUAL_INTERVAL_S)
        assert not detector.check(8.0, 0.0, USUAL_INTERVAL_S)
        assert not detector.check(8.1, 8.05, USUAL_INTERVAL_S)
