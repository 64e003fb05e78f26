"""The workload: prompts with long shared prefixes, and short chats."""

import math

import numpy as np

from experiments.routing.arrival import Arrival
from oriolepaddle.config.model import Organisation
from oriolepaddle.routing import hash_prompt
from oriolepaddle.routing.prefix import CHARACTERS_PER_TOKEN

__all__ = [
    "CHAT_PROMPT_TOKENS",
    "MEAN_OUTPUT_TOKENS",
    "ORGANISATIONS",
    "REGIONS",
    "make_arrivals",
]

REGIONS = ("nordur", "sudur", "austur")
UNBOUND_SHARES = {"vik": 0.36, "dalur": 0.22, "holt": 0.14, "nes": 0.09}
BOUND_SHARE = 0.19
GREEDY_ORGANISATION = "nes"
GREEDY_FACTOR = 4.0
GREEDY_WINDOW = (0.4, 0.6)
DAILY_SWING = 0.2
BURST_FACTOR = 2.0
BURST_S = 4.0
BURST_INTERVAL_S = 30.0
DOSSIERS_PER_REGION = 40
DOSSIER_SHARE = 0.2
DOSSIER_TOKENS = (3000, 7000)
CHAT_PROMPT_TOKENS = 150
CHAT_OUTPUT_TOKENS = 120
DOSSIER_OUTPUT_TOKENS = 250
LENGTH_SIGMA = 0.5
MEAN_OUTPUT_TOKENS = (
    DOSSIER_SHARE * DOSSIER_OUTPUT_TOKENS + (1 - DOSSIER_SHARE) * CHAT_OUTPUT_TOKENS
)
MEAN_TOKENS = MEAN_OUTPUT_TOKENS + CHAT_PROMPT_TOKENS + DOSSIER_SHARE * 5000
RATE_HEADROOM = 1.25
BUCKET_SIZE_S = 10.0
SYSTEM_PROMPT = "You answer from the file below. " * 40


def _make_organisations() -> dict[str, tuple[Organisation, float]]:
    organisations = {}
    for name, share in UNBOUND_SHARES.items():
        organisations[name] = (Organisation(name, 0.0, 0.0), share)
    for region in REGIONS:
        name = f"{region}-heima"
        organisation = Organisation(name, 0.0, 0.0, residency=(region,))
        organisations[name] = (organisation, BOUND_SHARE / len(REGIONS))
    return organisations


ORGANISATIONS = _make_organisations()
"""Each organisation with its share of the requests, by id."""


def make_arrivals(
    rng: np.random.Generator,
    requests_per_s: float,
    duration_s: float,
    is_steady: bool = False,
) -> list[Arrival]:
    """Return the requests of one run within their rate limits, ordered by time.

    Args:
        rng: The source of randomness.
        requests_per_s: The mean rate of all regions together.
        duration_s: The length of the run, in seconds.
        is_steady: Whether to leave out bursts and the greedy organisation.
    """
    dossiers = {region: _make_dossiers(rng, region) for region in REGIONS}
    arrivals: list[Arrival] = []
    for name, (organisation, share) in ORGANISATIONS.items():
        regions = organisation.residency or REGIONS
        rate = requests_per_s * share / len(regions)
        for region in regions:
            rates = _vary_over_the_day(rate, region, duration_s)
            if not is_steady:
                rates = _add_bursts(rng, rates, name)
            times = _draw_times(rng, rates)
            arrivals += [
                _make_arrival(rng, float(t), region, organisation, dossiers[region])
                for t in times
            ]
    arrivals.sort(key=lambda arrival: arrival.time_s)
    return _apply_rate_limits(arrivals, requests_per_s)


def _make_dossiers(
    rng: np.random.Generator, region: str
) -> list[tuple[int, tuple[int, ...]]]:
    dossiers = []
    for index in range(DOSSIERS_PER_REGION):
        tokens = int(rng.integers(*DOSSIER_TOKENS))
        line = f"{region} file {index}, an entry of the exchange. "
        text = SYSTEM_PROMPT + line * (tokens * CHARACTERS_PER_TOKEN // len(line))
        dossiers.append((len(text) // CHARACTERS_PER_TOKEN, hash_prompt(text)))
    return dossiers


def _vary_over_the_day(rate: float, region: str, duration_s: float) -> np.ndarray:
    # A run simulates one day; the peaks of the regions are offset.
    phase = REGIONS.index(region) / len(REGIONS)
    daily_factor = np.sin(2 * math.pi * (np.arange(duration_s) / duration_s + phase))
    return rate * (1 + DAILY_SWING * daily_factor)


def _add_bursts(rng: np.random.Generator, rates: np.ndarray, name: str) -> np.ndarray:
    duration_s = len(rates)
    seconds = np.arange(duration_s)
    rates = rates / (1 + (BURST_FACTOR - 1) * BURST_S / BURST_INTERVAL_S)
    for start_s in rng.uniform(0, duration_s, int(duration_s / BURST_INTERVAL_S)):
        is_burst = (seconds >= start_s) & (seconds < start_s + BURST_S)
        rates = np.where(is_burst, rates * BURST_FACTOR, rates)
    if name != GREEDY_ORGANISATION:
        return rates
    start_s, end_s = (share * duration_s for share in GREEDY_WINDOW)
    is_greedy = (seconds >= start_s) & (seconds < end_s)
    return np.where(is_greedy, rates * GREEDY_FACTOR, rates)


def _draw_times(rng: np.random.Generator, rates: np.ndarray) -> np.ndarray:
    counts = rng.poisson(rates)
    return np.repeat(np.arange(len(rates)), counts) + rng.uniform(
        0, 1, int(counts.sum())
    )


def _make_arrival(
    rng: np.random.Generator,
    time_s: float,
    region: str,
    organisation: Organisation,
    dossiers: list[tuple[int, tuple[int, ...]]],
) -> Arrival:
    prompt_tokens = int(rng.lognormal(math.log(CHAT_PROMPT_TOKENS), LENGTH_SIGMA)) + 1
    mean, limit, hashes = CHAT_OUTPUT_TOKENS, 256, ()
    if rng.random() < DOSSIER_SHARE:
        # The popularity of the dossiers follows Zipf's law.
        index = int(len(dossiers) ** rng.random()) - 1
        tokens, hashes = dossiers[index]
        prompt_tokens += tokens
        mean, limit = DOSSIER_OUTPUT_TOKENS, 768
    log_mean = math.log(mean) - LENGTH_SIGMA**2 / 2
    output_tokens = min(limit, int(rng.lognormal(log_mean, LENGTH_SIGMA)) + 1)
    return Arrival(
        time_s, region, organisation, prompt_tokens, output_tokens, limit, hashes
    )


def _apply_rate_limits(arrivals: list[Arrival], requests_per_s: float) -> list[Arrival]:
    # One exact token bucket for the whole fleet replaces the limits subpackage.
    admitted = []
    buckets: dict[str, tuple[float, float]] = {}
    for arrival in arrivals:
        name = arrival.organisation.id
        rate = requests_per_s * ORGANISATIONS[name][1] * MEAN_TOKENS * RATE_HEADROOM
        burst = rate * BUCKET_SIZE_S
        tokens, updated_s = buckets.get(name, (burst, 0.0))
        tokens = min(burst, tokens + rate * (arrival.time_s - updated_s))
        used = arrival.prompt_tokens + arrival.output_tokens
        if used <= tokens:
            tokens -= used
            admitted.append(arrival)
        buckets[name] = (tokens, arrival.time_s)
    return admitted
