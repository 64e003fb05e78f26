import subprocess
import sys

EDGE = "oriolepaddle.daemon.__main__, oriolepaddle.daemon.edge_instance"
NEEDLESS = (
    "admission",
    "commands",
    "gateway",
    "membership",
    "orders",
    "quarantine",
    "routing",
)


class TestEdgeImports:
    def test_are_no_other_programs_parts(self):
        """The load: a restart of everything, with callers already waiting."""
        program = f"import sys, {EDGE}; print(*sys.modules)"
        command = [sys.executable, "-c", program]
        loaded = subprocess.run(command, check=True, capture_output=True, text=True)
        names = set(loaded.stdout.split())
        assert not {f"oriolepaddle.{name}" for name in NEEDLESS} & names
