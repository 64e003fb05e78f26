import random
from collections import Counter
from types import SimpleNamespace

import pytest

from oriolepaddle.edge.forwarding import RegionForecast, choose_forecast, choose_peer
from oriolepaddle.edge.regions import PeerChoice
from oriolepaddle.placement import Choice, Job

LIMIT_S = 0.6
PEER = PeerChoice("s1", "sudur", "10.0.0.1:80", 0.25)


def _draw(*forecasts, limit_s=LIMIT_S, count=2000):
    generator = random.Random(1)
    chosen = [choose_forecast(forecasts, limit_s, generator) for _ in range(count)]
    return Counter(item.region if item else None for item in chosen)


class TestShare:
    """Guards against all instances handing over, or none, at one point of a report."""

    def test_is_the_chance_to_be_in_time(self):
        forecast = RegionForecast("sudur", 0.5, 0.1)
        assert forecast.find_share(0.5) == pytest.approx(0.5)
        assert forecast.find_share(0.6) == pytest.approx(0.841, abs=0.001)
        assert forecast.find_share(0.4) == pytest.approx(0.159, abs=0.001)

    def test_is_all_or_none_of_a_wait_that_does_not_change(self):
        forecast = RegionForecast("sudur", 0.5, 0.0)
        assert (forecast.find_share(0.5), forecast.find_share(0.49)) == (1.0, 0.0)

    def test_is_none_of_a_region_that_can_take_no_more(self):
        assert RegionForecast("sudur", float("inf"), 0.1).find_share(0.6) == 0.0

    def test_is_sent_and_the_rest_stays(self):
        drawn = _draw(RegionForecast("sudur", LIMIT_S, 0.1))
        assert drawn["sudur"] == pytest.approx(1000, abs=100)

    def test_is_divided_among_regions(self):
        drawn = _draw(
            RegionForecast("sudur", 0.2, 0.05), RegionForecast("vestur", 0.25, 0.05)
        )
        assert drawn["sudur"] == pytest.approx(1000, abs=100)
        assert drawn["vestur"] == pytest.approx(1000, abs=100)
        assert _draw() == {None: 2000}


class TestChoosePeer:
    def _choose(self, choice, instances=3, failures=0):
        asked = []

        def _choose_by_share(*args):
            asked.append(args)
            return None

        regions = SimpleNamespace(choose_by_share=_choose_by_share)
        job = Job("engines", input_tokens=9000, max_first_byte_s=LIMIT_S)
        residency = (("nordur", "sudur"),)
        peer = choose_peer(regions, choice, PEER, job, residency, instances, failures)
        return peer, asked

    def test_asks_for_a_share_with_the_residency_if_the_own_region_refuses(self):
        peer, asked = self._choose(None)
        assert peer is None
        assert asked == [("engines", 9000, (("nordur", "sudur"),), LIMIT_S)]

    @pytest.mark.parametrize("expected_s", [0.05, 0.1, 0.2, 0.34, 0.36, 0.59])
    @pytest.mark.parametrize("instances", [1, 3, 8, 40])
    def test_is_as_before_if_the_own_region_is_in_time(self, expected_s, instances):
        """Guards deployments and requests that do not need the handover."""
        peer, asked = self._choose(Choice(None, expected_s, 0), instances)
        limit_s = min(0.6, 0.03 * instances) * LIMIT_S
        is_forwarded = expected_s > limit_s and PEER.expected_s + 0.1 < expected_s
        assert (peer is PEER) == is_forwarded
        assert not asked

    def test_is_as_before_if_the_own_region_is_in_doubt(self):
        assert self._choose(Choice(None, 0.05, 0, is_blocked=True))[0] is PEER
        assert self._choose(Choice(None, 0.05, 0), failures=2)[0] is PEER
