"""The targets of the experiment and a check against the results."""

import attrs

from experiments.routing.runs import CHOSEN
from experiments.routing.summary import Summary

__all__ = ["Target", "check_targets"]

Summaries = dict[tuple[str, str], Summary]


@attrs.frozen
class Target:
    """A bound and the value measured for it.

    Attributes:
        name: The label of the measured value.
        bound: The bound.
        measured: The measured value.
        is_upper: Whether the bound is an upper bound.
    """

    name: str
    bound: float
    measured: float
    is_upper: bool = True

    @property
    def is_met(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.is_upper:
            return self.measured <= self.bound
        return self.measured >= self.bound

    def show(self) -> str:
        """Format the target as one line."""
        word = "met" if self.is_met else "NOT MET"
        sign = "<=" if self.is_upper else ">="
        return f"{word:8}{self.name}: {self.measured:.3f}, bound {sign} {self.bound}"


def check_targets(summaries: Summaries) -> list[Target]:
    """Return all targets with their measured values."""
    targets = [
        _compare_p99(summaries, scenario)
        for scenario in dict.fromkeys(scenario for scenario, _ in summaries)
    ]
    chosen_tokens = summaries["light", CHOSEN].computed_tokens.mean
    random_tokens = summaries["light", "random"].computed_tokens.mean
    targets.append(
        Target("light: prefill tokens, to random", 0.5, chosen_tokens / random_tokens)
    )
    outage_p99_s = summaries["region lost", CHOSEN].residency_p99_s.mean
    calm_p99_s = summaries["calm", CHOSEN].residency_p99_s.mean
    name = "region lost: p99 of other regions' bound requests, to calm"
    targets.append(Target(name, 1.2, outage_p99_s / calm_p99_s))
    in_time = summaries["busy", CHOSEN].in_time.mean
    name = "busy: part with the first token in 1.5 s"
    targets.append(Target(name, 0.95, in_time, is_upper=False))
    violations = sum(summary.violations for summary in summaries.values())
    targets.append(Target("outside the region or passed on twice", 0, violations))
    return targets


def _compare_p99(summaries: Summaries, scenario: str) -> Target:
    chosen_p99_s = summaries[scenario, CHOSEN].p99_s.mean
    baseline_p99_s = summaries[scenario, "least outstanding"].p99_s.mean
    name = f"{scenario}: p99 to first token, to least outstanding"
    return Target(name, 0.6, chosen_p99_s / baseline_p99_s)
