"""The guarantees of the system, each with the tests that cover it."""

from oriolepaddle.faults.claim import Claim
from oriolepaddle.faults.sources import (
    admission,
    daemon,
    endpoints,
    limits,
    order_faults,
    order_fleet,
    order_registry,
    path,
    process_rate,
    recovery,
    router,
    streams,
    sync,
)

__all__ = ["GUARANTEES"]

_FORWARDED = order_fleet("TestForwardedOrders::test_faults")

GUARANTEES = (
    Claim(
        "Requests stay in their region of residency.",
        (
            (
                "kill of the region's only instance",
                daemon("TestResidency::test_is_kept_when_the_region_is_cut_off"),
            ),
            (
                "all endpoints of the region failed",
                router(
                    "TestResidency::test_restricted_request_is_refused_when_its_region_fails"
                ),
            ),
            (
                "any set of failed endpoints and known data centres",
                router("TestResidency::test_never_outside_the_allowed_regions"),
            ),
            (
                "ticket that arrives during the request",
                router("TestResidency::test_ticket_restricts_a_request_in_flight"),
            ),
        ),
        "with processes under a cut, a stale platform or a freeze",
    ),
    Claim(
        "Requests don't loop.",
        (
            (
                "inconsistent summaries",
                router(
                    "TestHops::test_inconsistent_summaries_cause_no_forwarding_loop"
                ),
            ),
            ("forged hops", daemon("TestHops::test_forged_hops_are_refused")),
        ),
        "with processes whose summaries differ; under a cut or a late list",
    ),
    Claim(
        "A region that is cut off keeps serving.",
        (
            (
                "cut both ways, platform cut",
                daemon("TestIsolatedRegion::test_keeps_serving"),
            ),
            (
                "the same, for its share of the limits",
                limits("TestCuts::test_cut_off_data_centre_keeps_serving"),
            ),
        ),
        "over hours; with an instance that starts or is killed during the cut",
    ),
    Claim(
        "Requests run for the organisation of their key only (but on open routes).",
        (
            (
                "valid key of another organisation, processes",
                daemon(
                    "TestKeyUse::test_request_runs_only_for_the_organisation_of_its_key"
                ),
            ),
            (
                "order number of another organisation, processes",
                daemon(
                    "TestKeyUse::test_order_number_of_another_organisation_is_refused"
                ),
            ),
            ("unknown key", daemon("TestKeyUse::test_unknown_key_is_refused")),
            ("no key", path("TestWholePath::test_request_without_key_is_refused")),
            (
                "number of another organisation",
                order_registry(
                    "TestOrderNumberCodec::test_numbers_of_other_organisations_are_refused"
                ),
            ),
        ),
        "under any fault of the matrix",
    ),
    Claim(
        "Endpoints see no caller's key (but on open routes).",
        (("no fault", path("TestWholePath::test_endpoint_sees_no_key")),),
        "on a retry, a resumed stream, an order and a forwarded request",
    ),
    Claim(
        "A withdrawn key stops within seconds (but on open routes).",
        (
            (
                "open streams",
                daemon("TestWithdrawnKey::test_ends_streams_and_requests_everywhere"),
            ),
            (
                "platform down and silent for some instances",
                daemon(
                    "TestWithdrawnKey::"
                    "test_reaches_an_instance_without_the_platform_through_peers"
                ),
            ),
            (
                "freeze and wake",
                daemon("TestWithdrawnKey::test_is_known_to_a_process_that_slept"),
            ),
            (
                "stale platform, all instances replaced",
                daemon(
                    "TestWithdrawnKey::"
                    "test_does_not_revert_when_every_instance_is_replaced"
                ),
            ),
            (
                "withdrawn before an order is sent",
                order_fleet("TestForwardedOrders::test_issuer_refuses_a_withdrawn_key"),
            ),
            (
                "cut off, with a bound on staleness set",
                recovery("TestStaleness::test_cut_off_instance_refuses_and_recovers"),
            ),
        ),
        "in a cut-off region without that bound, which learns of it after the cut",
    ),
    Claim(
        "Organisations get no more than their rate and burst over all instances.",
        (
            (
                "kill, replacement, cuts, freeze and wake, changed weights, processes",
                process_rate("TestRate::test_is_not_exceeded"),
            ),
            (
                "messages lost, late, doubled",
                limits("TestMessages::test_bound_holds_when_every_other_call_fails"),
            ),
            ("cut one way", limits("TestCuts::test_one_way_cut")),
            (
                "cut both ways",
                limits(
                    "TestCuts::test_cut_inside_data_centre_fences_the_unlisted_part"
                ),
            ),
            (
                "freeze and wake",
                limits("TestMembers::test_paused_instance_wakes_up_without_its_claim"),
            ),
            ("drifting clocks", limits("TestChanges::test_drifting_clocks")),
        ),
        "with processes: slow and silent links between instances, two faults at once",
    ),
    Claim(
        "Callers get the whole answer to their own request.",
        (
            (
                "crossed answer",
                streams("TestMatching::test_response_to_another_request_is_rejected"),
            ),
            (
                "crossed event",
                streams("TestMatching::test_event_of_another_response_is_not_sent"),
            ),
            (
                "cut both ways, resumed",
                daemon(
                    "TestBrokenStream::test_is_resumed_without_lost_or_doubled_events"
                ),
            ),
            (
                "cut at every byte",
                streams(
                    "TestResumption::test_event_stream_cut_at_every_byte_is_marked"
                ),
            ),
        ),
        "with processes whose answers cross; on connections between instances",
    ),
    Claim(
        'A refusal that says "not run" is true.',
        (
            ("orders: kill, cut, freeze; messages lost, late, doubled", _FORWARDED),
            (
                "endpoint down",
                order_faults("TestOrders::test_endpoint_that_is_down_is_not_run"),
            ),
            (
                "issuer frozen before the send",
                order_faults("TestOrders::test_issuer_that_slept_sends_nothing_late"),
            ),
            (
                "frozen after the admission",
                admission(
                    "TestRefusals::test_request_is_not_run_if_its_thread_wakes_up_past_its_deadline"
                ),
            ),
            (
                "refused before the send",
                endpoints(
                    "TestEndpointTransport::test_refusal_before_sending_reaches_no_endpoint"
                ),
            ),
        ),
        "for forwarded requests that aren't orders, under kill or a cut",
    ),
    Claim(
        "Orders and other non-idempotent requests run at most once.",
        (
            (
                "kill during the run",
                order_faults(
                    "TestOrders::test_killed_issuers_order_is_not_run_again_elsewhere"
                ),
            ),
            (
                "cut and silence during the run",
                order_faults(
                    "TestOrders::test_cut_during_the_run_is_unknown_and_run_once"
                ),
            ),
            ("cut before the answer", path("TestWholePath::test_order_runs_once")),
            ("messages lost, late, doubled", _FORWARDED),
            (
                "repeats at once",
                order_registry(
                    "TestConcurrentRepeats::test_concurrent_repeats_share_one_run"
                ),
            ),
            (
                "reused connection broken",
                endpoints(
                    "TestEndpointTransport::"
                    "test_non_idempotent_request_uses_a_new_connection"
                ),
            ),
        ),
        "a freeze during or after the run; a one-way cut",
    ),
    Claim(
        "A leaving endpoint gets no new work after a few seconds.",
        (
            (
                "no fault, processes",
                daemon("TestLeavingEndpoint::test_gets_no_new_work"),
            ),
            (
                "left after it was chosen",
                router("TestLeavingEndpoint::test_gets_no_new_requests"),
            ),
        ),
        "with the platform down or stale, a cut, or a frozen instance",
    ),
    Claim(
        "A graceful shutdown cuts no request.",
        (
            ("load", daemon("TestDrain::test_cuts_no_request_under_load")),
            (
                "slow answer",
                path("TestWholePath::test_graceful_shutdown_cuts_no_request"),
            ),
            (
                "order frozen during the drain",
                order_registry(
                    "TestOrderRegistry::test_order_paused_during_the_drain_is_not_sent"
                ),
            ),
        ),
        "with a cut, the platform down, or a forwarded request",
    ),
    Claim(
        "An accepted configuration is in force everywhere within seconds, for good.",
        (
            (
                "platform down",
                sync(
                    "TestSpread::test_ticket_of_one_instance_spreads_with_platform_down"
                ),
            ),
            (
                "messages lost and doubled",
                sync("TestSpread::test_faulty_messages_are_repaired"),
            ),
            ("cut one way", sync("TestSpread::test_one_way_cut")),
            ("cut both ways, healed", sync("TestSpread::test_partition_heals")),
            (
                "stale platform",
                recovery("TestCatchUp::test_stale_platform_reverts_nothing"),
            ),
            (
                "all instances replaced, platform down",
                recovery(
                    "TestCatchUp::test_replacement_of_every_instance_with_platform_down"
                ),
            ),
            (
                "operators racing",
                daemon(
                    "TestRacingOperators::test_one_number_twice_ends_alike_everywhere"
                ),
            ),
        ),
        "a slow or silent peer; a kill during the spread; it can't hold during a cut",
    ),
)
