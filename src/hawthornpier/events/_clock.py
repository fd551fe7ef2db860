"""
The hybrid logical clock that stamps events and heartbeats.
"""

from hawthornpier.messages import ClockStamp
from hawthornpier.ports import Clock

# A stamp further ahead than this comes from a broken wall clock.  Adopting it
# would move the stamps of every process that hears of it into the future.
DEFAULT_MAX_AHEAD_MS = 10_000


class HybridClock:
    """
    Stamps that follow the wall clock and never go back.

    A stamp taken after `merge` is greater than the merged one, so causes sort
    before their effects even if the wall clocks of the processes differ.

    Args:
        process_id: the id that every stamp carries and that breaks ties.
        clock: the process's clock.
        max_ahead_ms: how far ahead of the wall clock a merged stamp may be.
    """

    def __init__(
        self,
        process_id: str,
        clock: Clock,
        *,
        max_ahead_ms: int = DEFAULT_MAX_AHEAD_MS,
    ) -> None:
        self._process_id = process_id
        self._clock = clock
        self._max_ahead_ms = max_ahead_ms
        self._wall_ms = 0
        self._counter = 0
        self._rejected_stamp_count = 0

    @property
    def rejected_stamp_count(self) -> int:
        """
        How many stamps were too far ahead to be merged.
        """
        return self._rejected_stamp_count

    def tick(self) -> ClockStamp:
        """
        Return a stamp greater than every earlier one of this process.
        """
        self._advance(self._clock.wall_ms())
        return self._stamp()

    def merge(self, stamp: ClockStamp) -> ClockStamp:
        """
        Take in a received stamp and return a stamp greater than it.

        A stamp that is more than *max_ahead_ms* ahead of the wall clock is
        counted and otherwise ignored; the returned stamp may then be lower.
        """
        wall_ms = self._clock.wall_ms()
        if stamp.wall_ms > wall_ms + self._max_ahead_ms:
            self._rejected_stamp_count += 1
            return self.tick()
        if (stamp.wall_ms, stamp.counter) > (self._wall_ms, self._counter):
            self._wall_ms = stamp.wall_ms
            self._counter = stamp.counter
        self._advance(wall_ms)
        return self._stamp()

    def _advance(self, wall_ms: int) -> None:
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1

    def _stamp(self) -> ClockStamp:
        return ClockStamp(
            wall_ms=self._wall_ms,
            counter=self._counter,
            process_id=self._process_id,
        )
