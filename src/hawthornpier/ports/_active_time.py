"""
Monotonic time that excludes pauses of this process.
"""

from hawthornpier.ports._protocols import Clock


class ActiveTime:
    """
    Measure monotonic time without the pauses of this process.

    At most *max_step_ms* is counted between two calls of `read_ms`, which
    must be called at least that often.  A longer interval means that this
    process was paused, and a peer must not be suspected because its
    heartbeats were not received during the pause.

    Args:
        clock: The clock of this process.
        max_step_ms: Maximum time counted between two calls of `read_ms`.
    """

    def __init__(self, clock: Clock, max_step_ms: int) -> None:
        self._clock = clock
        self._max_step_ms = max_step_ms
        self._last_ms = clock.monotonic_ms()
        self._active_ms = 0

    def read_ms(self) -> int:
        """
        Return the active time since this object was created, in ms.
        """
        now_ms = self._clock.monotonic_ms()
        self._active_ms += min(now_ms - self._last_ms, self._max_step_ms)
        self._last_ms = now_ms
        return self._active_ms
