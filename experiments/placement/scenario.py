"""Loads and placement variants of the experiment."""

import attrs

from experiments.placement.batch_engine import EngineParameters
from experiments.placement.pace import PaceParameters
from oriolepaddle.placement import PlacementWeights

__all__ = ["SCENARIOS", "VARIANTS", "RequestKind", "Scenario", "Variant"]


@attrs.frozen
class RequestKind:
    """A kind of request.

    Attributes:
        name: The label in the table.
        rate_per_s: Requests per second in the region.
        own_tokens: Mean tokens of the part of the prompt that no other request shares.
        shared_tokens: Tokens of the two shared prefix parts: one of four common
            prefixes, and the part that belongs to a subject.
        subjects: Number of subjects that requests draw from.
        output_tokens: Mean tokens of an answer.
        target_s: Latest time to the first event of an answer on time, in seconds.
        max_gap_s: Longest pause between events of an answer on time, in seconds.
        deadline_s: Time after which an answer has no value, in seconds.
        value: Value of an answer on time.
    """

    name: str
    rate_per_s: float
    own_tokens: int
    shared_tokens: tuple[int, int]
    subjects: int
    output_tokens: int
    target_s: float
    max_gap_s: float
    deadline_s: float
    value: float


@attrs.frozen
class Scenario:
    """The load and the engines of one region.

    Attributes:
        name: The label in the table.
        kinds: The kinds of requests.
        engines: Speed of each engine, relative to the parameters.
        parameters: Size and speed of an engine of speed 1.
        instances: Number of instances that place requests.
        unresponsive_engines: Number of engines that stop responding for a few
            seconds, from the middle of the run on.
        pace: How the engines' pace varies, or None if it is as usual.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    engines: tuple[float, ...]
    parameters: EngineParameters = EngineParameters()
    instances: int = 8
    unresponsive_engines: int = 0
    pace: PaceParameters | None = None


@attrs.frozen
class Variant:
    """A configuration of the placer and its surroundings to compare.

    Attributes:
        name: The label in the table.
        weights: Weights of the costs beside the time to the first byte.
        uses_urgency: Whether engines admit requests by urgency.
        fetches_prefixes: Whether engines fetch cached prefixes from other engines.
        announces_prefixes: Whether instances announce to each other which prefixes
            they sent to which endpoint.
        uses_queue: Whether requests that are due late wait at the instances for
            those that are due soon.
        knows_paces: Whether the instances read the paces that engines report.
    """

    name: str
    weights: PlacementWeights
    uses_urgency: bool
    fetches_prefixes: bool = True
    announces_prefixes: bool = True
    uses_queue: bool = False
    knows_paces: bool = True


RELATIVE_SPEEDS = (0.6, 1.0, 1.6)


def _make_kinds(load: float) -> tuple[RequestKind, ...]:
    return (
        RequestKind(
            "long", 130 * load, 2890, (2520, 3780), 911, 52, 1.035, 0.6, 4.1, 2.7
        ),
        RequestKind(
            "short", 150 * load, 628, (119, 79), 1564, 290, 0.815, 0.6, 10.2, 2.4
        ),
    )


def _make_competing_kinds(load: float) -> tuple[RequestKind, ...]:
    return (
        RequestKind(
            "long", 82 * load, 2890, (2520, 3780), 911, 52, 2.035, 2.0, 5.088, 2.2
        ),
        RequestKind(
            "short", 160 * load, 628, (119, 79), 1564, 290, 0.815, 2.0, 15.285, 2.9
        ),
    )


_SLOW_ENGINE = EngineParameters(
    slots=128, cache_tokens=257_123, prefill_tokens_per_s=41_400.0
)
COMPETING_LOADS = (0.3, 0.7, 1.0, 1.5, 3.0)
"""Loads of the competing kinds, as a multiple of what the engines can just read."""
_ENGINES = tuple(RELATIVE_SPEEDS[number % 3] for number in range(14))
SCENARIOS = (
    Scenario("busy", _make_kinds(0.7), _ENGINES),
    Scenario("peak", _make_kinds(1.0), _ENGINES),
    Scenario("peak, 26 instances", _make_kinds(1.0), _ENGINES, instances=26),
    Scenario("overload", _make_kinds(1.3), _ENGINES),
    *(
        Scenario(
            f"competing, load {load}",
            _make_competing_kinds(load),
            (1.0,) * 14,
            _SLOW_ENGINE,
        )
        for load in COMPETING_LOADS
    ),
    Scenario("dark", _make_kinds(0.7), _ENGINES, unresponsive_engines=4),
    Scenario("busy, uneven", _make_kinds(0.7), _ENGINES, pace=PaceParameters()),
    Scenario("peak, uneven", _make_kinds(1.0), _ENGINES, pace=PaceParameters()),
)
_FIRST_BYTE_ONLY = PlacementWeights(0.0, 0.0)
_DEFAULT_WEIGHTS = PlacementWeights()
VARIANTS = (
    Variant("first byte only", _FIRST_BYTE_ONLY, False),
    Variant("urgency only", _FIRST_BYTE_ONLY, True),
    Variant("no urgency", _DEFAULT_WEIGHTS, False),
    Variant("no stream", attrs.evolve(_DEFAULT_WEIGHTS, stream=0.0), True),
    Variant("no disturbance", attrs.evolve(_DEFAULT_WEIGHTS, interference=0.0), True),
    Variant("neither fetched nor told", _DEFAULT_WEIGHTS, True, False, False),
    Variant("fetched, not told", _DEFAULT_WEIGHTS, True, True, False),
    Variant("without paces", _DEFAULT_WEIGHTS, True, knows_paces=False),
    Variant("chosen", _DEFAULT_WEIGHTS, True),
    Variant("queue", _DEFAULT_WEIGHTS, True, uses_queue=True),
)
