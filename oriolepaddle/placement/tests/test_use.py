import pytest

from oriolepaddle.placement import Job, find_used_fraction
from oriolepaddle.placement.tests.engines import (
    DESK,
    ENGINES,
    make_dossier,
    register,
    run,
)


class TestUsedFraction:
    def test_of_a_plain_service_is_the_part_of_taken_slots(self, catalog, placer):
        register(catalog, "d1", DESK)
        register(catalog, "far", DESK, data_centre="sudur-a")
        for _ in range(3):
            run(placer, Job(DESK))
        assert find_used_fraction(catalog, placer, DESK) == pytest.approx(0.5)

    def test_of_engines_is_the_part_with_prompts_to_read(self, catalog, placer):
        """Guards against handing over to engines that have slots but a prompt queue."""
        for number in range(4):
            register(catalog, f"e{number}")
        _, placed = run(placer, make_dossier("a"))
        assert find_used_fraction(catalog, placer, ENGINES) == pytest.approx(0.25)
        placed.record_first_byte()
        used = find_used_fraction(catalog, placer, ENGINES)
        assert used == pytest.approx(1 / (4 * 48))

    def test_without_an_endpoint_is_whole(self, catalog, placer):
        assert find_used_fraction(catalog, placer, ENGINES) == 1.0
