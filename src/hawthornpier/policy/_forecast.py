"""
Demand forecast that rises at once and decays slowly.
"""

import math

# Half-life of the forecast after demand has fallen.  Surges come in groups
# (crew leads at dawn, growers after hail), so the slots may be needed again
# soon.
_HALF_LIFE_MS = 20_000.0
# How far ahead growing demand is extrapolated.  An eviction takes a few hundred
# milliseconds to free its slot.
_HORIZON_MS = 1_000.0
# Interval over which growth is measured, and time constant of the mean.
_WINDOW_MS = 500
# Standard deviations added to the mean demand.  For bursty work, two deviations
# cost 2 to 3% of the batch throughput, and the waits of that work fell no
# further below their target.
_DEVIATION_COUNT = 2.0
_BURSTY_DEVIATION_COUNT = 1.0
# Time constant of the measured variance.
_VARIANCE_WINDOW_MS = 10_000.0


class DemandForecast:
    """
    Forecasts how many slots a varying demand will need soon.

    Args:
        is_bursty: Whether work arrives in groups.  If so, the variance of the
            demand is measured; otherwise arrivals are assumed to be
            independent and the variance to equal the mean (Poisson).
    """

    def __init__(self, *, is_bursty: bool) -> None:
        self._is_bursty = is_bursty
        self._level: float = 0
        self._last_update_ms: int | None = None
        self._mean: float = 0
        self._slow_mean: float = 0
        self._variance: float = 0
        self._window_start_ms = 0
        self._window_mean: float = 0

    def update(self, slot_count: int, now_ms: int) -> float:
        """
        Update the forecast and return the number of slots to reserve.

        Args:
            slot_count: Slots in use or waited for now.
            now_ms: Monotonic time.
        """
        if self._last_update_ms is None:
            self._mean = slot_count
            self._slow_mean = slot_count
            self._window_mean = slot_count
            self._last_update_ms = now_ms
            self._window_start_ms = now_ms
        elapsed_ms = now_ms - self._last_update_ms
        self._last_update_ms = now_ms
        self._update_statistics(slot_count, elapsed_ms)
        growth = max(self._mean - self._window_mean, 0)
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._window_mean = self._mean
        # The variance of a Poisson demand is its mean.
        variance = self._variance if self._is_bursty else 0
        deviation = math.sqrt(max(self._mean, variance))
        count = _BURSTY_DEVIATION_COUNT if self._is_bursty else _DEVIATION_COUNT
        required = self._mean + count * deviation
        # Growth of up to one standard deviation may be noise and is not
        # extrapolated.
        if growth > deviation:
            required += growth * _HORIZON_MS / _WINDOW_MS
        decayed_level = self._level * 0.5 ** (elapsed_ms / _HALF_LIFE_MS)
        self._level = max(required, decayed_level)
        return self._level

    @property
    def level(self) -> float:
        """
        The number of slots to reserve as of the last update.
        """
        return self._level

    def _update_statistics(self, slot_count: int, elapsed_ms: int) -> None:
        self._mean += _smoothing_gain(elapsed_ms, _WINDOW_MS) * (
            slot_count - self._mean
        )
        slow_gain = _smoothing_gain(elapsed_ms, _VARIANCE_WINDOW_MS)
        error = slot_count - self._slow_mean
        self._slow_mean += slow_gain * error
        self._variance += slow_gain * (error * error - self._variance)


def _smoothing_gain(elapsed_ms: float, time_constant_ms: float) -> float:
    return -math.expm1(-elapsed_ms / time_constant_ms)
