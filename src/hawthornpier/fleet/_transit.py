"""
Time that messages of one connection spend on their way.
"""


class TransitMeter:
    """
    Estimates the delay of each message by the clocks of both ends.

    The clocks have different origins.  The smallest difference seen between
    them includes the shortest delay; a message's delay is what its own
    difference exceeds it by.
    """

    def __init__(self) -> None:
        self._least_difference_ms: float | None = None

    def delay_ms(self, sent_ms: float, received_ms: float) -> float:
        """
        Return the delay of a message beyond the shortest one so far.

        Args:
            sent_ms: The sender's monotonic clock when it was sent.
            received_ms: The receiver's monotonic clock when it was read.
        """
        difference_ms = received_ms - sent_ms
        least_ms = self._least_difference_ms
        if least_ms is None or difference_ms < least_ms:
            least_ms = difference_ms
            self._least_difference_ms = least_ms
        return difference_ms - least_ms
