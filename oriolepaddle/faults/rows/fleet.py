"""A join, a drain, an engine command, a quarantine report and an endpoint's signal."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import (
    commands,
    daemon,
    edge_signals,
    gossip_signals,
    limits,
    membership,
    order_fleet,
    order_registry,
    path,
    quarantine,
    quarantine_claims,
    quarantine_narrowing,
    quarantine_spread,
    recovery,
    signal_board,
    signal_pauses,
)
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_PLATFORM_NOT_INVOLVED = impossible("reports are exchanged between instances only")
_ALL_REPLACED_WITHOUT_LIST = membership(
    "TestPlatformDown::test_replacement_of_every_instance_without_the_list"
)

ROWS = (
    Row(
        step=Step.JOIN,
        kill=shown(
            limits(
                "TestMembers::test_instance_lost_while_it_joins_does_not_block_the_others"
            )
        ),
        freeze=unproved("no test freezes an instance while it joins"),
        cut_one_way=unproved("no test cuts off a joining instance one way"),
        cut_both_ways=shown(
            recovery("TestCatchUp::test_nobody_reachable_stays_not_ready"),
            limits(
                "TestDataCentreLost::"
                "test_unlisted_running_instance_prevents_minting_by_the_others"
            ),
        ),
        slow=unproved("no test lets a peer answer a joining instance slowly"),
        silent=unproved("no test makes a connection unresponsive during a join"),
        platform_down=shown(
            recovery("TestCatchUp::test_platform_down_catches_up_from_peers"),
            _ALL_REPLACED_WITHOUT_LIST,
        ),
        platform_stale=shown(
            recovery("TestCatchUp::test_stale_platform_reverts_nothing"),
            daemon(
                "TestWithdrawnKey::test_does_not_revert_when_every_instance_is_replaced"
            ),
        ),
        list_late=shown(_ALL_REPLACED_WITHOUT_LIST),
        lost=shown(recovery("TestCatchUp::test_stale_platform_and_first_calls_lost")),
        late=unproved("no test delays a message of a join"),
        doubled=unproved("no test duplicates a message of a join"),
        racing=unproved(
            "no test lets two operators change the fleet's settings during a join"
        ),
    ),
    Row(
        step=Step.DRAIN,
        kill=unproved("no test kills an instance during its drain"),
        freeze=shown(
            order_registry(
                "TestOrderRegistry::test_order_paused_during_the_drain_is_not_sent"
            )
        ),
        cut_one_way=unproved("no test cuts off a draining instance one way"),
        cut_both_ways=shown(
            order_fleet("TestForwardedOrders::test_unreachable_successor_is_skipped")
        ),
        slow=shown(path("TestWholePath::test_graceful_shutdown_cuts_no_request")),
        silent=unproved("no test makes a connection unresponsive during a drain"),
        platform_down=unproved("no test drains a process with the platform down"),
        platform_stale=unproved("no test drains a process with a stale platform"),
        list_late=shown(
            membership("TestStatus::test_leaving_spreads_without_the_list"),
            membership("TestStatus::test_stale_list_does_not_reset_leaving"),
        ),
        lost=unproved("no test loses a message of a drain"),
        late=unproved("no test delays a message of a drain"),
        doubled=unproved("no test duplicates a message of a drain"),
        racing=unproved("no test lets two operators drain instances at once"),
    ),
    Row(
        step=Step.COMMAND,
        kill=shown(
            commands("TestReconcile::test_empty_engine_is_loaded_again"),
            daemon(
                "TestEngineCommands::test_engine_follows_its_placement_through_a_crash"
            ),
        ),
        freeze=shown(
            commands("TestStaleIssuer::test_fenced_engine_refuses_a_suspended_sender"),
            commands("TestStaleIssuer::test_freshness_is_checked_just_before_the_send"),
            commands("TestStaleIssuer::test_ticket_is_checked_just_before_the_send"),
            commands(
                "TestStaleIssuer::"
                "test_next_pass_corrects_an_unfenced_engine_with_an_older_command"
            ),
        ),
        cut_one_way=unproved("no test cuts a link to an engine or a peer one way"),
        cut_both_ways=shown(
            commands(
                "TestStaleIssuer::"
                "test_stale_instance_sends_nothing_to_an_unfenced_engine"
            ),
            commands(
                "TestStaleIssuer::test_isolated_instance_still_loads_fenced_engines"
            ),
        ),
        slow=shown(commands("TestLoads::test_two_issuers_respect_the_load_limit")),
        silent=unproved(
            "no test makes a connection to an engine unresponsive after a command"
        ),
        platform_down=unproved("no test sends a command with the platform down"),
        platform_stale=shown(
            commands(
                "TestStaleIssuer::test_newer_ticket_of_the_engine_stops_a_stale_issuer"
            )
        ),
        list_late=unproved("no test ranks issuers with a late list"),
        lost=shown(
            commands("TestLoads::test_lost_load_occupies_its_slot_for_the_grace_period")
        ),
        late=shown(
            commands(
                "TestStaleIssuer::"
                "test_older_command_during_the_send_is_corrected_in_the_same_pass"
            )
        ),
        doubled=unproved("only TestConvergence duplicates commands, at random"),
        racing=shown(
            commands(
                "TestReconcile::test_placement_with_the_highest_ticket_is_commanded"
            )
        ),
    ),
    Row(
        step=Step.QUARANTINE,
        kill=shown(
            quarantine_spread("TestSpread::test_restarted_peer_gets_the_report_again"),
            quarantine_claims("TestClaims::test_claim_of_a_vanished_instance_ends"),
        ),
        freeze=shown(
            quarantine("TestQuarantine::test_entries_expire_over_a_pause"),
            quarantine("TestTrials::test_claim_is_void_after_a_pause"),
        ),
        cut_one_way=unproved(
            "the tests lose replies in both directions of a link, never in only one"
        ),
        cut_both_ways=shown(
            quarantine_spread(
                "TestSpread::test_report_crosses_a_fleet_without_a_full_mesh"
            ),
            quarantine_narrowing(
                "TestNarrowing::test_each_part_of_a_cut_fleet_crashes_at_most_twice"
            ),
        ),
        slow=shown(
            quarantine_claims(
                "TestClaims::test_claims_within_a_spread_time_start_one_run"
            ),
            quarantine_spread("TestSpread::test_slow_reports_do_not_renew_each_other"),
        ),
        silent=unproved("no test makes a connection between instances unresponsive"),
        platform_down=_PLATFORM_NOT_INVOLVED,
        platform_stale=_PLATFORM_NOT_INVOLVED,
        list_late=unproved("no test spreads a report with a late list"),
        lost=shown(
            quarantine_spread("TestSpread::test_lost_report_is_sent_again"),
            quarantine_spread("TestSpread::test_digest_repairs_what_was_lost"),
            quarantine_narrowing(
                "TestNarrowing::test_innocents_are_served_though_reports_are_lost"
            ),
        ),
        late=shown(
            quarantine_spread(
                "TestSpread::test_clear_spreads_and_late_report_does_not_undo_it"
            )
        ),
        doubled=shown(
            quarantine_spread(
                "TestSpread::test_lost_reply_doubles_the_report_harmlessly"
            ),
            quarantine_spread(
                "TestSpread::test_duplicate_report_does_not_extend_the_lifetime"
            ),
        ),
        racing=unproved("no test lets two operators clear one entry at once"),
    ),
    Row(
        step=Step.SIGNAL,
        kill=unproved("no test restarts an instance that has heard a signal"),
        freeze=unproved("no test suspends an instance between choice and send"),
        cut_one_way=unproved("the tests cut instances off in both directions"),
        cut_both_ways=shown(
            gossip_signals("TestLimit::test_is_kept_while_instances_are_cut_off")
        ),
        slow=unproved("no test slows an instance that draws permits"),
        silent=unproved("no test makes a hub unresponsive to draws"),
        platform_down=_PLATFORM_NOT_INVOLVED,
        platform_stale=_PLATFORM_NOT_INVOLVED,
        list_late=shown(
            edge_signals(
                "TestLeaving::test_endpoint_gets_nothing_after_the_answer_that_says_so"
            )
        ),
        lost=unproved("no test loses single announcements of signals"),
        late=shown(
            signal_board(
                "TestLimit::test_is_not_lifted_by_an_earlier_request_that_is_answered_late"
            ),
            signal_board(
                "TestLimit::test_that_another_instance_heard_earlier_replaces_nothing"
            ),
        ),
        doubled=shown(signal_pauses("TestPause::test_is_not_cut_by_a_shorter_one")),
        racing=impossible("operators set no signal"),
    ),
)
