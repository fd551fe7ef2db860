"""
Limits the throughput of the simulated platform services.
"""

from hawthornpier.ports import Clock

_MS_PER_S = 1_000


class RateLimit:
    """
    Delays calls so that their rate stays within a limit.

    Calls that arrive faster wait in a queue.  The queue has no bound, since
    the deadlines of the waiting processes limit the wait.

    Args:
        clock: Time source.
        per_s: Largest number of calls per second, or 0 for no limit.
    """

    def __init__(self, *, clock: Clock, per_s: float) -> None:
        self._clock = clock
        self._interval_ms = _MS_PER_S / per_s if per_s else 0
        self._next_ms: float = 0

    async def wait_for_turn(self) -> None:
        """
        Wait until the call may begin.
        """
        if not self._interval_ms:
            return
        now_ms = self._clock.monotonic_ms()
        turn_ms = max(self._next_ms, now_ms)
        self._next_ms = turn_ms + self._interval_ms
        # The clock has a resolution of 1 ms.
        if turn_ms - now_ms >= 1:
            await self._clock.sleep_ms(turn_ms - now_ms)
