"""A plot of added attempts, success and latency by fault and policy."""

from pathlib import Path

import numpy as np
from matplotlib.figure import Figure

from experiments.retries._scenario import Policy
from experiments.retries._table import COLUMNS, Results

__all__ = ["plot"]

BAR_WIDTH = 0.09
HEADINGS = ("added %", "success %", "p99 s")


def plot(results: Results, path: Path) -> None:
    """Plot medians with the range over the seeds and write the plot to `path`."""
    faults = list(dict.fromkeys(fault for fault, _ in results))
    figure = Figure(figsize=(13, 10), layout="constrained")
    for heading, axes in zip(HEADINGS, figure.subplots(3, 1, sharex=True), strict=True):
        read, _ = COLUMNS[heading]
        for offset, policy in enumerate(Policy):
            rows = [results.get((fault, policy), []) for fault in faults]
            positions = [position for position, row in enumerate(rows) if row]
            values = [[read(measures) for measures in row] for row in rows if row]
            medians = np.median(values, axis=1)
            errors = [medians - np.min(values, 1), np.max(values, 1) - medians]
            x = np.array(positions) + (offset - 4) * BAR_WIDTH
            axes.bar(x, medians, BAR_WIDTH, yerr=errors, label=policy.value)
        axes.set_ylabel(heading)
        axes.set_yscale("symlog" if heading == "added %" else "linear")
    names = [fault.value for fault in faults]
    axes.set_xticks(range(len(faults)), names, rotation=25, ha="right")
    axes.legend(ncols=3)
    figure.savefig(path)
