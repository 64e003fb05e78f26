"""The steps of the rate limits, such as leases and loans, under each fault."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import hand_over, limits
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_SAMPLED = "only sampled at random by TestInterleavings"
_FAILING_CALLS = limits("TestMessages::test_bound_holds_when_every_other_call_fails")
_NO_PLATFORM = limits("TestCuts::test_platform_outage_does_not_reduce_the_rate")
_STALE_LIST = limits("TestCuts::test_no_claim_is_taken_over_by_a_stale_list")
_ONE_WAY = limits("TestCuts::test_one_way_cut")
_CUT_INSIDE = limits("TestCuts::test_cut_inside_data_centre_fences_the_unlisted_part")
_PAUSED = limits("TestMembers::test_paused_instance_wakes_up_without_its_claim")
_VANISHED = limits(
    "TestMembers::test_vanished_claim_waits_until_the_mint_lease_is_over"
)
_HAND_OVER = hand_over("TestHandOver::test_creates_no_tokens_under_a_fault")
_HAND_OVER_KILLED = hand_over(
    "TestHandOver::test_kill_during_the_hand_over_creates_no_tokens"
)
_HAND_OVER_FROZEN = hand_over(
    "TestHandOver::test_instance_paused_during_the_hand_over_admits_nothing"
)
_LOCAL = impossible("an instance mints by its own clock, without a remote call")

ROWS = (
    Row(
        step=Step.BORROW,
        kill=shown(
            limits(
                "TestDataCentreLost::test_share_is_claimed_again_after_all_instances_restart"
            )
        ),
        freeze=unproved(f"no borrower or lender is frozen during a loan; {_SAMPLED}"),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=unproved(f"no loan is requested across a cut; {_SAMPLED}"),
        slow=shown(limits("TestMessages::test_loan_ends_first_at_the_borrower")),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no loan is made at an old rate; {_SAMPLED}"),
        list_late=unproved(f"no loan is made with a late list; {_SAMPLED}"),
        lost=shown(_FAILING_CALLS),
        late=shown(_FAILING_CALLS),
        doubled=shown(_FAILING_CALLS),
        racing=unproved("no two operators change a rate while a loan runs"),
    ),
    Row(
        step=Step.MINT,
        kill=shown(
            _VANISHED, limits("TestMembers::test_restarted_instance_starts_empty")
        ),
        freeze=shown(_PAUSED),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=shown(_CUT_INSIDE),
        slow=_LOCAL,
        silent=_LOCAL,
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no instance mints at an old rate; {_SAMPLED}"),
        list_late=shown(_STALE_LIST),
        lost=_LOCAL,
        late=_LOCAL,
        doubled=_LOCAL,
        racing=unproved("no two operators change a rate at once"),
    ),
    Row(
        step=Step.RENEW,
        kill=shown(
            _VANISHED,
            limits("TestMembers::test_listed_instance_keeps_its_claim"),
        ),
        freeze=shown(_PAUSED),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=shown(_CUT_INSIDE),
        slow=unproved("no renewal is answered slowly"),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no lease is renewed at an old rate; {_SAMPLED}"),
        list_late=shown(_STALE_LIST),
        lost=shown(_FAILING_CALLS),
        late=shown(_FAILING_CALLS),
        doubled=shown(_FAILING_CALLS),
        racing=unproved("no two operators change a weight during a renewal"),
    ),
    Row(
        step=Step.TRANSFER,
        kill=unproved(f"neither side of a draw is killed; {_SAMPLED}"),
        freeze=unproved(f"neither side of a draw is frozen; {_SAMPLED}"),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=shown(
            _CUT_INSIDE,
            limits("TestCuts::test_cut_off_data_centre_keeps_serving"),
        ),
        slow=unproved("no draw is answered slowly"),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no draw is made at an old rate; {_SAMPLED}"),
        list_late=unproved(f"no draw is made with a late list; {_SAMPLED}"),
        lost=shown(_FAILING_CALLS),
        late=shown(_FAILING_CALLS),
        doubled=shown(_FAILING_CALLS),
        racing=unproved("no two operators change a rate during a draw"),
    ),
    Row(
        step=Step.HAND_OVER,
        kill=shown(_HAND_OVER_KILLED),
        freeze=shown(_HAND_OVER_FROZEN),
        cut_one_way=shown(_HAND_OVER),
        cut_both_ways=shown(_HAND_OVER),
        slow=shown(_HAND_OVER),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_HAND_OVER),
        platform_stale=unproved(f"no hand-over at an old rate; {_SAMPLED}"),
        list_late=shown(_HAND_OVER),
        lost=shown(_HAND_OVER),
        late=shown(_HAND_OVER),
        doubled=shown(_HAND_OVER),
        racing=shown(_HAND_OVER),
    ),
)
