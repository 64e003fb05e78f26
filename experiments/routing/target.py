"""The targets and whether the runs met them."""

import attrs

from experiments.routing.runs import CHOSEN
from experiments.routing.summary import Summary

__all__ = ["Target", "check_targets"]

Summaries = dict[tuple[str, str], Summary]


@attrs.frozen
class Target:
    """A bound and what was measured against it.

    Attributes:
        name: What is bound.
        bound: The bound.
        measured: The measured figure.
        is_upper: Whether the figure must not be above the bound.
    """

    name: str
    bound: float
    measured: float
    is_upper: bool = True

    @property
    def is_met(self) -> bool:
        """Whether the measured figure keeps the bound."""
        if self.is_upper:
            return self.measured <= self.bound
        return self.measured >= self.bound

    def show(self) -> str:
        """Return one line on the target."""
        word = "met" if self.is_met else "NOT MET"
        sign = "<=" if self.is_upper else ">="
        return f"{word:8}{self.name}: {self.measured:.3f}, bound {sign} {self.bound}"


def check_targets(summaries: Summaries) -> list[Target]:
    """Return all targets with what the runs showed."""
    targets = [
        _compare_p99(summaries, scenario)
        for scenario in dict.fromkeys(scenario for scenario, _ in summaries)
    ]
    chosen = summaries["light", CHOSEN].computed_tokens.mean
    random = summaries["light", "random"].computed_tokens.mean
    targets.append(Target("light: prefill tokens, to random", 0.5, chosen / random))
    lost = summaries["region lost", CHOSEN].bound_p99_s.mean
    calm = summaries["calm", CHOSEN].bound_p99_s.mean
    name = "region lost: p99 of other regions' bound requests, to calm"
    targets.append(Target(name, 1.2, lost / calm))
    in_time = summaries["busy", CHOSEN].in_time.mean
    name = "busy: part with the first token in 1.5 s"
    targets.append(Target(name, 0.95, in_time, is_upper=False))
    breaches = sum(summary.breaches for summary in summaries.values())
    targets.append(Target("outside the region or passed on twice", 0, breaches))
    return targets


def _compare_p99(summaries: Summaries, scenario: str) -> Target:
    chosen = summaries[scenario, CHOSEN].p99_s.mean
    least = summaries[scenario, "least outstanding"].p99_s.mean
    name = f"{scenario}: p99 to first token, to least outstanding"
    return Target(name, 0.6, chosen / least)
