import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from oriolepaddle.buffers import BodyBuffer, BufferBudget, HeldKind, make_budget


class TestBufferBudget:
    def test_bounds_the_sum_of_all_buffers(self):
        budget = BufferBudget(1000)
        buffers = [BodyBuffer(budget) for _ in range(4)]
        appended = [buffer.append(b"x" * 300) for buffer in buffers]
        assert appended == [True, True, False, False]
        buffers[0].discard()
        assert buffers[2].append(b"x" * 300)
        assert budget.refused == 2

    # Endless bodies must not take the memory of small ones.
    @pytest.mark.parametrize("count", [1, 8, 64, 500])
    def test_small_bodies_find_room_beside_any_number_of_large_ones(self, count):
        budget = BufferBudget(1_000_000)
        large = [BodyBuffer(budget) for _ in range(count)]
        for _ in range(2000):
            for buffer in large:
                buffer.append(b"x" * 1000)
        small = [BodyBuffer(budget) for _ in range(8)]
        assert all(buffer.append(b"x" * 100) for buffer in small)

    def test_single_body_may_take_half(self):
        buffer = BodyBuffer(BufferBudget(1000))
        assert [buffer.append(b"x" * 250) for _ in range(3)] == [True, True, False]

    def test_refused_bytes_are_not_kept(self):
        buffer = BodyBuffer(BufferBudget(100))
        assert not buffer.append(b"x" * 100)
        assert (len(buffer), buffer.append(b"y")) == (0, True)

    @pytest.mark.parametrize(
        ("memory_mb", "expected"), [(300, 50_000_000), (160, 26_666_666), (0, 64e6)]
    )
    def test_follows_the_memory_limit(self, memory_mb, expected):
        assert make_budget(memory_mb).max_bytes == expected

    # Guards against one address that takes the memory of all others.
    def test_one_client_address_leaves_room_for_the_others(self):
        budget = BufferBudget(1000)
        for _ in range(100):
            budget.acquire(10, kind=HeldKind.REQUEST_BODY, holder="127.0.0.1")
        assert budget.largest_holder_bytes == budget.used_bytes == 750
        assert budget.acquire(100, kind=HeldKind.REQUEST_BODY, holder="127.0.0.2")
        assert budget.count_kind(HeldKind.REQUEST_BODY) == 850

    # Guards against ordinary callers that are refused beside a crowd of their address.
    def test_small_bodies_are_granted_beyond_the_share_of_an_address(self):
        budget = BufferBudget(1000)
        while budget.acquire(10, holder="127.0.0.1"):
            pass
        assert budget.acquire(2, holder="127.0.0.1")

    def test_addresses_are_forgotten_with_their_last_byte(self):
        budget = BufferBudget(1000)
        for number in range(100):
            budget.acquire(10, holder=str(number))
            budget.acquire(2000, holder=str(number))
            budget.release(10, holder=str(number))
        assert (budget.largest_holder_bytes, len(budget._by_holder)) == (0, 0)


class BufferMachine(RuleBasedStateMachine):
    """Buffers grow, shrink and end in any order; nothing of the budget is lost."""

    @initialize()
    def start(self):
        self.budget = BufferBudget(500)
        self.buffers = [BodyBuffer(self.budget) for _ in range(4)]

    @rule(index=st.integers(0, 3), count=st.integers(0, 300))
    def append(self, index, count):
        buffer = self.buffers[index]
        size = len(buffer)
        is_appended = buffer.append(b"x" * count)
        assert len(buffer) == size + (count if is_appended else 0)

    @rule(index=st.integers(0, 3))
    def discard(self, index):
        self.buffers[index].discard()

    @invariant()
    def counts_what_is_held(self):
        held = sum(len(buffer) for buffer in self.buffers)
        assert self.budget.used_bytes == held <= self.budget.max_bytes


TestBufferMachine = BufferMachine.TestCase
