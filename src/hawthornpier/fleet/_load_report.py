"""
The load of a shard's owner since the last line of the log about it.
"""

# A line is worth logging if, since the last one, a timer was as late, a slice
# of a pass took as long, or a reply was late by the owner's own delay.
_LAG_MS = 40.0
_SLICE_MS = 40.0


class LoadReport:
    """
    The lags of timers, the lengths of passes, and replies that came late.
    """

    def __init__(self) -> None:
        self.late_replies = 0
        self._starts_in_flight_max = 0
        self._timers = 0
        self._lag_total_ms: float = 0
        self._lag_max_ms: float = 0
        self._slices = 0
        self._slice_max_ms: float = 0
        self._pass_max_ms: float = 0
        self._gap_max_ms: float = 0

    @property
    def is_worth_logging(self) -> bool:
        """
        Return whether the owner was behind its work at a moment.
        """
        return (
            self.late_replies > 0
            or self._lag_max_ms >= _LAG_MS
            or self._slice_max_ms >= _SLICE_MS
        )

    def add_lag(self, lag_ms: float) -> None:
        """
        Add the lag of a timer.
        """
        self._timers += 1
        self._lag_total_ms += lag_ms
        self._lag_max_ms = max(self._lag_max_ms, lag_ms)

    def add_slice(self, slice_ms: float) -> None:
        """
        Add the length of a slice of a pass.
        """
        self._slices += 1
        self._slice_max_ms = max(self._slice_max_ms, slice_ms)

    def add_pass(self, pass_ms: float) -> None:
        """
        Add the length of a pass, with the gaps between its slices.
        """
        self._pass_max_ms = max(self._pass_max_ms, pass_ms)

    def add_gap(self, gap_ms: float) -> None:
        """
        Add a gap between the end of a pass and the beginning of the next.
        """
        self._gap_max_ms = max(self._gap_max_ms, gap_ms)

    def add_starts_in_flight(self, count: int) -> None:
        """
        Add how many starts had no reply yet at a moment.
        """
        self._starts_in_flight_max = max(self._starts_in_flight_max, count)

    def fields(self) -> dict[str, object]:
        """
        Return the fields of a line of the log.
        """
        return {
            'timers': self._timers,
            'lag_mean_ms': round(self._lag_total_ms / max(self._timers, 1), 1),
            'lag_max_ms': round(self._lag_max_ms, 1),
            'slices': self._slices,
            'slice_max_ms': round(self._slice_max_ms, 1),
            'pass_max_ms': round(self._pass_max_ms, 1),
            'gap_max_ms': round(self._gap_max_ms, 1),
            'starts_in_flight_max': self._starts_in_flight_max,
            'late_replies': self.late_replies,
        }
