from hypothesis import given, settings, strategies as st

from oriolepaddle.routing import home
from oriolepaddle.routing.home import find_home

PLACES = {"e1": 1.0, "e2": 2.0, "e3": 4.0}


class TestFindHome:
    def test_short_prompt_has_none(self):
        assert find_home((1, 2, 3), PLACES) is None
        assert find_home((1, 2, 3, 4), {}) is None

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(document=st.integers(0, 2**64 - 1), lost=st.sampled_from(sorted(PLACES)))
    def test_only_the_documents_of_a_lost_place_move(self, document, lost):
        hashes = (0, 0, 0, document)
        before = find_home(hashes, PLACES)
        left = {name: weight for name, weight in PLACES.items() if name != lost}
        assert before == lost or find_home(hashes, left) == before

    def test_weights_decide_how_many(self):
        homes = [find_home((0, 0, 0, n), PLACES) for n in range(7000)]
        assert 3700 <= homes.count("e3") <= 4300

    def test_highest_digest_is_drawn(self, monkeypatch):
        class Highest:
            @staticmethod
            def xxh3_64_intdigest(data, seed):
                return 2**64 - 1

        monkeypatch.setattr(home, "xxhash", Highest)
        assert find_home((0, 0, 0, 0), PLACES) == "e3"
