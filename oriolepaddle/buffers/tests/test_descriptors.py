from oriolepaddle.buffers import DescriptorBudget


class TestDescriptorBudget:
    # Guards against requests that fail half-way as no descriptor is left.
    def test_leaves_descriptors_for_files_and_the_process(self):
        assert DescriptorBudget(read_limit=lambda: 1638).maximum == 1398
        assert DescriptorBudget(read_limit=lambda: 100).maximum == 40

    # Guards against an instance that refuses everything as the limit reads as -1.
    def test_process_without_a_limit_has_enough(self):
        assert DescriptorBudget(read_limit=lambda: -1).acquire(100_000)

    def test_refuses_beyond_the_maximum_and_recovers(self):
        budget = DescriptorBudget(read_limit=lambda: 100)
        assert [budget.acquire(15) for _ in range(3)] == [True, True, False]
        budget.release(15)
        assert budget.acquire(15)
        assert (budget.used, budget.refused) == (30, 1)

    def test_closes_idle_connections_first(self):
        idle = [30]
        budget = DescriptorBudget(lambda: idle[0], idle.clear, lambda: 100)
        assert budget.acquire(10)
        assert idle == [30]
        assert budget.acquire(10)
        assert idle == []
