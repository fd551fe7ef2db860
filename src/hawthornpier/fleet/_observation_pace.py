"""
The time between two looks at the state of a shard that only serve its log.
"""

# A look is followed by a pause of at least its own duration multiplied by this,
# so that all looks of one kind take a fiftieth of the process's time at most.
_PAUSE_PER_LOOK_TIME = 50.0
# But no longer than this: the process may have been suspended during the look.
_MAX_PAUSE_MS = 5_000.0


class ObservationPace:
    """
    Makes looks rarer the longer they take.

    It answers an owner that is slow or has a large backlog: what tells why
    tasks wait must not make them wait longer.

    Args:
        interval_ms: The shortest time between the beginnings of two looks.
    """

    def __init__(self, interval_ms: float) -> None:
        self._interval_ms = interval_ms
        self._due_ms: float = interval_ms

    def is_due(self, now_ms: float) -> bool:
        """
        Return whether the next look may begin.
        """
        return now_ms >= self._due_ms

    def record(self, started_ms: float, ended_ms: float) -> None:
        """
        Record a look, by the monotonic clock.
        """
        pause_ms = (ended_ms - started_ms) * _PAUSE_PER_LOOK_TIME
        self._due_ms = max(
            started_ms + self._interval_ms,
            ended_ms + min(pause_ms, _MAX_PAUSE_MS),
        )
