"""Combinations of faults."""

from oriolepaddle.faults.claim import Claim
from oriolepaddle.faults.sources import daemon, limits, order_fleet, recovery

__all__ = ["PAIRS"]

PAIRS = (
    Claim(
        "platform down, every instance replaced",
        (
            (
                "nothing reverts",
                recovery(
                    "TestCatchUp::test_replacement_of_every_instance_with_platform_down"
                ),
            ),
        ),
    ),
    Claim(
        "platform stale, every instance replaced",
        (
            (
                "a withdrawn key stays withdrawn",
                daemon(
                    "TestWithdrawnKey::"
                    "test_does_not_revert_when_every_instance_is_replaced"
                ),
            ),
        ),
    ),
    Claim(
        "platform stale, first messages of a catch-up lost",
        (
            (
                "the instance isn't ready with stale objects",
                recovery("TestCatchUp::test_stale_platform_and_first_calls_lost"),
            ),
        ),
    ),
    Claim(
        "platform cut from one instance, silent for another",
        (
            (
                "a withdrawal arrives through peers",
                daemon(
                    "TestWithdrawnKey::"
                    "test_reaches_an_instance_without_the_platform_through_peers"
                ),
            ),
        ),
    ),
    Claim(
        "data centre cut off, without platform, not listed",
        (
            (
                "it keeps its share, and the bound holds",
                limits("TestCuts::test_cut_off_data_centre_keeps_serving"),
            ),
        ),
    ),
    Claim(
        "instance frozen and removed from the list meanwhile",
        (
            (
                "it wakes up without its claim",
                limits("TestMembers::test_paused_instance_wakes_up_without_its_claim"),
            ),
        ),
    ),
    Claim(
        "instance cut off, without platform, the others of its data centre restarted",
        (
            (
                "the others don't begin to mint",
                limits(
                    "TestDataCentreLost::"
                    "test_unlisted_running_instance_prevents_minting_by_the_others"
                ),
            ),
        ),
    ),
    Claim(
        "order: request late, then its repeat's reply lost",
        (("it runs once", order_fleet("TestForwardedOrders::test_faults")),),
    ),
    Claim(
        "order: endpoint crashes after the run, and the reply is lost",
        (("it stays unknown", order_fleet("TestForwardedOrders::test_faults")),),
    ),
    Claim(
        "order: issuer killed while a link is cut",
        unproved="only sampled at random by TestOrderMachine",
    ),
    Claim(
        "process frozen while the platform is down, at any step of a request",
        unproved="no test",
    ),
    Claim(
        "instance killed while another is drained",
        unproved="no test",
    ),
    Claim(
        "link cut one way while the platform is stale",
        unproved="no test",
    ),
    Claim(
        "operators racing while the fleet is cut in two, with real processes",
        unproved="no test",
    ),
)
