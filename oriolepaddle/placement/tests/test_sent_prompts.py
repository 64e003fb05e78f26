from datetime import timedelta

import pytest

from oriolepaddle.placement import Job, PeerLoad, Placer, PromptPart
from oriolepaddle.placement.load import SENT_PROMPT_REPORT_S
from oriolepaddle.placement.tests.engines import (
    ENGINES,
    make_dossier,
    register,
    run,
)


@pytest.fixture
def other(clock, catalog):
    for number in range(6):
        register(catalog, f"e{number}")
    other = Placer(clock, catalog, lambda name: True)
    other.choose(make_dossier("any"))
    return other


class TestSentPrompts:
    """Many questions to each of many dossiers arrive through several instances."""

    def test_another_instance_prefers_the_endpoint_that_has_cached_it(
        self, placer, other
    ):
        used = {}
        for number in range(12):
            # The queues differ between the two requests for a dossier.
            job = make_dossier(f"d{number}")
            first, placed = run(placer, job)
            placed.record_first_byte()
            other.apply_peer("n1", placer.own_loads())
            placed.end()
            used[first.endpoint.id] = other.choose(job).endpoint.id
        assert all(first == second for first, second in used.items())

    def test_another_instance_fetches_from_that_endpoint(self, placer, other):
        first, placed = run(placer, make_dossier("a"))
        reports = placer.own_loads()
        busy = PeerLoad(10, 60_000, 90_000)
        name = first.endpoint.id
        other.apply_peer("n1", {name: reports[name].add(busy)})
        choice = other.choose(make_dossier("a"))
        assert choice.endpoint.id != name
        assert choice.prefix_source == first.endpoint

    def test_are_reported_for_a_limited_time(self, clock, placer, other):
        _, placed = run(placer, make_dossier("a"))
        placed.record_first_byte()
        placed.end()
        clock.advance(timedelta(seconds=0.9 * SENT_PROMPT_REPORT_S))
        (load,) = placer.own_loads().values()
        assert [part.id for part in load.sent_parts] == ["system", "a", "a-own"]
        clock.advance(timedelta(seconds=0.2 * SENT_PROMPT_REPORT_S))
        assert not any(item.sent_parts for item in placer.own_loads().values())

    def test_short_prompts_are_not_reported(self, placer, other):
        parts = (PromptPart("s", 120), PromptPart("own", 600))
        run(placer, Job(ENGINES, parts, 720, 50, 0.6))
        assert all(not load.sent_parts for load in placer.own_loads().values())

    def test_long_part_ids_are_not_reported(self, placer, other):
        parts = (PromptPart("s" * 5000, 6000), PromptPart("own", 2000))
        run(placer, Job(ENGINES, parts, 8000, 50, 0.6))
        assert all(not load.sent_parts for load in placer.own_loads().values())
