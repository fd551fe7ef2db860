"""
Detection of suspensions of a relay.
"""

from hawthornpier.ports import Clock

# Messages that arrived during a suspension are read within this time after it.
_CATCH_UP_MS = 150.0


class SuspensionWatch:
    """
    Tells whether messages may have waited because this process was suspended.

    The delay of a connection's first message is unknown, and that of messages
    that waited together with it is measured against its own.

    Args:
        clock: The clock of this process.
        longest_interval_ms: A longer time between two calls of
            `check_waiting` means that the process was suspended.
    """

    def __init__(self, clock: Clock, longest_interval_ms: float) -> None:
        self._clock = clock
        self._longest_interval_ms = longest_interval_ms
        self._checked_ms: float = clock.monotonic_ms()
        self._caught_up_ms: float = self._checked_ms

    def check_waiting(self) -> bool:
        """
        Return whether messages that are read now may have waited.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._checked_ms > self._longest_interval_ms:
            self._caught_up_ms = now_ms + _CATCH_UP_MS
        self._checked_ms = now_ms
        return now_ms < self._caught_up_ms
