from hypothesis import given, settings, strategies as st

from oriolepaddle.routing import preferred
from oriolepaddle.routing.preferred import find_preferred

WEIGHTS = {"e1": 1.0, "e2": 2.0, "e3": 4.0}


class TestFindPreferred:
    def test_short_prompt_has_no_preferred_target(self):
        assert find_preferred((1, 2, 3), WEIGHTS) is None
        assert find_preferred((1, 2, 3, 4), {}) is None

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(document=st.integers(0, 2**64 - 1), removed=st.sampled_from(sorted(WEIGHTS)))
    def test_only_documents_of_a_removed_target_move(self, document, removed):
        hashes = (0, 0, 0, document)
        before = find_preferred(hashes, WEIGHTS)
        remaining = {
            name: weight for name, weight in WEIGHTS.items() if name != removed
        }
        assert before == removed or find_preferred(hashes, remaining) == before

    def test_documents_are_distributed_by_weight(self):
        targets = [find_preferred((0, 0, 0, n), WEIGHTS) for n in range(7000)]
        assert 3700 <= targets.count("e3") <= 4300

    def test_highest_digest_has_a_finite_score(self, monkeypatch):
        class Highest:
            @staticmethod
            def xxh3_64_intdigest(data, seed):
                return 2**64 - 1

        monkeypatch.setattr(preferred, "xxhash", Highest)
        assert find_preferred((0, 0, 0, 0), WEIGHTS) == "e3"
