"""
Time that messages of one connection spend on their way.
"""

# The rates of the clocks of two hosts differ by less than this fraction.
_RATE_DIFFERENCE_MAX = 0.001
_ADJUSTMENT_INTERVAL_MS = 1_000.0


class TransitMeter:
    """
    Estimates the delay of each message by the clocks of both ends.

    The clocks have different origins.  The smallest difference seen between
    them includes the shortest delay; a message's delay is what its own
    difference exceeds it by.  As the clocks may also differ in their rates, the
    smallest difference grows with time.
    """

    def __init__(self) -> None:
        self._least_difference_ms: float | None = None
        # When it was last increased, by the receiver's clock.
        self._adjusted_ms: float = 0

    def delay_ms(self, sent_ms: float, received_ms: float) -> float:
        """
        Return the delay of a message beyond the shortest one so far.

        Args:
            sent_ms: The sender's monotonic clock when it was sent.
            received_ms: The receiver's monotonic clock when it was read.
        """
        difference_ms = received_ms - sent_ms
        least_ms = self._least_difference_ms
        if least_ms is None:
            least_ms = difference_ms
            self._adjusted_ms = received_ms
        passed_ms = received_ms - self._adjusted_ms
        if passed_ms >= _ADJUSTMENT_INTERVAL_MS:
            least_ms += passed_ms * _RATE_DIFFERENCE_MAX
            self._adjusted_ms = received_ms
        self._least_difference_ms = min(least_ms, difference_ms)
        return difference_ms - self._least_difference_ms
