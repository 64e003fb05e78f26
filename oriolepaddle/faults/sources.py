"""The test files that the fault matrix names."""

__all__ = [
    "admission",
    "authenticator",
    "broken_answers",
    "broken_heads",
    "budget",
    "commands",
    "daemon",
    "descriptor_watch",
    "answer_statuses",
    "catalog_eras",
    "early_answers",
    "edge",
    "edge_alternatives",
    "edge_bodies",
    "edge_broken_answers",
    "edge_endless",
    "edge_keys",
    "edge_promises",
    "edge_restored_store",
    "edge_signals",
    "edge_silence",
    "edge_sink",
    "endless",
    "endless_calls",
    "endpoints",
    "extra_bytes",
    "gossip_signals",
    "hand_over",
    "handle_pool",
    "late_copies",
    "limits",
    "membership",
    "merge",
    "order_faults",
    "order_fleet",
    "order_registry",
    "path",
    "process_rate",
    "process_signals",
    "quarantine",
    "quarantine_claims",
    "quarantine_narrowing",
    "quarantine_spread",
    "recovery",
    "request_keys",
    "request_parser",
    "router",
    "router_failure",
    "server",
    "short_calls",
    "shortage",
    "signal_board",
    "signal_pauses",
    "streams",
    "sync",
    "ticket",
]


class _TestFile:
    """Returns the node ids of tests in one file."""

    def __init__(self, path: str) -> None:
        self._path = path

    def __call__(self, name: str) -> str:
        return f"oriolepaddle/{self._path}::{name}"


admission = _TestFile("admission/tests/test_admission.py")
authenticator = _TestFile("gateway/tests/test_authenticator.py")
broken_answers = _TestFile("daemon/tests/test_broken_answers.py")
broken_heads = _TestFile("endpoints/tests/test_broken_heads.py")
budget = _TestFile("buffers/tests/test_budget.py")
commands = _TestFile("commands/tests/test_issuer.py")
daemon = _TestFile("daemon/tests/test_faults.py")
descriptor_watch = _TestFile("daemon/tests/test_descriptors.py")
answer_statuses = _TestFile("endpoints/tests/test_statuses.py")
catalog_eras = _TestFile("catalog/tests/test_eras.py")
early_answers = _TestFile("endpoints/tests/test_early_answers.py")
edge = _TestFile("daemon/tests/test_edge.py")
edge_alternatives = _TestFile("daemon/tests/test_edge_alternatives.py")
edge_bodies = _TestFile("daemon/tests/test_edge_bodies.py")
edge_broken_answers = _TestFile("daemon/tests/test_edge_broken_answers.py")
edge_keys = _TestFile("daemon/tests/test_edge_keys.py")
edge_promises = _TestFile("daemon/tests/test_edge_promises.py")
edge_restored_store = _TestFile("daemon/tests/test_edge_restored_store.py")
edge_signals = _TestFile("daemon/tests/test_edge_signals.py")
edge_silence = _TestFile("daemon/tests/test_edge_silence.py")
edge_sink = _TestFile("edge/tests/test_sink.py")
edge_endless = _TestFile("daemon/tests/test_edge_endless.py")
endless = _TestFile("endpoints/tests/test_endless.py")
endless_calls = _TestFile("endpoints/tests/test_endless_calls.py")
endpoints = _TestFile("endpoints/tests/test_transport.py")
extra_bytes = _TestFile("platform/tests/test_extra_bytes.py")
gossip_signals = _TestFile("gossip/tests/test_signals.py")
hand_over = _TestFile("limits/tests/test_hand_over.py")
handle_pool = _TestFile("endpoints/tests/test_pool_bounds.py")
late_copies = _TestFile("endpoints/tests/test_late_copies.py")
limits = _TestFile("limits/tests/test_faults.py")
membership = _TestFile("membership/tests/test_membership.py")
merge = _TestFile("config/tests/test_merge.py")
order_faults = _TestFile("daemon/tests/test_order_faults.py")
order_fleet = _TestFile("orders/tests/test_fleet.py")
order_registry = _TestFile("orders/tests/test_registry.py")
path = _TestFile("daemon/tests/test_path.py")
process_rate = _TestFile("daemon/tests/test_rate.py")
process_signals = _TestFile("daemon/tests/test_signals.py")
quarantine = _TestFile("quarantine/tests/test_quarantine.py")
quarantine_claims = _TestFile("quarantine/tests/test_claims.py")
quarantine_narrowing = _TestFile("quarantine/tests/test_narrowing.py")
quarantine_spread = _TestFile("quarantine/tests/test_spread.py")
recovery = _TestFile("config/tests/test_recovery.py")
request_keys = _TestFile("gateway/tests/test_keys.py")
request_parser = _TestFile("web/tests/test_parser.py")
router = _TestFile("routing/tests/test_router.py")
router_failure = _TestFile("routing/tests/test_endpoint_failure.py")
server = _TestFile("web/tests/test_server.py")
short_calls = _TestFile("answers/tests/test_call.py")
shortage = _TestFile("web/tests/test_shortage.py")
slow_clients = _TestFile("daemon/tests/test_slow_clients.py")
signal_board = _TestFile("signals/tests/test_board.py")
signal_pauses = _TestFile("signals/tests/test_pauses.py")
streams = _TestFile("streams/tests/test_stream.py")
sync = _TestFile("config/tests/test_sync.py")
ticket = _TestFile("config/tests/test_ticket.py")
