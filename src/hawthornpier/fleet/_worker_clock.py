"""
The clock of a worker, as its replies show it.
"""

import enum
from dataclasses import dataclass

# Tolerance of the computed times, for the granularity of timers.
_SLACK_MS = 60
# The bound of the drift is itself measured with a drift.
_DRIFT_FACTOR = 1.1
# No worker's clock gains or loses more than this part of the owner's.
_MAX_DRIFT = 0.03


class ClockCheck(enum.Enum):
    """
    What a clock in a reply is worth.
    """

    # It fits the known clock, or is the first one.
    PLAUSIBLE = enum.auto()
    # It cannot be true if the known clock is.
    IMPLAUSIBLE = enum.auto()
    # So cannot two replies in a row that fit each other: the known clock was
    # wrong and is replaced.
    CORRECTED = enum.auto()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reading:
    """
    A worker's clock in a reply, which was read while the request was under way.
    """

    sent_ms: float
    received_ms: float
    clock_ms: int

    def fits(self, earlier: '_Reading') -> bool:
        """
        Return whether this and an earlier reading can both be true.
        """
        least_ms = self.sent_ms - earlier.received_ms
        most_ms = self.received_ms - earlier.sent_ms
        passed_ms = self.clock_ms - earlier.clock_ms
        tolerance_ms = _SLACK_MS + _MAX_DRIFT * max(abs(least_ms), most_ms)
        return least_ms - tolerance_ms <= passed_ms <= most_ms + tolerance_ms


class WorkerClock:
    """
    Relates the steady clock of a worker's incarnation to that of the owner.

    The clock of its next incarnation starts anew.
    """

    def __init__(self) -> None:
        # The last reply with a plausible clock, None before the first one of an
        # incarnation, and a later reply with an implausible one.
        self._known: _Reading | None = None
        self._doubtful: _Reading | None = None

    def synchronize(
        self, clock_ms: int, sent_ms: float, now_ms: float
    ) -> ClockCheck:
        """
        Record the worker's clock in a reply, unless a later one is known.

        One that is implausible is not used, because deadlines by it would be
        far from those intended.

        Args:
            clock_ms: The clock.
            sent_ms: When the request was sent, by the owner's clock.
            now_ms: The present time, by the owner's clock.
        """
        reading = _Reading(
            sent_ms=sent_ms, received_ms=now_ms, clock_ms=clock_ms
        )
        known, doubtful = self._known, self._doubtful
        if known is None or reading.fits(known):
            self._doubtful = None
            if known is None or clock_ms >= known.clock_ms:
                self._known = reading
            return ClockCheck.PLAUSIBLE
        if doubtful is None or not reading.fits(doubtful):
            self._doubtful = reading
            return ClockCheck.IMPLAUSIBLE
        self._doubtful = None
        self._known = reading
        return ClockCheck.CORRECTED

    def begin_incarnation(self) -> None:
        """
        Forget the clock of the previous incarnation.
        """
        self._known = None
        self._doubtful = None

    def estimate_ms(self, now_ms: float) -> float:
        """
        Return the worker's clock at a local time, without its drift.
        """
        if self._known is None:
            return now_ms
        return self._known.clock_ms + now_ms - self._known.received_ms

    def latest_ms(self, clock_ms: int, drift: float) -> float:
        """
        Return the local time by which the worker's clock has a given value.

        Args:
            clock_ms: The value.
            drift: The limit of the clock's drift, as a fraction.
        """
        known_clock_ms = self._known.clock_ms if self._known else 0
        known_ms = self._known.received_ms if self._known else 0
        left_ms = max(0, clock_ms - known_clock_ms)
        span_ms = left_ms * (1 + drift * _DRIFT_FACTOR)
        return known_ms + span_ms + _SLACK_MS

    def has_restarted(self, clock_ms: int, sent_ms: float) -> bool:
        """
        Return whether a reply is that of the next incarnation.

        Replies on different connections may overtake each other, so only a
        clock that is earlier than when the request was sent shows it.

        Args:
            clock_ms: The worker's clock in the reply; 0 if it has none.
            sent_ms: When the request was sent, by the owner's clock.
        """
        if self._known is None:
            return False
        passed_ms = abs(sent_ms - self._known.received_ms)
        tolerance_ms = _SLACK_MS + _MAX_DRIFT * passed_ms
        return 0 < clock_ms < self.estimate_ms(sent_ms) - tolerance_ms
