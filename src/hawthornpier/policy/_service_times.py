"""
Durations of requests.
"""

from hawthornpier.policy._sizes import SizeHistogram

# The duration that an admitted request must still have time for.
_DURATION_QUANTILE = 0.99
_QUANTILE_INTERVAL_COUNT = 32


class ServiceTimes:
    """
    Durations of the requests of one service, as its callers see them.
    """

    def __init__(self) -> None:
        self._sizes = SizeHistogram()
        self._sample_count = 0
        self.mean_ms: float = 0
        self.p99_duration_ms: float = 0

    def add(self, duration_ms: float) -> None:
        """
        Count one answered request.
        """
        self._sizes.add(duration_ms)
        self._sample_count += 1
        gain = max(1 / self._sample_count, 0.01)
        self.mean_ms += gain * (duration_ms - self.mean_ms)
        if self._sample_count % _QUANTILE_INTERVAL_COUNT == 0:
            self.p99_duration_ms = self._sizes.quantile(_DURATION_QUANTILE)
