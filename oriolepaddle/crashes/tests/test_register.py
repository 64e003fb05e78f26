from datetime import timedelta

import attrs
import pytest

from oriolepaddle.clock import ManualClock
from oriolepaddle.crashes import CrashRegister, RequestKeys
from oriolepaddle.crashes.ledger import MAX_KEYS, MAX_REPORTS, RETENTION_S
from oriolepaddle.edge import EdgeRequest
from oriolepaddle.edge.crash_guard import make_keys
from oriolepaddle.errors import ErrorCode, RefusedError

REQUEST = EdgeRequest("1", "POST", "h", "/a", "/a?x", (), b"body", "k", 0.0)
FIRST, SUBJECT, DEADLY = "s/first", "s/subject", "s/deadly"


def make_prompt(name, *parts):
    return RequestKeys(f"request {name}", frozenset(parts))


PLAIN = make_prompt("plain")
SOUND = make_prompt("sound", FIRST, SUBJECT)


def make_deadly(number):
    return make_prompt(f"deadly {number}", FIRST, SUBJECT, DEADLY)


def is_refused(register, keys):
    try:
        register.check(keys)
    except RefusedError as error:
        assert error.code is ErrorCode.QUARANTINED
        return True
    return False


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def register(clock):
    return CrashRegister(clock)


@pytest.fixture
def other(clock):
    return CrashRegister(clock)


class TestWholeRequest:
    def test_is_refused_after_crashes_of_two_incarnations(self, register):
        register.record_broken_connection("e1@1", PLAIN)
        register.record_broken_connection("e1@1", PLAIN)
        assert not is_refused(register, PLAIN)
        register.record_broken_connection("e1@2", PLAIN)
        assert is_refused(register, PLAIN)
        assert not is_refused(register, SOUND)

    def test_is_cleared_by_an_answer(self, register):
        register.record_broken_connection("e1@1", PLAIN)
        register.record_event(PLAIN.all)
        register.record_broken_connection("e2@1", PLAIN)
        assert not is_refused(register, PLAIN)

    def test_crashes_that_others_recorded_count(self, register, other):
        other.record_broken_connection("e2@1", PLAIN)
        register.record_broken_connection("e1@1", PLAIN)
        for _ in range(2):
            register.merge(other.select_to_send(), "n2")
        assert is_refused(register, PLAIN)

    def test_crashes_expire(self, register, clock):
        register.record_broken_connection("e1@1", PLAIN)
        register.record_broken_connection("e2@1", PLAIN)
        clock.advance(timedelta(seconds=RETENTION_S + 1))
        assert not is_refused(register, PLAIN)
        assert register.select_to_send() == []
        assert register.entries() == []

    def test_broken_connections_say_nothing_of_its_parts(self, register):
        for number in range(9):
            register.record_broken_connection(f"e{number}@1", make_deadly(number))
        assert not is_refused(register, SOUND)
        assert not is_refused(register, make_deadly("next"))


class TestKeys:
    def test_do_not_depend_on_the_caller(self):
        same = attrs.evolve(REQUEST, id="2", key="other", arrived_s=9.0)
        assert make_keys(same, "s") == make_keys(REQUEST, "s")

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"target": "/a?y"}, {"host": "i"}]
    )
    def test_depend_on_the_content(self, changes):
        other = attrs.evolve(REQUEST, **changes)
        assert make_keys(other, "s").request != make_keys(REQUEST, "s").request


class TestPart:
    def test_is_found_among_parts_that_sound_prompts_share(self, register):
        for number in range(2):
            register.record_crash(f"e{number}@1", make_deadly(number), has_begun=True)
            register.record_event(SOUND.parts)
        assert is_refused(register, make_deadly("next"))
        assert not is_refused(register, SOUND)
        assert is_refused(register, make_prompt("another", "s/other", DEADLY))

    def test_is_refused_with_its_companions_while_these_may_be_the_cause(
        self, register
    ):
        for number in range(2):
            register.record_crash(f"e{number}@1", make_deadly(number), has_begun=True)
        assert is_refused(register, make_deadly("next"))
        assert not is_refused(register, SOUND)

    def test_needs_more_crashes_where_no_response_had_begun(self, register, clock):
        for number in range(3):
            assert not is_refused(register, make_deadly("next"))
            register.record_crash(f"e{number}@1", make_deadly(number), has_begun=False)
            register.record_event(SOUND.parts)
            clock.advance(timedelta(seconds=2))
        assert is_refused(register, make_deadly("next"))

    def test_is_found_among_more_parts_than_a_report_holds(self, register, clock):
        for number in range(12):
            crash = f"e{number}@1"
            for other in range(3 * MAX_KEYS):
                sound = make_prompt(f"{number}/{other}", f"s/{number}/{other}")
                register.record_crash(crash, sound, has_begun=False)
            deadly = make_prompt(f"deadly {number}", "s/zzz")
            register.record_crash(crash, deadly, has_begun=False)
            clock.advance(timedelta(seconds=2))
        assert is_refused(register, make_prompt("next", "s/zzz"))

    def test_that_only_waited_is_not_suspected_of_anothers_crash(self, register):
        for number in range(4):
            crash = f"e{number}@1"
            waiting = make_prompt("waiting", "s/rare")
            register.record_crash(crash, waiting, has_begun=False)
            register.record_crash(crash, make_deadly(number), has_begun=True)
        assert not is_refused(register, make_prompt("next", "s/rare"))

    def test_that_begins_to_crash_later_is_refused(self, register):
        register.record_event(make_deadly("sound").parts)
        for number in range(2):
            register.record_crash(f"e{number}@1", make_deadly(number), has_begun=True)
        assert is_refused(register, make_deadly("next"))


class TestCrashesOfOtherCause:
    """Guards against refusing sound prompts when endpoints crash for another reason."""

    def test_many_at_once_refuse_nothing(self, register):
        for number in range(9):
            keys = make_prompt(f"sound {number}", FIRST, SUBJECT)
            register.record_crash(f"e{number}@1", keys, has_begun=False)
        assert not is_refused(register, SOUND)

    def test_in_turn_refuse_nothing_that_is_answered_between(self, register, clock):
        for number in range(9):
            keys = make_prompt(f"sound {number}", FIRST, SUBJECT)
            register.record_crash(f"e{number}@1", keys, has_begun=False)
            clock.advance(timedelta(seconds=2))
            register.record_event(SOUND.parts)
        assert not is_refused(register, SOUND)

    def test_refuse_no_prompt_of_several_that_ran_at_all_of_them(self, register, clock):
        for number in range(5):
            for name in ("a", "b"):
                keys = make_prompt(f"{name}{number}", f"s/{name}")
                register.record_crash(f"e{number}@1", keys, has_begun=False)
            clock.advance(timedelta(seconds=2))
        assert not is_refused(register, make_prompt("next", "s/a"))


class TestSpread:
    def test_restarted_instance_learns_what_is_refused(self, register, clock):
        for number in range(2):
            register.record_crash(f"e{number}@1", make_deadly(number), has_begun=True)
            register.record_event(SOUND.parts)
        for number in range(MAX_REPORTS):
            noise = make_prompt(f"x{number}", f"s/x{number}")
            register.record_crash(f"x{number}@1", noise, has_begun=True)
        restarted = CrashRegister(clock)
        restarted.merge(register.select_to_send(), "n2")
        assert is_refused(restarted, make_deadly("next"))

    def test_sides_of_a_cut_add_up_their_crashes(self, register, other):
        register.record_crash("e1@1", make_deadly(1), has_begun=True)
        other.record_crash("e2@1", make_deadly(2), has_begun=True)
        assert not is_refused(register, make_deadly("next"))
        register.merge(other.select_to_send(), "n2")
        other.merge(register.select_to_send(), "n1")
        assert is_refused(register, make_deadly("next"))
        assert is_refused(other, make_deadly("next"))

    def test_clearing_outlives_late_reports(self, register, other):
        register.record_crash("e1@1", SOUND, has_begun=True)
        late = register.select_to_send()
        register.record_event(SOUND.parts)
        other.merge(register.select_to_send(), "n1")
        other.merge(late, "n1")
        assert other.entries() == [
            entry for entry in other.entries() if entry.key == SOUND.request
        ]


class TestSuspectRuns:
    def start(self, register, keys):
        return register.start(keys, 0.0, lambda: None)

    def test_run_one_at_a_time(self, register):
        register.record_crash("e1@1", make_deadly(1), has_begun=True)
        run = self.start(register, make_deadly(2))
        with pytest.raises(RefusedError) as refusal:
            self.start(register, make_deadly(3))
        assert refusal.value.code is ErrorCode.OVERLOADED
        assert refusal.value.retry_after > timedelta(0)
        register.end(run)
        self.start(register, make_deadly(3))

    def test_do_not_delay_other_prompts(self, register):
        register.record_crash("e1@1", make_deadly(1), has_begun=True)
        self.start(register, make_deadly(2))
        self.start(register, make_prompt("next", "s/other"))

    def test_are_free_again_once_answered(self, register):
        register.record_crash("e1@1", SOUND, has_begun=True)
        self.start(register, SOUND)
        register.record_event(SOUND.parts)
        self.start(register, SOUND)


class TestForget:
    def test_clears_a_part_for_all_instances(self, register, other):
        for number in range(2):
            keys = make_prompt(f"deadly {number}", DEADLY)
            register.record_crash(f"e{number}@1", keys, has_begun=True)
        other.merge(register.select_to_send(), "n1")
        assert [entry.key for entry in register.entries() if entry.is_refused]
        assert register.forget(DEADLY)
        other.merge(register.select_to_send(), "n1")
        for instance in (register, other):
            assert not is_refused(instance, make_prompt("next", DEADLY))
