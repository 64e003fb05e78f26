"""The steps of an order under each fault."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import order_faults, order_fleet, order_registry
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_LOCAL = impossible("the instance creates the number without a remote call")
_NO_PLATFORM = impossible("the step sends no request to the platform")
_SAMPLED = "only sampled at random by TestOrderMachine"
_FORWARDED = order_fleet("TestForwardedOrders::test_faults")
_CUT_RUN = order_faults("TestOrders::test_cut_during_the_run_is_unknown_and_run_once")
_RESTARTED = order_fleet("TestForwardedOrders::test_restarted_issuer_is_unknown")

ROWS = (
    Row(
        step=Step.ORDER_ISSUE,
        kill=shown(_RESTARTED),
        freeze=unproved("no instance is frozen while it issues a number"),
        cut_one_way=_LOCAL,
        cut_both_ways=_LOCAL,
        slow=_LOCAL,
        silent=unproved(
            "no caller's connection falls silent before the number arrives"
        ),
        platform_down=unproved("no number is issued with the platform down"),
        platform_stale=unproved("no number is issued with a stale platform"),
        list_late=_LOCAL,
        lost=unproved("no number is lost on the way to the caller"),
        late=unproved("no number reaches the caller late"),
        doubled=unproved("no call for a number arrives twice"),
        racing=unproved("no route is changed by two operators during an issue"),
    ),
    Row(
        step=Step.ORDER_BEFORE,
        kill=shown(
            _RESTARTED,
            _FORWARDED,
            order_faults("TestOrders::test_endpoint_that_is_down_is_not_run"),
        ),
        freeze=shown(
            order_fleet("TestForwardedOrders::test_paused_issuer_does_not_send_late"),
            order_faults("TestOrders::test_issuer_that_slept_sends_nothing_late"),
        ),
        cut_one_way=unproved("no link between instances is cut one way"),
        cut_both_ways=shown(_FORWARDED),
        slow=shown(_FORWARDED),
        silent=unproved("no connection falls silent before the order is sent"),
        platform_down=unproved("no order is started with the platform down"),
        platform_stale=unproved("no order is started with a stale platform"),
        list_late=unproved("no issuer is missing in the list when an order is started"),
        lost=shown(_FORWARDED),
        late=shown(_FORWARDED),
        doubled=shown(_FORWARDED),
        racing=unproved("no route is changed by two operators before the run"),
    ),
    Row(
        step=Step.ORDER_DURING,
        kill=shown(
            order_faults(
                "TestOrders::test_killed_issuers_order_is_not_run_again_elsewhere"
            ),
            _FORWARDED,
        ),
        freeze=unproved("no process is frozen during the run"),
        cut_one_way=unproved("no link is cut one way during the run"),
        cut_both_ways=shown(_CUT_RUN),
        slow=unproved("no endpoint runs an order slowly but within its timeout"),
        silent=shown(_CUT_RUN),
        platform_down=_NO_PLATFORM,
        platform_stale=_NO_PLATFORM,
        list_late=impossible("a run that has started reads no instance list"),
        lost=unproved(f"no message is lost while the run is under way; {_SAMPLED}"),
        late=unproved("no late message arrives while the run is under way"),
        doubled=shown(
            order_registry(
                "TestConcurrentRepeats::test_concurrent_repeats_share_one_run"
            )
        ),
        racing=unproved("no route is changed by two operators during the run"),
    ),
    Row(
        step=Step.ORDER_AFTER,
        kill=shown(_FORWARDED),
        freeze=unproved(f"no issuer is frozen after the run; {_SAMPLED}"),
        cut_one_way=unproved("no link is cut one way after the run"),
        cut_both_ways=shown(
            order_fleet("TestForwardedOrders::test_unreachable_successor_is_skipped")
        ),
        slow=unproved("no answer is returned slowly"),
        silent=unproved("no connection falls silent after the run"),
        platform_down=unproved("no answers are handed over with the platform down"),
        platform_stale=unproved("no answers are handed over with a stale platform"),
        list_late=unproved("no answers are handed over with a late list"),
        lost=shown(_FORWARDED),
        late=shown(_FORWARDED),
        doubled=shown(_FORWARDED),
        racing=unproved("no route is changed by two operators after the run"),
    ),
    Row(
        step=Step.ORDER_REPEAT,
        kill=shown(
            order_faults(
                "TestOrders::test_killed_issuers_order_is_not_run_again_elsewhere"
            ),
            _RESTARTED,
        ),
        freeze=unproved(f"no issuer is frozen when a repeat arrives; {_SAMPLED}"),
        cut_one_way=unproved("no link is cut one way when a repeat arrives"),
        cut_both_ways=unproved(f"no link is cut when a repeat arrives; {_SAMPLED}"),
        slow=unproved("no issuer answers a repeat slowly"),
        silent=unproved("no connection falls silent when a repeat arrives"),
        platform_down=unproved("no repeat is sent with the platform down"),
        platform_stale=unproved("no repeat is sent with a stale platform"),
        list_late=unproved("no issuer is missing in the list when a repeat arrives"),
        lost=unproved(f"no message of a repeat is lost; {_SAMPLED}"),
        late=unproved(f"no message of a repeat is late; {_SAMPLED}"),
        doubled=shown(
            order_registry("TestOrderRegistry::test_repeat_gets_the_stored_answer"),
        ),
        racing=unproved("no route is changed by two operators before a repeat"),
    ),
)
