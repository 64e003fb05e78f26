"""The workload: bursty requests of organisations of different sizes."""

import math

import attrs
import numpy as np

__all__ = ["MEAN_OUTPUT_TOKENS", "OUTPUT_LIMIT", "SHARES", "Demand", "make_demands"]

SHARES = {"vik": 0.42, "dalur": 0.24, "holt": 0.15, "nes": 0.12, "tunga": 0.07}
"""Share of the requests by organisation."""
PROMPT_TOKENS = 300
MEAN_OUTPUT_TOKENS = 150
LENGTH_SIGMA = 0.5
OUTPUT_LIMIT = 400
DEADLINES_S = (30.0, 60.0)
BURST_FACTOR = 3.0
BURST_S = 3.0
BURST_INTERVAL_S = 30.0


@attrs.frozen
class Demand:
    """A request.

    Attributes:
        time_s: When the request arrives, in seconds.
        organisation: The caller's organisation.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens of the answer.
        deadline_s: The deadline of the complete answer, in seconds.
    """

    time_s: float
    organisation: str
    prompt_tokens: int
    output_tokens: int
    deadline_s: float


def make_demands(
    rng: np.random.Generator, requests_per_s: float, duration_s: float
) -> list[Demand]:
    """Return the requests of one run, ordered by time.

    Args:
        rng: The source of randomness.
        requests_per_s: The mean rate of all organisations together.
        duration_s: The length of the run, in seconds.
    """
    demands = []
    for name, share in SHARES.items():
        times = _draw_times(rng, requests_per_s * share, duration_s)
        demands += [_make_demand(rng, float(time_s), name) for time_s in times]
    return sorted(demands, key=lambda demand: demand.time_s)


def _draw_times(rng: np.random.Generator, rate: float, duration_s: float) -> np.ndarray:
    seconds = np.arange(duration_s)
    bursts = int(duration_s / BURST_INTERVAL_S)
    burst_share = bursts * BURST_S / duration_s
    rates = np.full(len(seconds), rate / (1 + (BURST_FACTOR - 1) * burst_share))
    base_rates = rates.copy()
    for start_s in rng.uniform(0, duration_s, bursts):
        is_burst = (seconds >= start_s) & (seconds < start_s + BURST_S)
        rates = np.where(is_burst, base_rates * BURST_FACTOR, rates)
    counts = rng.poisson(rates)
    return np.repeat(seconds, counts) + rng.uniform(0, 1, int(counts.sum()))


def _make_demand(rng: np.random.Generator, time_s: float, name: str) -> Demand:
    log_mean = math.log(MEAN_OUTPUT_TOKENS) - LENGTH_SIGMA**2 / 2
    output_tokens = min(OUTPUT_LIMIT, int(rng.lognormal(log_mean, LENGTH_SIGMA)) + 1)
    prompt_tokens = int(rng.lognormal(math.log(PROMPT_TOKENS), LENGTH_SIGMA)) + 1
    wait_s = float(rng.choice(DEADLINES_S))
    return Demand(time_s, name, prompt_tokens, output_tokens, time_s + wait_s)
