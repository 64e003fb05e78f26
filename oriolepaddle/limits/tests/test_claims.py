import attrs
import pytest

from oriolepaddle.limits import LimitSettings
from oriolepaddle.limits.claim_epoch import Life
from oriolepaddle.limits.claims import ClaimBook
from oriolepaddle.limits.member import Member
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.limits.ttypes import RenewRequest
from oriolepaddle.publication import Instance, InstanceList

SETTINGS = LimitSettings()
TABLES = frozenset([7])
LOAN_S = SETTINGS.lent_s
FIRST = Life(1)


def make_book(claim=0.5, reserved=0.5):
    book = ClaimBook(PeerIdentity("a1", 1, "a"), SETTINGS)
    book.is_warm = True
    book._own.grow(claim)
    book.members["a2"] = Member(0.0, life=FIRST, reserved=reserved, granted=claim)
    return book


def make_request(name="a2", sequence=1, held=0.0, wanted=0.0, life=FIRST):
    return RenewRequest(
        instance=name,
        life=life.write(),
        data_centre="a",
        sequence=sequence,
        held=held,
        wanted=wanted,
        tables=sorted(TABLES),
        is_warm=True,
        is_draining=False,
    )


def renew(book, now_s=0.0, **request):
    return book.handle(make_request(**request), TABLES, now_s)


class TestClaimBook:
    def test_reserves_no_more_than_is_free(self):
        assert renew(make_book(), name="a3", wanted=0.5).granted == 0
        assert renew(make_book(reserved=0.2), wanted=0.5).granted == pytest.approx(0.5)

    def test_reserves_at_least_what_is_held(self):
        book = make_book()
        renew(book, name="a3", held=0.3, wanted=0.3)
        assert book.members["a3"].reserved == 0.3

    def test_nobody_grows_while_weights_change(self):
        request = make_request(name="a3", wanted=0.2)
        for tables in ({8}, {7, 8}):
            book = make_book(reserved=0.0)
            assert book.handle(request, frozenset(tables), 0.0).granted == 0

    @pytest.mark.parametrize("is_known", [True, False])
    def test_releases_only_whom_it_has_answered(self, is_known):
        # One that does not know this instance needs no answer of it to mint.
        book = make_book()
        book.members["a2"].is_known_there = is_known
        for at_s in range(0, 2000, 60):
            book.note_list(InstanceList((Instance("a1", "a", "", ""),), 1, at_s))
            book.release_vanished(at_s)
        assert ("a2" in book.members) is not is_known

    def test_overtaken_request_changes_nothing(self):
        book = make_book()
        renew(book, sequence=2, held=0.5, wanted=0.5)
        assert not renew(book, sequence=1).accepted
        assert book.members["a2"].reserved == 0.5

    def test_lowered_claim_is_free_for_others(self):
        book = make_book(claim=0.3, reserved=0.7)
        renew(book, held=0.4, wanted=0.4)
        assert renew(book, name="a3", wanted=0.5).granted == pytest.approx(0.3)

    def test_ended_life_keeps_its_claim_until_its_loans_have_run_out(self):
        book = make_book()
        assert renew(book, wanted=0.5, life=Life(2)).granted == 0
        reply = renew(book, LOAN_S * 1.01, sequence=2, wanted=0.5, life=Life(2))
        assert reply.granted == pytest.approx(0.5)

    def test_old_life_is_not_accepted(self):
        book = make_book()
        renew(book, life=Life(2))
        assert not renew(book, sequence=9, held=0.5, wanted=0.5, life=FIRST).accepted
        assert book.members["a2"].reserved == 0

    def test_grows_only_to_what_every_member_reserved(self):
        book = make_book(claim=0.0, reserved=0.1)
        book.members["a2"] = attrs.evolve(
            book.members["a2"], granted=0.2, answered_s=0.0
        )
        book.grow(0.0)
        assert book.claim == 0.2

    def test_shrinks_once_the_loans_have_run_out(self):
        book = make_book(claim=0.9, reserved=0.1)
        book.shrink(0.0)
        assert (book.claim, book.lent_claim) == (0.9, 0.5)
        book.shrink(LOAN_S)
        assert book.claim == 0.5

    def test_lapse_keeps_what_is_lent_and_starts_a_new_life(self):
        book = make_book()
        book.lapse(0.0)
        assert (book.claim, book.held(LOAN_S - 0.1), book.held(LOAN_S)) == (0, 0.5, 0)
        assert book.prepare("a2", TABLES, 0.0).life.lapses == 1
