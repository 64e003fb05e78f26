from pathlib import Path

import attrs

from oriolepaddle.settings import Settings
from oriolepaddle.settings.page import write_settings_page

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


class TestSettingsPage:
    def test_committed_page_equals_the_generated_one(self):
        assert PAGE.read_text(encoding="utf-8") == write_settings_page()

    def test_each_setting_has_a_row(self):
        page = write_settings_page()
        for field in attrs.fields(Settings):
            flag = field.name.replace("_", "-")
            assert f"| `--{flag}` |" in page
            assert f"| `ORIOLEPADDLE_{field.name.upper()}` |" in page
