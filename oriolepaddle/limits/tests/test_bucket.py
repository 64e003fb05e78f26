from oriolepaddle.limits.bucket import Bucket


def make_bucket(rate=10.0, capacity=100.0):
    bucket = Bucket(0.0)
    bucket.resize(rate, capacity)
    bucket.advance(100.0)
    return bucket


class TestBucket:
    def test_starts_empty(self):
        bucket = Bucket(0.0)
        bucket.resize(10.0, 100.0)
        assert bucket.acquire(1.0) is None

    def test_refund_comes_back_once(self):
        bucket = make_bucket()
        debit = bucket.acquire(80.0)
        bucket.settle(debit, 30.0)
        bucket.settle(debit, 0.0)
        assert bucket.balance == 70.0

    def test_refund_of_overflowed_tokens_is_lost(self):
        # Without the debit, the bucket would have been full all the time, so a
        # refund must not add to the accrued tokens.
        bucket = make_bucket()
        debit = bucket.acquire(50.0)
        bucket.advance(105.0)
        bucket.acquire(100.0)
        bucket.settle(debit, 0.0)
        assert bucket.balance == 0.0

    def test_refunds_share_the_room(self):
        bucket = make_bucket()
        first, second = bucket.acquire(50.0), bucket.acquire(50.0)
        bucket.advance(106.0)
        bucket.settle(first, 0.0)
        bucket.settle(second, 0.0)
        assert bucket.balance == 100.0

    def test_shrinking_loses_tokens_for_good(self):
        bucket = make_bucket()
        bucket.resize(10.0, 20.0)
        bucket.resize(10.0, 100.0)
        assert bucket.balance == 20.0

    def test_use_beyond_reservation_leaves_debt(self):
        bucket = make_bucket()
        bucket.charge(120.0)
        bucket.advance(101.0)
        assert bucket.acquire(1.0) is None
        bucket.advance(104.0)
        assert bucket.acquire(20.0) is not None
