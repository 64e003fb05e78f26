"""The steps of a ticket, from publication to catch-up, under each fault."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import daemon, merge, recovery, sync, ticket
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_LOCAL = impossible("a merge runs in the memory of one process, without a remote call")
_SAMPLED = "only sampled at random by TestRandomFaults"
_MERGE_ORDER = merge("TestMergeLaws::test_any_order_with_doubles_and_gaps_converges")
_THROUGH_PEERS = daemon(
    "TestWithdrawnKey::test_reaches_an_instance_without_the_platform_through_peers"
)
_DUPLICATE_NUMBER = sync(
    "TestPlatformReader::test_one_number_twice_is_settled_alike_and_shown"
)
_RACING = daemon("TestRacingOperators::test_one_number_twice_ends_alike_everywhere")
_ONE_READER = sync("TestSpread::test_one_instance_that_reads_tells_all")
_FAULTY = sync("TestSpread::test_faulty_messages_are_repaired")

ROWS = (
    Row(
        step=Step.PUBLISH,
        kill=unproved(f"no instance is killed while it reads a ticket; {_SAMPLED}"),
        freeze=shown(
            sync("TestSpread::test_pause_and_wake"),
            daemon("TestWithdrawnKey::test_is_known_to_a_process_that_slept"),
        ),
        cut_one_way=unproved("no link to the platform is cut one way"),
        cut_both_ways=shown(
            daemon("TestIsolatedRegion::test_takes_in_what_it_missed_after_the_cut"),
        ),
        slow=unproved("no platform answers slowly"),
        silent=shown(_THROUGH_PEERS),
        platform_down=shown(_THROUGH_PEERS),
        platform_stale=shown(
            _ONE_READER,
            sync(
                "TestPlatformReader::test_restored_backup_with_lower_revisions_is_read"
            ),
        ),
        list_late=impossible("tickets are read without the instance list"),
        lost=impossible(
            "tickets are read by one call over TCP; see cut, down and silent"
        ),
        late=shown(ticket("TestConfigState::test_older_ticket_does_not_revert")),
        doubled=unproved(
            "no read returns a ticket twice; duplicates are shown at merge"
        ),
        racing=shown(_DUPLICATE_NUMBER, _RACING),
    ),
    Row(
        step=Step.MERGE,
        kill=impossible("merged state is lost with the process; see catch-up"),
        freeze=unproved("no process is frozen within a merge"),
        cut_one_way=_LOCAL,
        cut_both_ways=_LOCAL,
        slow=_LOCAL,
        silent=_LOCAL,
        platform_down=_LOCAL,
        platform_stale=shown(
            merge(
                "TestMergeLaws::test_nothing_reverts_while_every_instance_is_replaced"
            ),
            merge("TestFloor::test_tombstones_go_and_stalest_source_cannot_bring_back"),
        ),
        list_late=_LOCAL,
        lost=shown(_MERGE_ORDER),
        late=shown(_MERGE_ORDER),
        doubled=shown(_MERGE_ORDER),
        racing=shown(
            merge("TestConflict::test_two_tickets_with_one_number_settle_alike"),
            merge("TestConflict::test_snapshot_that_lacks_an_older_ticket_is_shown"),
        ),
    ),
    Row(
        step=Step.SPREAD,
        kill=unproved(f"no instance is killed while it spreads a ticket; {_SAMPLED}"),
        freeze=shown(sync("TestSpread::test_pause_and_wake")),
        cut_one_way=shown(
            sync("TestSpread::test_one_way_cut"),
            recovery(
                "TestFloor::test_old_instance_that_cannot_call_out_learns_the_withdrawal"
            ),
        ),
        cut_both_ways=shown(
            sync("TestSpread::test_partition_heals"),
            sync("TestSpread::test_peer_that_is_reachable_only_through_another"),
        ),
        slow=unproved("no peer answers slowly"),
        silent=unproved("no connection between instances falls silent"),
        platform_down=shown(
            sync("TestSpread::test_ticket_of_one_instance_spreads_with_platform_down")
        ),
        platform_stale=shown(_ONE_READER),
        list_late=unproved("no ticket spreads with a late list"),
        lost=shown(
            _FAULTY,
            sync("TestSpread::test_all_pushes_lost_is_repaired_by_comparison"),
            sync("TestSpread::test_lost_part_drops_the_transfer"),
        ),
        late=unproved("no push arrives late; lateness is shown at merge"),
        doubled=shown(_FAULTY),
        racing=shown(_DUPLICATE_NUMBER, _RACING),
    ),
    Row(
        step=Step.CATCH_UP,
        kill=unproved(f"no helping peer is killed during a catch-up; {_SAMPLED}"),
        freeze=unproved(f"no instance is frozen during its catch-up; {_SAMPLED}"),
        cut_one_way=unproved("no starting instance is cut one way"),
        cut_both_ways=shown(
            recovery("TestCatchUp::test_nobody_reachable_stays_not_ready")
        ),
        slow=unproved("no peer answers a catch-up slowly"),
        silent=unproved("no connection falls silent during a catch-up"),
        platform_down=shown(
            recovery("TestCatchUp::test_platform_down_catches_up_from_peers"),
            recovery("TestCatchUp::test_empty_instances_do_not_vouch_for_each_other"),
        ),
        platform_stale=shown(
            recovery("TestCatchUp::test_stale_platform_reverts_nothing"),
            daemon(
                "TestWithdrawnKey::test_does_not_revert_when_every_instance_is_replaced"
            ),
        ),
        list_late=shown(
            recovery("TestCatchUp::test_platform_down_catches_up_from_peers")
        ),
        lost=shown(recovery("TestCatchUp::test_stale_platform_and_first_calls_lost")),
        late=unproved("no message of a catch-up is late"),
        doubled=unproved(f"no message of a catch-up is duplicated; {_SAMPLED}"),
        racing=unproved("no two operators publish during a catch-up"),
    ),
)
