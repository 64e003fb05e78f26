from pathlib import Path

from oriolepaddle.errors import ErrorCode
from oriolepaddle.errors.page import write_error_page

PAGE = Path(__file__).parents[3] / "docs" / "errors.md"


class TestErrorPage:
    def test_committed_page_equals_the_generated_one(self):
        assert PAGE.read_text(encoding="utf-8") == write_error_page()

    def test_each_code_has_a_row(self):
        rows = [line for line in write_error_page().splitlines() if line[:3] == "| `"]
        assert len(rows) == len(list(ErrorCode))


class TestErrorCode:
    def test_codes_are_unique(self):
        codes = [item.code for item in ErrorCode]
        assert len(set(codes)) == len(codes)

    def test_members_have_the_names_of_their_codes(self):
        # Members with equal values would silently become aliases.
        assert {name.lower() for name in ErrorCode.__members__} == {
            item.code for item in ErrorCode
        }
