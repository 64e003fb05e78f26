"""Print the cost of the checks on a stream.

Run with `python -m experiments.streams`.
"""

from rich.console import Console
from rich.table import Table

from experiments.streams.measurement import measure_costs

__all__ = ["main"]

EVENTS = 100_000
TOKENS_PER_S = 2_000_000
INSTANCES = 420


def main() -> None:
    """Measure the cost of each step and print one table."""
    rate_per_s = TOKENS_PER_S / INSTANCES
    table = Table("step", "an event", f"of a core at {rate_per_s:.0f} events/s")
    for cost in measure_costs(EVENTS):
        share = cost.microseconds * rate_per_s / 1e6
        table.add_row(cost.step, f"{cost.microseconds:.2f} µs", f"{share:.1%}")
    Console(width=100).print(table)


if __name__ == "__main__":
    main()
