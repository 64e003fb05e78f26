"""A plot of the distribution of times to the first token."""

from pathlib import Path

import matplotlib
import numpy as np

from experiments.routing.measures import Measures
from experiments.routing.runs import POLICIES, Run
from experiments.routing.scenario import SCENARIOS

__all__ = ["draw"]


def draw(results: dict[Run, Measures], path: Path) -> None:
    """Plot the share of requests above each latency, by scenario and policy."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 3, figsize=(14, 8), sharex=True, sharey=True)
    for axis, scenario in zip(axes.flat, SCENARIOS, strict=True):
        for policy in POLICIES:
            samples = np.sort(_collect(results, scenario.name, policy))
            late_share = 1.0 - np.arange(len(samples)) / len(samples)
            axis.loglog(samples, late_share, label=policy)
        axis.axvline(1.5, linestyle=":", color="grey")
        axis.set_title(scenario.name)
        axis.set_xlabel("time to first token (s)")
        axis.set_ylabel("part of requests later")
    axes.flat[0].legend()
    figure.tight_layout()
    figure.savefig(path)


def _collect(results: dict[Run, Measures], scenario: str, policy: str) -> np.ndarray:
    samples_by_run = [
        measures.first_token_s
        for run, measures in results.items()
        if run.scenario == scenario and run.policy == policy
    ]
    return np.concatenate(samples_by_run)
