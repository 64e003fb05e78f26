"""What an instance tells others of its tokens."""

import attrs

__all__ = ["TokenNeed"]


@attrs.frozen
class TokenNeed:
    """What an instance can spare and lacks of one organisation's tokens.

    Attributes:
        spare: Tokens that it could give away.
        wanted: Tokens that it would take.
    """

    spare: int
    wanted: int
