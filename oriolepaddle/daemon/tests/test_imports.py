import subprocess
import sys

EDGE = "oriolepaddle.daemon.command, oriolepaddle.daemon.edge_instance"
UNUSED_PACKAGES = (
    "admission.admission",
    "admission.admission_limits",
    "admission.admission_queue",
    "admission.admission_slot",
    "admission.aim",
    "admission.fair_queue",
    "admission.waiting_queue",
    "commands",
    "gateway",
    "membership",
    "orders",
    "quarantine",
    "routing",
)


class TestEdgeImports:
    def test_exclude_what_only_the_gateway_uses(self):
        """Unneeded imports delay a full restart, while callers already wait."""
        program = f"import sys, {EDGE}; print(*sys.modules)"
        command = [sys.executable, "-c", program]
        loaded = subprocess.run(command, check=True, capture_output=True, text=True)
        names = set(loaded.stdout.split())
        assert not {f"oriolepaddle.{name}" for name in UNUSED_PACKAGES} & names
