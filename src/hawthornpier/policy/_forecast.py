"""
Forecast of demand that grows at once and shrinks slowly.
"""

import math

# The forecast halves in this time after the demand is gone.  Demand surges
# arrive in groups (crew leads at dawn, growers after hail).
_HALF_LIFE_MS = 20_000.0
# The time ahead for which slots are kept: an eviction frees its slot after
# some hundred milliseconds.
_HORIZON_MS = 1_000.0
# The interval over which the growth of the demand is measured.
_WINDOW_MS = 500
# Standard deviations of a Poisson demand that are kept free.
_DEVIATIONS = 2.0


class DemandForecast:
    """
    Forecasts how many slots a varying demand needs soon.
    """

    def __init__(self) -> None:
        self._level: float = 0
        self._updated_ms: int | None = None
        self._mean: float = 0
        self._window_start_ms = 0
        self._window_mean: float = 0

    def update(self, slot_count: int, now_ms: int) -> float:
        """
        Take in the present demand; return the slots to hold for it.
        """
        if self._updated_ms is None:
            self._mean = float(slot_count)
            self._window_mean = self._mean
            self._updated_ms = now_ms
            self._window_start_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._mean += (slot_count - self._mean) * -math.expm1(
            -elapsed_ms / _WINDOW_MS,
        )
        growth = max(self._mean - self._window_mean, 0)
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._window_mean = self._mean
        wanted = self._mean + _DEVIATIONS * math.sqrt(self._mean)
        # Growth within the noise of a Poisson demand is not extrapolated.
        if growth > math.sqrt(self._mean):
            wanted += growth * _HORIZON_MS / _WINDOW_MS
        self._level = max(
            wanted,
            self._level * 0.5 ** (elapsed_ms / _HALF_LIFE_MS),
        )
        return self._level

    @property
    def level(self) -> float:
        """
        The slots that the last update asked for.
        """
        return self._level
