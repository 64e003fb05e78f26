"""Leases and loans of limits under each fault."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import limits
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_SAMPLED = "only sampled at random by TestInterleavings"
_EVERY_CALL = limits("TestMessages::test_bound_holds_when_every_other_call_fails")
_NO_PLATFORM = limits("TestCuts::test_lost_platform_costs_nothing")
_STALE_LIST = limits("TestCuts::test_stale_list_takes_nothing_over")
_ONE_WAY = limits("TestCuts::test_one_way_cut")
_CUT_INSIDE = limits("TestCuts::test_cut_inside_data_centre_fences_the_unlisted_part")
_PAUSED = limits("TestMembers::test_paused_instance_wakes_up_without_its_claim")
_VANISHED = limits(
    "TestMembers::test_vanished_claim_waits_until_the_mint_lease_is_over"
)
_LOCAL = impossible("an instance mints by its own clock, without a call")

ROWS = (
    Row(
        step=Step.BORROW,
        kill=shown(
            limits("TestDataCentreLost::test_all_restarted_take_the_share_again")
        ),
        freeze=unproved(f"no borrower or lender sleeps with a loan; {_SAMPLED}"),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=unproved(f"no borrowing is seen to meet a cut; {_SAMPLED}"),
        slow=unproved(
            "test_loan_in_a_late_answer_is_not_used makes no call that is late"
        ),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no loan is made at an old rate; {_SAMPLED}"),
        list_late=unproved(f"no loan is made by a late list; {_SAMPLED}"),
        lost=shown(_EVERY_CALL),
        late=shown(_EVERY_CALL),
        doubled=shown(_EVERY_CALL),
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
        lost=shown(_EVERY_CALL),
        late=shown(_EVERY_CALL),
        doubled=shown(_EVERY_CALL),
        racing=unproved("no two operators change a weight during a renewal"),
    ),
    Row(
        step=Step.TRANSFER,
        kill=unproved(f"no giver or taker is killed during a draw; {_SAMPLED}"),
        freeze=unproved(f"no giver or taker sleeps during a draw; {_SAMPLED}"),
        cut_one_way=shown(_ONE_WAY),
        cut_both_ways=shown(
            _CUT_INSIDE,
            limits("TestCuts::test_cut_off_data_centre_keeps_serving"),
        ),
        slow=unproved("no draw is answered slowly"),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(_NO_PLATFORM),
        platform_stale=unproved(f"no draw is made at an old rate; {_SAMPLED}"),
        list_late=unproved(f"no draw is made by a late list; {_SAMPLED}"),
        lost=shown(_EVERY_CALL),
        late=shown(_EVERY_CALL),
        doubled=shown(_EVERY_CALL),
        racing=unproved("no two operators change a rate during a draw"),
    ),
    Row(
        step=Step.HAND_OVER,
        kill=unproved("no instance is killed while it hands over"),
        freeze=unproved("no instance sleeps while it hands over"),
        cut_one_way=unproved(f"no leaving instance is cut one way; {_SAMPLED}"),
        cut_both_ways=unproved(f"no leaving instance is cut off; {_SAMPLED}"),
        slow=unproved("no hand-over is answered slowly"),
        silent=unproved("no connection between instances falls silent"),
        platform_down=unproved(f"no hand-over without the platform; {_SAMPLED}"),
        platform_stale=unproved(f"no hand-over at an old rate; {_SAMPLED}"),
        list_late=unproved(f"no hand-over by a late list; {_SAMPLED}"),
        lost=unproved(f"no call of a hand-over is lost; {_SAMPLED}"),
        late=unproved(f"no call of a hand-over is late; {_SAMPLED}"),
        doubled=unproved(f"no call of a hand-over is doubled; {_SAMPLED}"),
        racing=unproved("no two operators drain instances at once"),
    ),
)
