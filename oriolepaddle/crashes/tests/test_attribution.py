from oriolepaddle.crashes.attribution import find_causes
from oriolepaddle.quarantine.crash import Crash

E1, E2, E3, E4 = (Crash(name, "1") for name in ("e1", "e2", "e3", "e4"))


class TestFindCauses:
    def test_one_crash_is_too_few(self):
        assert find_causes({b"a": {E1}}, 2) == frozenset()

    def test_most_crashes_explain_the_others(self):
        crashes = {b"crasher": {E1, E2, E3}, b"x": {E1, E2}, b"y": {E2, E3}}
        assert find_causes(crashes, 2) == {b"crasher"}

    def test_same_crashes_leave_it_open(self):
        assert find_causes({b"a": {E1, E2}, b"b": {E1, E2}}, 2) == frozenset()

    def test_overlap_of_equals_leaves_it_open(self):
        assert find_causes({b"a": {E1, E2}, b"b": {E1, E3}}, 2) == frozenset()

    def test_overlap_is_decided_by_another_crash(self):
        crashes = {b"crasher": {E1, E2, E4}, b"unlucky": {E1, E3}}
        assert find_causes(crashes, 2) == {b"crasher"}

    def test_independent_crashers_are_both_found(self):
        crashes = {b"a": {E1, E2}, b"b": {E3, E4}}
        assert find_causes(crashes, 2) == {b"a", b"b"}
