"""The steps of a request under each fault."""

from oriolepaddle.faults.cell import impossible, shown, unproved
from oriolepaddle.faults.row import Row
from oriolepaddle.faults.sources import (
    admission,
    daemon,
    endpoints,
    order_faults,
    path,
    recovery,
    router,
    router_failure,
    streams,
)
from oriolepaddle.faults.step import Step

__all__ = ["ROWS"]

_IN_MEMORY = impossible("decided from the instance's memory, without a remote call")
_TCP_LOSSLESS = impossible(
    "TCP loses no data of an open connection; see cut and silent"
)
_TCP_ORDER = impossible("TCP neither delays nor reorders single messages")
_TCP_ONCE = impossible("TCP duplicates no data, and the transport sends once")
_NO_PLATFORM = impossible("the step sends no request to the platform")
_NO_LIST = impossible("the step reads no instance list")

ROWS = (
    Row(
        step=Step.AUTHENTICATE,
        kill=unproved("no instance is killed while it checks a key"),
        freeze=shown(
            daemon("TestWithdrawnKey::test_is_known_to_a_process_that_slept"),
            recovery("TestStaleness::test_pause_counts"),
        ),
        cut_one_way=unproved("no key is used at an instance cut one way"),
        cut_both_ways=shown(
            daemon("TestIsolatedRegion::test_takes_in_what_it_missed_after_the_cut"),
        ),
        slow=_IN_MEMORY,
        silent=shown(
            daemon(
                "TestWithdrawnKey::"
                "test_reaches_an_instance_without_the_platform_through_peers"
            ),
        ),
        platform_down=shown(
            daemon(
                "TestWithdrawnKey::"
                "test_reaches_an_instance_without_the_platform_through_peers"
            ),
        ),
        platform_stale=shown(
            daemon(
                "TestWithdrawnKey::test_does_not_revert_when_every_instance_is_replaced"
            ),
        ),
        list_late=_NO_LIST,
        lost=_IN_MEMORY,
        late=_IN_MEMORY,
        doubled=_IN_MEMORY,
        racing=unproved("no two operators withdraw and publish one key at once"),
    ),
    Row(
        step=Step.ROUTE,
        kill=shown(daemon("TestResidency::test_is_kept_when_the_region_is_cut_off")),
        freeze=shown(
            admission(
                "TestRefusals::test_request_is_not_run_after_a_wait_past_its_deadline"
            ),
            admission(
                "TestRefusals::test_request_is_not_run_if_its_thread_wakes_up_past_its_deadline"
            ),
            router_failure(
                "TestRequestHandle::test_pause_is_not_mistaken_for_a_slow_endpoint"
            ),
        ),
        cut_one_way=unproved("no request is routed at an instance cut one way"),
        cut_both_ways=shown(daemon("TestIsolatedRegion::test_keeps_serving")),
        slow=unproved("no request is routed past an endpoint that became slow"),
        silent=impossible("the endpoint is chosen without waiting for a connection"),
        platform_down=shown(daemon("TestIsolatedRegion::test_keeps_serving")),
        platform_stale=unproved("no request is routed from an old placement"),
        list_late=unproved("no request is forwarded to an instance that has left"),
        lost=shown(
            router("TestSummaries::test_stale_summary_is_not_used"),
            router_failure("TestCacheEvents::test_sequence_gap_lowers_confidence"),
        ),
        late=shown(
            router("TestSummaries::test_older_summary_does_not_replace_newer"),
            router_failure(
                "TestDelayedReports::test_older_report_does_not_replace_newer"
            ),
            router_failure(
                "TestCacheEvents::test_delayed_eviction_keeps_blocks_sent_since"
            ),
        ),
        doubled=shown(
            router_failure(
                "TestCacheEvents::test_repeated_batch_does_not_undo_a_later_one"
            ),
        ),
        racing=unproved("no request is routed while two operators move an endpoint"),
    ),
    Row(
        step=Step.SEND,
        kill=shown(
            endpoints("TestEndpointTransport::test_closed_endpoint_is_not_run"),
            order_faults("TestOrders::test_endpoint_that_is_down_is_not_run"),
        ),
        freeze=unproved("no instance is frozen between its last check and the send"),
        cut_one_way=unproved("no link to an endpoint is cut one way"),
        cut_both_ways=unproved("only closed ports and connections, no cut link"),
        slow=unproved("no endpoint reads the request slowly"),
        silent=shown(
            daemon(
                "TestSilentConnection::test_is_found_and_the_request_repeated_elsewhere"
            )
        ),
        platform_down=_NO_PLATFORM,
        platform_stale=_NO_PLATFORM,
        list_late=unproved("no request is forwarded to an instance that has left"),
        lost=_TCP_LOSSLESS,
        late=_TCP_ORDER,
        doubled=_TCP_ONCE,
        racing=unproved("no endpoint is changed by two operators during a send"),
    ),
    Row(
        step=Step.FIRST_BYTE,
        kill=shown(
            endpoints("TestEndpointTransport::test_crash_before_answer_is_unknown"),
            daemon("TestCrashingRequest::test_is_stopped_fleet_wide_after_two_crashes"),
        ),
        freeze=unproved("no instance is frozen while it waits for the first byte"),
        cut_one_way=unproved("no link to an endpoint is cut one way"),
        cut_both_ways=shown(
            order_faults("TestOrders::test_cut_during_the_run_is_unknown_and_run_once")
        ),
        slow=unproved("no first byte arrives late but within its timeout"),
        silent=shown(
            daemon(
                "TestSilentConnection::test_is_found_and_the_request_repeated_elsewhere"
            ),
            order_faults("TestOrders::test_cut_during_the_run_is_unknown_and_run_once"),
        ),
        platform_down=_NO_PLATFORM,
        platform_stale=_NO_PLATFORM,
        list_late=_NO_LIST,
        lost=_TCP_LOSSLESS,
        late=shown(
            streams("TestMatching::test_response_to_another_request_is_rejected")
        ),
        doubled=_TCP_ONCE,
        racing=unproved("no ticket of two operators arrives while a request waits"),
    ),
    Row(
        step=Step.MID_STREAM,
        kill=shown(
            daemon("TestKilledInstance::test_its_stream_is_seen_to_be_cut"),
            path("TestWholePath::test_cut_stream_is_marked"),
        ),
        freeze=unproved("no instance and no endpoint is frozen during a stream"),
        cut_one_way=unproved("no link of a stream is cut one way"),
        cut_both_ways=shown(
            daemon("TestBrokenStream::test_is_resumed_without_lost_or_doubled_events"),
            streams("TestResumption::test_resumes_without_loss_or_duplicates"),
            streams("TestResumption::test_event_stream_cut_at_every_byte_is_marked"),
        ),
        slow=unproved("no caller reads and no endpoint writes a stream slowly"),
        silent=shown(
            endpoints("TestEndpointTransport::test_silent_answer_times_out"),
        ),
        platform_down=unproved("no stream's key is withdrawn with the platform down"),
        platform_stale=unproved("no stream's key is withdrawn with a stale platform"),
        list_late=_NO_LIST,
        lost=shown(streams("TestResumption::test_gap_is_reported_as_truncation")),
        late=shown(
            streams("TestMatching::test_event_of_another_response_is_not_sent"),
            streams("TestMatching::test_rest_of_another_response_is_not_sent"),
        ),
        doubled=shown(
            streams("TestResumption::test_resumes_without_loss_or_duplicates")
        ),
        racing=unproved("no two operators change the key or route of a stream"),
    ),
    Row(
        step=Step.END,
        kill=unproved("no process is killed between the last event and the end"),
        freeze=unproved("no process is frozen between the last event and the end"),
        cut_one_way=unproved("no link of a stream is cut one way"),
        cut_both_ways=shown(
            streams("TestResumption::test_event_stream_cut_at_every_byte_is_marked"),
            streams("TestResumption::test_body_cut_at_every_byte_raises_an_error"),
        ),
        slow=unproved("no end mark arrives late"),
        silent=unproved("no stream falls silent after its last event"),
        platform_down=_NO_PLATFORM,
        platform_stale=_NO_PLATFORM,
        list_late=_NO_LIST,
        lost=shown(streams("TestCompleteness::test_depends_on_how_the_body_ends")),
        late=shown(streams("TestCompleteness::test_events_after_the_end_are_dropped")),
        doubled=shown(streams("TestCompleteness::test_surplus_bytes_are_dropped")),
        racing=_NO_PLATFORM,
    ),
)
