"""
Measured durations of requests.
"""

from hawthornpier.policy._sizes import SizeHistogram

# A request is shed if less than this quantile of the durations would be left
# before its deadline.
_DURATION_QUANTILE = 0.99
# Number of requests between two updates of the quantile.
_QUANTILE_INTERVAL_COUNT = 32


class ServiceTimes:
    """
    Statistics of the durations of one service's requests.

    A duration is the time from sending the request to the worker until its
    end.  *mean_ms* is a moving average, and *p99_duration_ms* is 0 until enough
    requests were counted.
    """

    def __init__(self) -> None:
        self._histogram = SizeHistogram()
        self._sample_count = 0
        self.mean_ms: float = 0
        self.p99_duration_ms: float = 0

    def add(self, duration_ms: float) -> None:
        """
        Add the duration of one answered request.
        """
        self._histogram.add(duration_ms)
        self._sample_count += 1
        gain = max(1 / self._sample_count, 0.01)
        self.mean_ms += gain * (duration_ms - self.mean_ms)
        if self._sample_count % _QUANTILE_INTERVAL_COUNT == 0:
            self.p99_duration_ms = self._histogram.quantile(_DURATION_QUANTILE)
