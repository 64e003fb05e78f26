from hypothesis import example, given, settings, strategies as st

from oriolepaddle.errors import OrderError
from oriolepaddle.orders import OrderAnswer
from oriolepaddle.orders._record import OrderRecord, OrderRun
from oriolepaddle.orders._store import OrderStore
from oriolepaddle.orders.limits import LEDGER_BYTES, RECORD_BYTES

DIGEST = b"d"
NAMES = ("large", "small", "tiny")
STEPS = st.tuples(
    st.sampled_from(["use", "use", "use", "answer", "fail", "release", "expire"]),
    st.sampled_from(NAMES),
    st.integers(0, 2_000),
)


class Model:
    """A store, with every number that was ever used in it."""

    def __init__(self, max_bytes):
        self.store = OrderStore(max_bytes)
        self.max_bytes = max_bytes
        self.horizon = -1
        self.sequence = 0
        self.running = []
        self.used = set()

    def step(self, kind, name, number):
        if kind == "use":
            self.sequence += 1
            record = OrderRecord(self.sequence, DIGEST, run=OrderRun())
            self.store.add(name, record)
            self.running.append((name, record))
            self.used.add((name, record.sequence))
        elif kind == "expire":
            self.horizon = max(self.horizon, self.sequence - number % 10)
            self.store.expire(self.horizon)
        elif self.running:
            self.end(kind, number, *self.running.pop(number % len(self.running)))

    def end(self, kind, number, name, record):
        if kind == "release":
            self.used.discard((name, record.sequence))
            self.store.release(name, record)
            return
        if kind == "answer":
            record.run.answer = OrderAnswer(200, (), bytes(number), "r")
        self.store.finish(name, record, retain_answer=kind == "answer")

    def check(self):
        for name, sequence in self.used:
            try:
                found = self.store.lookup(name, sequence, DIGEST, self.horizon)
            except OrderError:
                continue
            assert found is not None and found.sequence == sequence
        records = list(self.store)
        counted_bytes = sum(record.size_bytes for _, record in records)
        empty_bytes = len(NAMES) * LEDGER_BYTES
        assert 0 <= self.store.size_bytes - counted_bytes <= empty_bytes
        # Records of running orders cannot be evicted.
        running_bytes = len(self.running) * RECORD_BYTES
        assert self.store.size_bytes <= self.max_bytes + running_bytes


class TestOrderStore:
    @settings(max_examples=500, derandomize=True, deadline=None)
    @example(
        steps=[
            ("use", "small", 0),
            ("use", "large", 0),
            ("use", "large", 0),
            ("answer", "small", 0),
        ],
        max_bytes=2_000,
    )
    @example(
        steps=[
            ("use", "large", 0),
            ("use", "large", 0),
            ("use", "small", 0),
            ("use", "tiny", 0),
            ("fail", "small", 2),
        ],
        max_bytes=2_527,
    )
    @given(st.lists(STEPS, max_size=60), st.integers(2_000, 8_000))
    def test_a_used_number_never_seems_unused(self, steps, max_bytes):
        model = Model(max_bytes)
        for step in steps:
            model.step(*step)
            model.check()
