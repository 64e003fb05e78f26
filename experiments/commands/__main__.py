"""Print how the engines of a data centre are brought to a new placement.

Run with `python -m experiments.commands`.
"""

from datetime import timedelta

from rich.console import Console
from rich.table import Table

from experiments.commands.choice import compare_choices
from experiments.commands.simulation import simulate

__all__ = ["main"]

ENGINES = 71
ISSUERS = 8
LOAD_TIME = timedelta(seconds=60)
SEED = 7


def main() -> None:
    """Run the simulation and print one table."""
    table = Table("issuers", "bound", "peak loads", "all in place", "commands", "reads")
    for issuers in (1, ISSUERS):
        for max_loads in (2, 8):
            run = simulate(ENGINES, issuers, max_loads, LOAD_TIME, SEED)
            table.add_row(
                f"{issuers}",
                f"{max_loads}",
                f"{run.peak_loads}",
                f"{run.finished_s:.0f} s",
                f"{run.commands}",
                f"{run.reads_per_s:.1f}/s each",
            )
    for max_loads in (2, 8):
        choice = compare_choices(ENGINES, ISSUERS, max_loads, SEED)
        table.add_row(
            f"{ISSUERS}, read at once",
            f"{max_loads}",
            f"{choice.shared} shared order, {choice.independent} own orders",
        )
    console = Console(width=110)
    console.print(table)
    console.print(f"{ENGINES} engines, a load takes {LOAD_TIME}, seed {SEED}")


if __name__ == "__main__":
    main()
