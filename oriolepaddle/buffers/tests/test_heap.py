import subprocess
import sys

SCRIPT = """
from oriolepaddle.buffers import limit_heap
assert limit_heap()
"""


class TestHeap:
    # Guards against options that the C library doesn't take; a process of its own, as
    # they hold for the whole process.
    def test_options_are_taken(self):
        subprocess.run([sys.executable, "-c", SCRIPT], check=True)
