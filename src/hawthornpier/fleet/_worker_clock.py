"""
The clock of a worker, as its replies show it.
"""

# Tolerance of the computed times, for the granularity of timers.
_SLACK_MS = 60
# The bound of the drift is itself measured with a drift.
_DRIFT_FACTOR = 1.1


class WorkerClock:
    """
    Relates the steady clock of a worker's incarnation to that of the owner.

    The clock of its next incarnation starts anew.
    """

    def __init__(self) -> None:
        # The owner's and the worker's clock at the last response; the latter is
        # 0 before the first response of an incarnation.
        self._synced_ms: float = 0
        self._synced_clock_ms = 0

    def synchronize(self, clock_ms: int, now_ms: float) -> None:
        """
        Record the worker's clock in a response, unless a later one is known.
        """
        if clock_ms >= self._synced_clock_ms:
            self._synced_ms = now_ms
            self._synced_clock_ms = clock_ms

    def begin_incarnation(self) -> None:
        """
        Forget the clock of the previous incarnation.
        """
        self._synced_clock_ms = 0

    def estimate_ms(self, now_ms: float) -> float:
        """
        Return the worker's clock at a local time, without its drift.
        """
        return self._synced_clock_ms + now_ms - self._synced_ms

    def latest_ms(self, clock_ms: int, drift: float) -> float:
        """
        Return the local time by which the worker's clock has a given value.

        Args:
            clock_ms: The value.
            drift: The limit of the clock's drift, as a fraction.
        """
        left_ms = max(0, clock_ms - self._synced_clock_ms)
        span_ms = left_ms * (1 + drift * _DRIFT_FACTOR)
        return self._synced_ms + span_ms + _SLACK_MS

    def has_restarted(
        self,
        clock_ms: int,
        sent_ms: float,
        drift: float,
    ) -> bool:
        """
        Return whether a response is that of the next incarnation.

        Responses on different connections may overtake each other, so only a
        clock that is earlier than when the request was sent shows it.

        Args:
            clock_ms: The worker's clock in the response; 0 if it has none.
            sent_ms: When the request was sent, by the owner's clock.
            drift: The limit of the clock's drift, as a fraction.
        """
        drift_ms = abs(sent_ms - self._synced_ms) * drift * _DRIFT_FACTOR
        earliest_ms = self.estimate_ms(sent_ms) - drift_ms - _SLACK_MS
        return self._synced_clock_ms > 0 and 0 < clock_ms < earliest_ms
