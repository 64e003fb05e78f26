"""Properties under hostile or odd input, found by reviews."""

from oriolepaddle.faults.claim import Claim
from oriolepaddle.faults.sources import (
    answer_statuses,
    authenticator,
    broken_answers,
    broken_heads,
    budget,
    catalog_eras,
    descriptor_watch,
    early_answers,
    edge,
    edge_alternatives,
    edge_bodies,
    edge_broken_answers,
    edge_endless,
    edge_keys,
    edge_promises,
    edge_restored_store,
    edge_silence,
    edge_sink,
    endless,
    endless_calls,
    endpoints,
    extra_bytes,
    handle_pool,
    late_copies,
    process_signals,
    request_keys,
    request_parser,
    server,
    short_calls,
    shortage,
    slow_clients,
)

__all__ = ["HARDENING"]

HARDENING = (
    Claim(
        "What is empty or can't be read opens no closed route.",
        (
            (
                "last key withdrawn, restart, kept connection",
                edge_keys("TestWithoutAnyKey::test_kept_connection_is_refused"),
            ),
            (
                "first configuration without keys",
                edge_keys(
                    "TestWithoutAnyKey::"
                    "test_closed_routes_are_refused_under_a_first_configuration"
                ),
            ),
            (
                "configuration that can't be read",
                edge_keys(
                    "TestUnreadableConfiguration::"
                    "test_keys_are_refused_until_it_can_be_read"
                ),
            ),
            (
                "key that moves while its request waits",
                edge_keys(
                    "TestKeyOfAnotherOrganisation::"
                    "test_request_does_not_run_for_the_organisation_before"
                ),
            ),
            (
                "route that closes while a request waits",
                authenticator(
                    "TestRecheck::"
                    "test_route_that_is_no_longer_open_ends_requests_without_a_key"
                ),
            ),
            (
                "empty key",
                request_keys("TestPresentedKey::test_empty_one_is_refused_as_missing"),
            ),
        ),
        "a document without organisations at an instance that is cut off",
    ),
    Claim(
        "Endpoints run the requests that callers sent, and no others.",
        (
            (
                "malformed line anywhere in a head",
                request_parser(
                    "TestByteSequences::"
                    "test_malformed_line_anywhere_refuses_the_request"
                ),
            ),
            (
                "requests split anywhere",
                request_parser(
                    "TestByteSequences::"
                    "test_split_anywhere_are_the_requests_that_were_sent"
                ),
            ),
            (
                "request hidden in a body",
                server(
                    "TestHttpServer::"
                    "test_request_hidden_behind_a_malformed_line_is_not_served"
                ),
            ),
            (
                "dot segments and encoded characters",
                endpoints("TestTarget::test_is_sent_byte_by_byte"),
            ),
        ),
        "methods that the parser doesn't know",
    ),
    Claim(
        "A stop signal is acted on whenever it comes.",
        (
            (
                "signal at another thread, before and after the start",
                process_signals(
                    "TestSignalQueue::"
                    "test_delivers_what_another_thread_received_before_and_after"
                ),
            ),
        ),
        "while the interpreter itself starts",
    ),
    Claim(
        "Slow and abusive clients exhaust no instance, and it serves others.",
        (
            (
                "slow readers, unfinished requests and tiny chunks",
                slow_clients(
                    "TestCrowdOfCallers::test_leaves_the_process_within_its_limits"
                ),
            ),
            (
                "clients that vanish",
                slow_clients(
                    "TestCrowdOfCallers::test_that_vanishes_leaves_nothing_behind"
                ),
            ),
            (
                "the same at the other listeners",
                slow_clients(
                    "TestCrowdAtAnotherListener::test_leaves_both_listeners_usable"
                ),
            ),
        ),
        "over TLS; more than 48 clients",
    ),
    Claim(
        "Misbehaving and replaced endpoints exhaust no instance.",
        (
            (
                "bodies without end",
                edge_sink("TestBodiesWithoutEnd::test_sum_of_all_is_bounded"),
            ),
            (
                "small bodies beside endless ones",
                budget(
                    "TestBufferBudget::"
                    "test_small_bodies_find_room_beside_any_number_of_large_ones"
                ),
            ),
            (
                "endpoints that are gone",
                handle_pool(
                    "TestHandlePool::test_expired_handles_of_unused_addresses_are_closed"
                ),
            ),
            (
                "no descriptors left",
                shortage(
                    "TestShortageOfDescriptors::"
                    "test_connection_is_refused_and_later_ones_are_served"
                ),
            ),
            (
                "few descriptors left",
                descriptor_watch(
                    "TestDescriptorWatch::test_frees_idle_connections_before_the_limit"
                ),
            ),
        ),
        "memory that other libraries hold",
    ),
    Claim(
        "What an endpoint sends beside an answer reaches no other caller.",
        (
            (
                "copies, parts and other bytes, at any time, in each framing",
                extra_bytes(
                    "TestExtraBytes::test_of_one_answer_reach_no_other_request"
                ),
            ),
            (
                "repeated refusal",
                late_copies("TestRepeatedRefusal::test_never_answers_the_next_request"),
            ),
        ),
        "extra bytes on connections between instances",
    ),
    Claim(
        "A status that is none of a final response reaches no caller.",
        (
            (
                "any status line",
                answer_statuses("TestStatus::test_that_is_none_fails_the_attempt"),
            ),
            (
                "status 000 at processes, direct and forwarded",
                edge_broken_answers("TestStatus000::test_fails_the_request"),
            ),
        ),
    ),
    Claim(
        "An answer that is not HTTP reaches no caller and is not acted on.",
        (
            (
                "length that can't be read, direct and forwarded",
                edge_broken_answers(
                    "TestBrokenHead::test_that_tells_no_length_fails_the_request"
                ),
            ),
            (
                "line that is no field",
                edge_broken_answers(
                    "TestBrokenHead::"
                    "test_with_a_line_that_is_no_field_fails_the_request"
                ),
            ),
            (
                "name of a field that is none",
                edge_broken_answers(
                    "TestBrokenHead::test_with_a_broken_name_fails_the_request"
                ),
            ),
            (
                "chunks",
                edge_broken_answers("TestBrokenChunks::test_fail_the_request"),
            ),
            (
                "request that may be repeated",
                edge_broken_answers(
                    "TestRepeatedRequest::test_is_answered_by_another_endpoint"
                ),
            ),
            (
                "resumed stream",
                edge_broken_answers(
                    "TestResumedStream::test_gets_no_event_of_a_broken_answer"
                ),
            ),
            (
                "length that can't be read, own interface",
                broken_answers(
                    "TestBrokenHead::test_that_tells_no_length_fails_the_request"
                ),
            ),
            (
                "health check",
                short_calls("TestHealthCheck::test_with_a_broken_answer_fails"),
            ),
            (
                "platform and lists of instances",
                short_calls("TestPlatformClient::test_rejects_broken_answers"),
            ),
        ),
    ),
    Claim(
        "An answer that breaks off reaches no caller as complete.",
        (
            (
                "cut at any byte of a head",
                broken_heads("TestHeadCutShort::test_is_never_a_complete_answer"),
            ),
            (
                "cut at any byte of a body",
                broken_heads("TestBodyCutShort::test_is_never_a_complete_answer"),
            ),
            (
                "stream that can't be resumed",
                edge("TestStream::test_that_cannot_be_resumed_is_visibly_cut"),
            ),
            (
                "no length, ends during the upload",
                early_answers(
                    "TestUnframedAnswer::test_that_ends_during_the_upload_is_truncated"
                ),
            ),
            (
                "body without end",
                edge_bodies(
                    "TestEndlessBody::"
                    "test_order_is_visibly_cut_and_leaves_no_memory_taken"
                ),
            ),
        ),
        "compressed bodies",
    ),
    Claim(
        "A request that may have run is never answered as one that was not run.",
        (
            (
                "endpoint's own 408, 429, 503, also forwarded",
                edge_promises("TestOrderThatRan::test_is_not_answered_as_not_run"),
            ),
            (
                "endpoint that states an outcome like an instance",
                edge_promises(
                    "TestOrderThatRan::test_is_not_believed_to_be_refused_by_a_peer"
                ),
            ),
            ("true refusal", edge_promises("TestRefusal::test_stays_one")),
        ),
        unproved="a refusal without an id on a connection in use again (issue 49)",
    ),
    Claim(
        "A store that comes back from an older copy keeps no withdrawn key in use.",
        (
            (
                "withdrawal below the watched revision",
                edge_restored_store(
                    "TestRestoredStore::"
                    "test_withdrawal_below_the_watched_revision_is_read"
                ),
            ),
            (
                "copy with the withdrawn key",
                edge_restored_store(
                    "TestRestoredStore::"
                    "test_older_copy_doesnt_bring_a_withdrawn_key_back"
                ),
            ),
            (
                "readings of several eras in any order",
                catalog_eras(
                    "TestReadingsInAnyOrder::"
                    "test_end_as_the_newest_version_of_the_newest_era"
                ),
            ),
        ),
        unproved="snapshots among peers during the drill (issue 50)",
    ),
    Claim(
        "Stalled streams and silent endpoints end, and nothing runs twice for it.",
        (
            (
                "stalled stream",
                edge_silence("TestStalledStream::test_is_resumed_at_another_endpoint"),
            ),
            (
                "stalled stream, other endpoint full",
                edge_alternatives(
                    "TestRestingStream::"
                    "test_goes_on_if_the_other_endpoint_does_not_take_it"
                ),
            ),
            (
                "overdue response, other endpoint full or failing",
                edge_alternatives(
                    "TestOverdueResponse::"
                    "test_is_delivered_if_the_other_endpoint_does_not_serve_it"
                ),
            ),
            (
                "stalled stream that may run once",
                edge_silence(
                    "TestStalledStream::test_that_may_run_once_is_left_running"
                ),
            ),
            (
                "silent endpoint",
                edge_silence("TestSilentEndpoint::test_order_is_not_sent_again"),
            ),
            (
                "bytes without end, crowd",
                edge_endless(
                    "TestAnswerWithoutEnd::test_leaves_the_process_within_its_limits"
                ),
            ),
            (
                "bytes without end in health checks",
                endless_calls("TestHealthCheck::test_reads_a_short_answer_only"),
            ),
            (
                "bytes without end",
                endless("TestEndlessHead::test_ends_the_attempt_as_uncertain"),
            ),
        ),
        "a byte now and then inside one event",
    ),
)
