"""What is played and how the placer is set."""

import attrs

from experiments.placement.batch_engine import EngineFigures
from oriolepaddle.placement import PlacementWeights

__all__ = ["SCENARIOS", "VARIANTS", "Kind", "Scenario", "Variant"]


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        rate_per_s: Requests a second in the region.
        own_tokens: Mean tokens of the part that no other request has.
        shared_tokens: Tokens of the parts that others have too: one that few
            prompts begin with, and one for each subject.
        subjects: Number of subjects.
        output_tokens: Mean tokens of the answer.
        target_s: Seconds to the first event for an answer on time.
        gap_s: The longest pause for an answer on time.
        deadline_s: Seconds until the answer is worth nothing.
        worth: What an answer on time is worth.
    """

    name: str
    rate_per_s: float
    own_tokens: int
    shared_tokens: tuple[int, int]
    subjects: int
    output_tokens: int
    target_s: float
    gap_s: float
    deadline_s: float
    worth: float


@attrs.frozen
class Scenario:
    """A region at its peak.

    Attributes:
        name: Its name.
        kinds: What is asked for.
        engines: Its engines' speeds relative to the figures.
        figures: The figures.
        instances: Instances that place requests.
        dark: Engines that answer nothing from the middle on, for some seconds.
    """

    name: str
    kinds: tuple[Kind, ...]
    engines: tuple[float, ...]
    figures: EngineFigures = EngineFigures()
    instances: int = 8
    dark: int = 0


@attrs.frozen
class Variant:
    """A setting of the decisions that are compared.

    Attributes:
        name: Its name.
        weights: What the placer minds beside the first byte.
        has_urgency: Whether requests have ranks at the engines.
        has_fetching: Whether engines fetch the beginnings of prompts.
        has_telling: Whether instances tell each other which prompts they sent where.
    """

    name: str
    weights: PlacementWeights
    has_urgency: bool
    has_fetching: bool = True
    has_telling: bool = True


SPEEDS = (0.6, 1.0, 1.6)


def _make_kinds(load: float) -> tuple[Kind, ...]:
    return (
        Kind("long", 130 * load, 2890, (2520, 3780), 911, 52, 1.035, 0.6, 4.1, 2.7),
        Kind("short", 150 * load, 628, (119, 79), 1564, 290, 0.815, 0.6, 10.2, 2.4),
    )


_ENGINES = tuple(SPEEDS[number % 3] for number in range(14))
SCENARIOS = (
    Scenario("busy", _make_kinds(0.7), _ENGINES),
    Scenario("peak", _make_kinds(1.0), _ENGINES),
    Scenario("peak, 26 instances", _make_kinds(1.0), _ENGINES, instances=26),
    Scenario("overload", _make_kinds(1.3), _ENGINES),
    Scenario("dark", _make_kinds(0.7), _ENGINES, dark=4),
)
_NONE = PlacementWeights(0.0, 0.0)
_CHOSEN = PlacementWeights()
VARIANTS = (
    Variant("first byte only", _NONE, False),
    Variant("urgency only", _NONE, True),
    Variant("no urgency", _CHOSEN, False),
    Variant("no stream", attrs.evolve(_CHOSEN, stream=0.0), True),
    Variant("no disturbance", attrs.evolve(_CHOSEN, interference=0.0), True),
    Variant("neither fetched nor told", _CHOSEN, True, False, False),
    Variant("fetched, not told", _CHOSEN, True, True, False),
    Variant("chosen", _CHOSEN, True),
)
