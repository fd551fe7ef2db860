"""
Retry budget and retry delays.
"""

import enum
import random
from types import MappingProxyType

# Number of retries allowed before the first success.
_INITIAL_TOKENS = 10.0


class FailureClass(enum.StrEnum):
    """
    Why an attempt failed, which determines the delay before a retry.

    - `REFUSED`: another worker or shard may accept the request at once.
    - `UNREACHABLE`: a connection failed; other workers are probably reachable.
    - `FAILED`: the endpoint replied with a failure.
    - `OVERLOADED`: the request was shed; the load has to fall first.
    """

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    FAILED = 'failed'
    OVERLOADED = 'overloaded'


# First and maximum delay in ms for each class of failure.
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
    Limits retries to a fraction of the successes.

    During an outage, retries therefore cannot multiply the load.

    Args:
        seed: Seed of the jitter.
        ratio: Number of retries that one success allows.
        max_tokens: Maximum number of unused retries that are kept.
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
        Add the fraction of a retry that one success allows.
        """
        self._tokens = min(self._tokens + self._ratio, self._max_tokens)

    def try_spend(self) -> bool:
        """
        Spend one retry; return False if the budget is exhausted.
        """
        # By rounding, ten times 0.1 add up to slightly less than 1.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(self._tokens - 1, 0)
        return True

    def backoff_ms(self, failure: FailureClass, attempt: int) -> float:
        """
        Return the delay before the next attempt, in milliseconds.

        The delay is random between half and all of an exponential bound.

        Args:
            failure: Why the last attempt failed.
            attempt: Number of retries already made.
        """
        first_ms, max_ms = _DELAYS_MS[failure]
        bound_ms = min(first_ms * 2 ** min(attempt, 16), max_ms)
        return self._random.uniform(bound_ms / 2, bound_ms)
