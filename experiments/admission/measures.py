"""What one run showed."""

import attrs

__all__ = ["Measures"]


@attrs.define
class Measures:
    """Counts and latencies of one run, after the warm-up.

    Attributes:
        asked_tokens: Output tokens asked for, by organisation.
        served_tokens: Output tokens of answers within their deadlines.
        late_tokens: Output tokens of answers after their deadlines.
        first_token_s: Seconds to the first token of each answer.
        requests: Requests that came in.
        refused: Refused requests by error code.
        capacity_tokens: Output tokens that all slots can make.
    """

    asked_tokens: dict[str, float] = attrs.Factory(dict)
    served_tokens: dict[str, float] = attrs.Factory(dict)
    late_tokens: float = 0.0
    first_token_s: list[float] = attrs.Factory(list)
    requests: int = 0
    refused: dict[str, int] = attrs.Factory(dict)
    capacity_tokens: float = 0.0

    def share(self, organisation: str) -> float:
        """Return what it was served over what an equal share would give it."""
        due = self._share_equally()[organisation]
        return self.served_tokens.get(organisation, 0.0) / due

    def _share_equally(self) -> dict[str, float]:
        # Nobody gets more than asked for; what is left over goes to the others.
        due: dict[str, float] = {}
        left = self.capacity_tokens
        smallest_first = sorted(self.asked_tokens, key=self.asked_tokens.get)
        for place, name in enumerate(smallest_first):
            part = left / (len(smallest_first) - place)
            due[name] = min(self.asked_tokens[name], part)
            left -= due[name]
        return due
