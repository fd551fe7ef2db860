"""
Time during which this process was able to run.
"""

from hawthornpier.ports import Clock


class ActiveTime:
    """
    Counts monotonic time without the pauses of this process.

    Between two readings at most *max_step_ms* counts.  It must be read at
    least that often; if not, the process was paused, and a peer is not to
    blame for what was not heard meanwhile.

    Args:
        clock: The clock of this process.
        max_step_ms: The longest time between two readings that counts.
    """

    def __init__(self, clock: Clock, max_step_ms: int) -> None:
        self._clock = clock
        self._max_step_ms = max_step_ms
        self._last_ms = clock.monotonic_ms()
        self._active_ms = 0

    def read_ms(self) -> int:
        """
        Return the active time since this object was made.
        """
        now_ms = self._clock.monotonic_ms()
        self._active_ms += min(now_ms - self._last_ms, self._max_step_ms)
        self._last_ms = now_ms
        return self._active_ms
