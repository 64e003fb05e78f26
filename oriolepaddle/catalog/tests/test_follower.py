import random

from oriolepaddle.catalog import Catalog, CatalogFollower, CatalogReading
from oriolepaddle.clock import SystemClock
from oriolepaddle.daemon.tests.edge_fleet import await_true


class OddSource:
    """A source whose first readings raise errors that no code expects."""

    def __init__(self, errors):
        self.errors = list(errors)
        self.readings = 0

    def read(self):
        if self.errors:
            raise self.errors.pop(0)
        self.readings += 1
        return CatalogReading((), 7, is_whole=True)

    def watch(self, revision, timeout):
        return CatalogReading((), revision)


class TestCatalogFollower:
    def test_goes_on_after_an_unforeseen_error(self):
        clock = SystemClock()
        catalog = Catalog(clock)
        source = OddSource([RecursionError("too deep"), OverflowError("too large")])
        follower = CatalogFollower(clock, source, catalog, random.Random(1))
        follower.start()
        try:
            await_true(lambda: source.readings == 1)
            await_true(lambda: catalog.watch_revision == 7)
        finally:
            follower.stop()
