import attrs
import pytest

from oriolepaddle.limits import LimitSettings
from oriolepaddle.limits.claim_epoch import ClaimEpoch
from oriolepaddle.limits.claims import ClaimManager
from oriolepaddle.limits.member import Member
from oriolepaddle.peers import PeerIdentity
from oriolepaddle.peers.gen_py.limits.ttypes import RenewRequest
from oriolepaddle.publication import Instance, InstanceList

SETTINGS = LimitSettings()
TABLES = frozenset([7])
LOAN_S = SETTINGS.loan_s
FIRST_EPOCH = ClaimEpoch(1)


def make_manager(claim=0.5, reserved=0.5):
    manager = ClaimManager(PeerIdentity("a1", 1, "a"), SETTINGS)
    manager.is_warm = True
    manager._own.grow(claim)
    manager.members["a2"] = Member(
        0.0, epoch=FIRST_EPOCH, reserved=reserved, granted=claim
    )
    return manager


def make_request(name="a2", sequence=1, held=0.0, wanted=0.0, life=FIRST_EPOCH):
    return RenewRequest(
        instance=name,
        life=life.to_message(),
        data_centre="a",
        sequence=sequence,
        held=held,
        wanted=wanted,
        tables=sorted(TABLES),
        is_warm=True,
        is_draining=False,
    )


def renew(manager, now_s=0.0, **request):
    return manager.handle_renewal(make_request(**request), TABLES, now_s)


class TestClaimManager:
    def test_reserves_no_more_than_is_free(self):
        assert renew(make_manager(), name="a3", wanted=0.5).granted == 0
        assert renew(make_manager(reserved=0.2), wanted=0.5).granted == pytest.approx(
            0.5
        )

    def test_reserves_at_least_the_reported_claim(self):
        manager = make_manager()
        renew(manager, name="a3", held=0.3, wanted=0.3)
        assert manager.members["a3"].reserved == 0.3

    def test_no_claim_grows_while_weights_change(self):
        request = make_request(name="a3", wanted=0.2)
        for tables in ({8}, {7, 8}):
            manager = make_manager(reserved=0.0)
            assert manager.handle_renewal(request, frozenset(tables), 0.0).granted == 0

    @pytest.mark.parametrize("is_known", [True, False])
    def test_releases_only_members_that_know_this_instance(self, is_known):
        # A member that doesn't know this instance can mint without its replies.
        manager = make_manager()
        manager.members["a2"].knows_this_instance = is_known
        for at_s in range(0, 2000, 60):
            manager.apply_list(InstanceList((Instance("a1", "a", "", ""),), 1, at_s))
            manager.release_expired_members(at_s)
        assert ("a2" in manager.members) is not is_known

    def test_out_of_order_request_changes_nothing(self):
        manager = make_manager()
        renew(manager, sequence=2, held=0.5, wanted=0.5)
        assert not renew(manager, sequence=1).accepted
        assert manager.members["a2"].reserved == 0.5

    def test_lowered_claim_is_free_for_others(self):
        manager = make_manager(claim=0.3, reserved=0.7)
        renew(manager, held=0.4, wanted=0.4)
        assert renew(manager, name="a3", wanted=0.5).granted == pytest.approx(0.3)

    def test_ended_epoch_retains_its_claim_until_its_loans_have_run_out(self):
        manager = make_manager()
        assert renew(manager, wanted=0.5, life=ClaimEpoch(2)).granted == 0
        reply = renew(
            manager, LOAN_S * 1.01, sequence=2, wanted=0.5, life=ClaimEpoch(2)
        )
        assert reply.granted == pytest.approx(0.5)

    def test_old_epoch_is_rejected(self):
        manager = make_manager()
        renew(manager, life=ClaimEpoch(2))
        assert not renew(
            manager, sequence=9, held=0.5, wanted=0.5, life=FIRST_EPOCH
        ).accepted
        assert manager.members["a2"].reserved == 0

    def test_grows_only_to_what_every_member_reserved(self):
        manager = make_manager(claim=0.0, reserved=0.1)
        manager.members["a2"] = attrs.evolve(
            manager.members["a2"], granted=0.2, last_renewed_s=0.0
        )
        manager.grow(0.0)
        assert manager.claim == 0.2

    def test_shrinks_once_the_loans_have_run_out(self):
        manager = make_manager(claim=0.9, reserved=0.1)
        manager.shrink(0.0)
        assert (manager.claim, manager.lendable_claim) == (0.9, 0.5)
        manager.shrink(LOAN_S)
        assert manager.claim == 0.5

    def test_lapse_retains_lent_claim_and_starts_a_new_epoch(self):
        manager = make_manager()
        manager.lapse(0.0)
        assert (
            manager.claim,
            manager.outstanding(LOAN_S - 0.1),
            manager.outstanding(LOAN_S),
        ) == (0, 0.5, 0)
        assert manager.make_renewal("a2", TABLES, 0.0).life.lapses == 1
