"""
Budget and delays of retries.
"""

import enum
import random
from types import MappingProxyType

# Retries that may be made before any success.
_INITIAL_TOKENS = 10.0


class FailureClass(enum.StrEnum):
    """
    Why an attempt failed, which decides how soon the next one makes sense.

    - `REFUSED`: another worker or shard may accept at once.
    - `UNREACHABLE`: a connection failed; other workers are likely to work.
    - `FAILED`: the endpoint answered with a failure.
    - `OVERLOADED`: the request was shed; load has to go down first.
    """

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    FAILED = 'failed'
    OVERLOADED = 'overloaded'


# First and largest delay in ms for each class of failure.
_DELAYS_MS = MappingProxyType(
    {
        FailureClass.REFUSED: (5, 100),
        FailureClass.UNREACHABLE: (20, 1_000),
        FailureClass.FAILED: (50, 2_000),
        FailureClass.OVERLOADED: (200, 5_000),
    }
)


class RetryBudget:
    """
    Allows retries in proportion to successes, so that they cannot pile up.

    Args:
        seed: Seed of the jitter.
        ratio: Retries earned by one success.
        max_tokens: Retries that can be saved up.
    """

    def __init__(
        self,
        *,
        seed: int,
        ratio: float = 0.1,
        max_tokens: float = 100,
    ) -> None:
        self._random = random.Random(seed)
        self._ratio = ratio
        self._max_tokens = max_tokens
        self._tokens = min(_INITIAL_TOKENS, max_tokens)

    def record_success(self) -> None:
        """
        Earn a part of a retry.
        """
        self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def try_spend(self) -> bool:
        """
        Take one retry from the budget; return False if none is left.
        """
        # Sums of 0.1 fall short of whole numbers by rounding.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(self._tokens - 1, 0)
        return True

    def backoff_ms(self, failure: FailureClass, attempt: int) -> float:
        """
        Return the delay before the next attempt, with full jitter.

        Args:
            failure: Why the last attempt failed.
            attempt: Number of retries made before, from 0.
        """
        first_ms, max_ms = _DELAYS_MS[failure]
        bound_ms = min(first_ms * 2 ** min(attempt, 16), max_ms)
        return self._random.uniform(bound_ms / 2, bound_ms)
