"""How fast the events of streams follow each other."""

__all__ = ["EndpointPace", "ServicePace"]

FIRST_EVENTS_PER_TOKEN = 0.1
"""Events for each token of the longest answer, before it is learned."""
FIRST_PAUSE_S = 0.08
"""Time between two events before it is learned."""
SHAPE_WEIGHT = 0.05
SERVICE_WEIGHT = 0.01
ENDPOINT_WEIGHT = 0.1
"""Parts by which a sample moves what is held; the pace of an endpoint follows some
ten events, that of a service a hundred."""
FRESH_S = 1.5
"""Age at which an endpoint's pace is taken to be that of its service."""


class ServicePace:
    """What the endpoints of a service have in common.

    Attributes:
        events_per_token: Events of an answer for each token that it may have.
        pause_s: Seconds between two events, over all endpoints.
    """

    def __init__(self) -> None:
        self.events_per_token = FIRST_EVENTS_PER_TOKEN
        self.pause_s = FIRST_PAUSE_S

    def learn_answer(self, events: int, output_tokens: int) -> None:
        """Learn from a whole answer."""
        if output_tokens > 0:
            sample = events / output_tokens
            self.events_per_token += SHAPE_WEIGHT * (sample - self.events_per_token)

    def note_pause(self, pause_s: float) -> None:
        """Learn from the time between two events."""
        self.pause_s += SERVICE_WEIGHT * (pause_s - self.pause_s)


class EndpointPace:
    """The pace of one endpoint's streams.

    The load that this answers: an engine reads prompts between the tokens of its
    streams, so that long prompts make long answers miss their deadline.

    Args:
        service: The pace of its service.
    """

    def __init__(self, service: ServicePace) -> None:
        self.service = service
        self._pause_s = FIRST_PAUSE_S
        self._noted_s = float("-inf")

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Learn from the time between two events of one stream.

        Args:
            pause_s: The time in seconds.
            now_s: Monotonic seconds.
        """
        self._pause_s = self.pause_s(now_s)
        self._pause_s += ENDPOINT_WEIGHT * (pause_s - self._pause_s)
        self._noted_s = now_s
        self.service.note_pause(pause_s)

    def pause_s(self, now_s: float) -> float:
        """Return the seconds between two events."""
        is_fresh = now_s - self._noted_s <= FRESH_S
        return self._pause_s if is_fresh else self.service.pause_s

    def expect_s(self, output_tokens: int, now_s: float) -> float:
        """Return the seconds from the first event of an answer to its last."""
        return output_tokens * self.service.events_per_token * self.pause_s(now_s)
