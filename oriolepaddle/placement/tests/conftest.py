import pytest

from oriolepaddle.catalog import (
    CallerLimits,
    Catalog,
    CatalogChange,
    CatalogReading,
    ConfigDocument,
)
from oriolepaddle.clock import ManualClock
from oriolepaddle.placement import Placer
from oriolepaddle.placement.tests.engines import SERVICES


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def catalog(clock):
    catalog = Catalog(clock)
    document = ConfigDocument(1, {}, SERVICES, None, {}, CallerLimits(), b"")
    change = CatalogChange("c", document=document)
    catalog.apply(CatalogReading((change,), 1, is_whole=True), 0.0)
    return catalog


@pytest.fixture
def placer(clock, catalog):
    return Placer(clock, catalog, lambda name: name.startswith("nordur"))
