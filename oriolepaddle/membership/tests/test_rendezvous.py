from oriolepaddle.membership.rendezvous import rank_instances


class TestRankInstances:
    def test_order_of_listing_is_irrelevant(self):
        assert rank_instances("abcd", "k") == rank_instances("dcba", "k")

    def test_leaving_preserves_the_order_of_others(self):
        ranked = rank_instances("abcdef", "k")
        left = rank_instances(set("abcdef") - {ranked[0]}, "k")
        assert left == ranked[1:]
