from pathlib import Path

import attrs
import pytest

from oriolepaddle.settings import EdgeSettings, Settings
from oriolepaddle.settings.page import write_settings_page

DOCS = Path(__file__).parents[3] / "docs"
PAGES = [(Settings, "settings.md"), (EdgeSettings, "edge-settings.md")]


@pytest.mark.parametrize(("settings_class", "name"), PAGES)
class TestSettingsPage:
    def test_committed_page_equals_the_generated_one(self, settings_class, name):
        page = write_settings_page(settings_class)
        assert (DOCS / name).read_text(encoding="utf-8") == page

    def test_each_setting_has_a_row(self, settings_class, name):
        page = write_settings_page(settings_class)
        for field in attrs.fields(settings_class):
            flag = field.name.replace("_", "-")
            assert f"| `--{flag}` |" in page
            assert f"| `ORIOLEPADDLE_{field.name.upper()}` |" in page
