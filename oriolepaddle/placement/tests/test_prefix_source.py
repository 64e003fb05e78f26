from oriolepaddle.placement import Job, PeerLoad, PromptPart
from oriolepaddle.placement.preferred import rank_preferred
from oriolepaddle.placement.tests.engines import (
    ENGINES,
    make_dossier,
    register,
    run,
)

NAMES = ("e1", "e2", "e3", "e4")


def register_all(catalog):
    for name in NAMES:
        register(catalog, name)


def occupy(placer, name):
    """Report a high load of another instance at an endpoint."""
    placer.apply_peer("n2", {name: PeerLoad(10, 60_000, 90_000)})


class TestPrefixSource:
    def test_is_the_endpoint_that_has_cached_it(self, placer, catalog):
        """A dossier is requested again while the engine that has cached it is busy."""
        register_all(catalog)
        first, _ = run(placer, make_dossier("a"))
        occupy(placer, first.endpoint.id)
        second, _ = run(placer, make_dossier("a"))
        assert second.endpoint.id != first.endpoint.id
        assert second.prefix_source == first.endpoint

    def test_is_the_preferred_endpoint_without_other_information(self, placer, catalog):
        register_all(catalog)
        job = make_dossier("a")
        preferred = rank_preferred(NAMES, job)[0]
        placer.choose(make_dossier("other"))
        occupy(placer, preferred)
        choice = placer.choose(job)
        assert choice.endpoint.id != preferred
        assert choice.prefix_source.id == preferred

    def test_is_none_if_the_chosen_endpoint_has_cached_it(self, placer, catalog):
        register_all(catalog)
        run(placer, make_dossier("a"))
        again = placer.choose(make_dossier("a"))
        assert again.prefix_source is None

    def test_is_none_for_short_prefixes(self, placer, catalog):
        register_all(catalog)
        parts = (PromptPart("s", 120), PromptPart("t", 80), PromptPart("own", 600))
        for _ in range(5):
            choice, _ = run(placer, Job(ENGINES, parts, 800, 50, 0.6))
            assert choice.prefix_source is None

    def test_is_none_without_parts(self, placer, catalog):
        register_all(catalog)
        assert placer.choose(Job(ENGINES, (), 9000, 50, 0.6)).prefix_source is None

    def test_is_not_a_blocked_endpoint(self, placer, catalog):
        register_all(catalog)
        first, placed = run(placer, make_dossier("a"))
        placed.fail(is_unreachable=True)
        placed.end()
        second = placer.choose(make_dossier("a"))
        assert second.endpoint != first.endpoint
        assert second.prefix_source != first.endpoint
