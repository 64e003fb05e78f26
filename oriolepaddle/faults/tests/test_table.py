import ast
import collections
import pathlib

import attrs
import pytest

from oriolepaddle.errors import SettingsError
from oriolepaddle.faults import Cell, Fault, Step, shown, unproved
from oriolepaddle.faults.guarantees import GUARANTEES
from oriolepaddle.faults.hardening import HARDENING
from oriolepaddle.faults.page import PAGE, write_page
from oriolepaddle.faults.pairs import PAIRS
from oriolepaddle.faults.table import ROWS

ROOT = pathlib.Path(__file__).parents[3]


def named_tests():
    """Return all node ids that the matrix names."""
    cells = [row.cell(fault) for row in ROWS for fault in Fault]
    named = {test for cell in cells for test in cell.tests}
    for claim in (*PAIRS, *GUARANTEES, *HARDENING):
        named |= {test for _, test in claim.tests}
    return named


def find_tests(path):
    """Return the node ids of a test file, without parameters."""
    node_ids = set()
    for node in ast.parse((ROOT / path).read_text()).body:
        if isinstance(node, ast.ClassDef) and node.name.startswith("Test"):
            node_ids |= {
                f"{path}::{node.name}::{name}" for name in find_test_methods(node)
            }
    return node_ids


def find_test_methods(node):
    functions = [item for item in node.body if isinstance(item, ast.FunctionDef)]
    return [item.name for item in functions if item.name.startswith("test_")]


class TestTable:
    def test_each_step_has_one_row(self):
        counts = collections.Counter(row.step for row in ROWS)
        assert counts == dict.fromkeys(Step, 1)

    def test_each_fault_has_one_cell(self):
        fields = [field.name for field in attrs.fields(type(ROWS[0]))]
        assert fields == ["step", *(fault.name.lower() for fault in Fault)]
        for row in ROWS:
            assert all(isinstance(row.cell(fault), Cell) for fault in Fault)

    def test_named_tests_exist(self):
        named = named_tests()
        existing = set()
        for path in {test.partition("::")[0] for test in named}:
            existing |= find_tests(path)
        assert named
        assert named - existing == set()

    def test_thirteen_guarantees_have_tests_or_a_stated_gap(self):
        assert len(GUARANTEES) == 13
        for claim in (*PAIRS, *GUARANTEES, *HARDENING):
            assert claim.tests or claim.unproved

    def test_page_is_up_to_date(self):
        assert (ROOT / PAGE).read_text() == write_page()


class TestCell:
    @pytest.mark.parametrize(
        "fields",
        [{}, {"tests": ("a",), "unproved": "b"}, {"impossible": "a", "unproved": "b"}],
    )
    def test_needs_exactly_one_field(self, fields):
        with pytest.raises(SettingsError):
            Cell(**fields)

    def test_functions_set_one_field(self):
        assert shown("a", "b").tests == ("a", "b")
        assert unproved("a").unproved == "a"
