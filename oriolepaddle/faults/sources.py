"""The test files that the fault matrix names."""

__all__ = [
    "admission",
    "commands",
    "daemon",
    "endpoints",
    "hand_over",
    "limits",
    "membership",
    "merge",
    "order_faults",
    "order_fleet",
    "order_registry",
    "path",
    "process_rate",
    "quarantine",
    "quarantine_claims",
    "quarantine_narrowing",
    "quarantine_spread",
    "recovery",
    "router",
    "router_failure",
    "streams",
    "sync",
    "ticket",
]


class _Source:
    """Makes node ids of one test file."""

    def __init__(self, path: str) -> None:
        self._path = path

    def __call__(self, name: str) -> str:
        return f"oriolepaddle/{self._path}::{name}"


admission = _Source("admission/tests/test_admission.py")
commands = _Source("commands/tests/test_issuer.py")
daemon = _Source("daemon/tests/test_faults.py")
endpoints = _Source("endpoints/tests/test_transport.py")
hand_over = _Source("limits/tests/test_hand_over.py")
limits = _Source("limits/tests/test_faults.py")
membership = _Source("membership/tests/test_membership.py")
merge = _Source("config/tests/test_merge.py")
order_faults = _Source("daemon/tests/test_order_faults.py")
order_fleet = _Source("orders/tests/test_fleet.py")
order_registry = _Source("orders/tests/test_registry.py")
path = _Source("daemon/tests/test_path.py")
process_rate = _Source("daemon/tests/test_rate.py")
quarantine = _Source("quarantine/tests/test_quarantine.py")
quarantine_claims = _Source("quarantine/tests/test_claims.py")
quarantine_narrowing = _Source("quarantine/tests/test_narrowing.py")
quarantine_spread = _Source("quarantine/tests/test_spread.py")
recovery = _Source("config/tests/test_recovery.py")
router = _Source("routing/tests/test_router.py")
router_failure = _Source("routing/tests/test_endpoint_failure.py")
streams = _Source("streams/tests/test_stream.py")
sync = _Source("config/tests/test_sync.py")
ticket = _Source("config/tests/test_ticket.py")
