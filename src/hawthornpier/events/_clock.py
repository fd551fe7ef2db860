"""
The hybrid logical clock that timestamps events and heartbeats.
"""

from hawthornpier.messages import ClockStamp
from hawthornpier.ports import Clock

# A timestamp that is further ahead comes from a wrong wall clock.  Merging it
# would spread the wrong time to every process that receives a message.
DEFAULT_MAX_AHEAD_MS = 10_000


class HybridClock:
    """
    A source of timestamps that follow the wall clock and always increase.

    A timestamp issued after `merge` is greater than the merged one, so causes
    sort before their effects even if the wall clocks of processes differ.

    Args:
        process_id: The id in every timestamp, which breaks ties.
        clock: The source of wall-clock time.
        max_ahead_ms: Limit by which a merged timestamp may be ahead of the
            wall clock.
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
        The number of timestamps that were too far ahead to be merged.
        """
        return self._rejected_stamp_count

    def tick(self) -> ClockStamp:
        """
        Return a timestamp greater than every earlier one of this process.
        """
        self._advance(self._clock.wall_ms())
        return self._stamp()

    def merge(self, stamp: ClockStamp) -> ClockStamp:
        """
        Merge a received timestamp and return one that is greater.

        A timestamp that is more than *max_ahead_ms* ahead of the wall clock is
        counted and not merged; the returned timestamp may then be lower.
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
