from hypothesis import given, settings, strategies as st

from oriolepaddle.routing import estimate_tokens, hash_prompt
from oriolepaddle.routing.prefix import BLOCK_CHARACTERS


class TestHashPrompt:
    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        shared=st.integers(0, 3 * BLOCK_CHARACTERS),
        first=st.text(max_size=50),
        second=st.text(max_size=50),
    )
    def test_shared_blocks_have_equal_hashes(self, shared, first, second):
        prefix = "x" * shared
        pair = hash_prompt(prefix + first), hash_prompt(prefix + second)
        blocks = shared // BLOCK_CHARACTERS
        assert pair[0][:blocks] == pair[1][:blocks]
        assert len(set(pair[0])) == len(pair[0])

    def test_hash_covers_all_preceding_blocks(self):
        first = hash_prompt("a" * BLOCK_CHARACTERS + "c" * BLOCK_CHARACTERS)
        second = hash_prompt("b" * BLOCK_CHARACTERS + "c" * BLOCK_CHARACTERS)
        assert not set(first) & set(second)

    def test_lone_surrogate_is_hashed(self):
        assert len(hash_prompt("\ud800" * BLOCK_CHARACTERS)) == 1


class TestEstimateTokens:
    def test_rounds_up_to_at_least_one(self):
        assert estimate_tokens("") == 1
        assert estimate_tokens("x" * 401) == 101
