"""
Expected run times (sizes) of batch tasks, learned from completed tasks.
"""

import math

from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._settings import SizeEstimate

# Ratio between the bounds of adjacent histogram buckets.  The error of a
# quantile is at most a fifth of its value.
_GROWTH = 1.2
_LOG_GROWTH = math.log(_GROWTH)
_BUCKET_COUNT = 110
# All counts of a histogram are halved once their sum reaches this number, so
# that the histogram follows changes of the workload.
_DECAY_COUNT = 400.0
# Minimum number of completed tasks before a histogram is used.
_MIN_SAMPLE_COUNT = 8.0
# A task is long if its run time exceeds the median of all tasks by this factor.
# In the present workloads, stragglers run 50 times as long as other tasks, and
# the run times of other tasks differ by less than a factor of 8.
_LONG_FACTOR = 8.0
_MIN_LONG_MS = 500.0


class SizeHistogram:
    """
    Histogram of run times with logarithmic buckets and decaying counts.
    """

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(_BUCKET_COUNT)]
        self.count: float = 0
        self._added_count = 0
        self._quantiles: dict[float, float] = {}

    def add(self, size_ms: float) -> None:
        """
        Add one run time, in ms.
        """
        bucket = int(math.log(max(size_ms, 1.0)) / _LOG_GROWTH)
        self._counts[min(bucket, _BUCKET_COUNT - 1)] += 1
        self.count += 1
        self._added_count += 1
        if self._added_count <= _MIN_SAMPLE_COUNT or not self._added_count % 8:
            self._quantiles.clear()
        if self.count >= _DECAY_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self.count /= 2

    def quantile(self, fraction: float) -> float:
        """
        Return a quantile of the run times, in ms, or 0 if there are none.

        The result is cached, so it may miss the latest few run times.

        Args:
            fraction: The quantile, from 0 to 1.
        """
        quantile_ms = self._quantiles.get(fraction)
        if quantile_ms is None:
            quantile_ms = self._compute(fraction)
            self._quantiles[fraction] = quantile_ms
        return quantile_ms

    def _compute(self, fraction: float) -> float:
        wanted = self.count * fraction
        for bucket, count in enumerate(self._counts):
            wanted -= count
            if wanted <= 0 and self.count:
                return float(_GROWTH ** (bucket + 1))
        return 0


class SizeEstimator:
    """
    Estimates run times of tasks and classifies tasks as short or long.

    Args:
        source: Whether sizes are learned from completed tasks or taken from
            the operator's declarations.
    """

    def __init__(self, *, source: SizeEstimate) -> None:
        self._source = source
        self._workload_histograms: dict[tuple[str, str], SizeHistogram] = {}
        self._total_histogram = SizeHistogram()
        self._declared_histogram = SizeHistogram()
        self._long_threshold_ms = math.inf

    def add_task(self, task: TaskDemand) -> None:
        """
        Add the declared size of a task, used until enough tasks completed.
        """
        if self._total_histogram.count < _MIN_SAMPLE_COUNT:
            self._declared_histogram.add(task.declared_work_ms)
            self._set_long_threshold(self._declared_histogram)

    def add_completed(self, task: TaskDemand, run_ms: float) -> None:
        """
        Add the size of a completed task.

        Args:
            task: The completed task.
            run_ms: Duration of its last run.
        """
        key = (task.member, task.workload)
        size_ms = task.done_work_ms + run_ms
        if self._source is SizeEstimate.DECLARED_SIZES:
            size_ms = task.declared_work_ms
        if key not in self._workload_histograms:
            self._workload_histograms[key] = SizeHistogram()
        self._workload_histograms[key].add(size_ms)
        self._total_histogram.add(size_ms)
        if self._total_histogram.count >= _MIN_SAMPLE_COUNT:
            self._set_long_threshold(self._total_histogram)

    @property
    def long_threshold_ms(self) -> float:
        """
        The run time in ms above which a task is long.
        """
        return self._long_threshold_ms

    def expected_ms(self, task: TaskDemand) -> float:
        """
        Return the expected run time of the task in ms.

        If sizes are learned, this is at least the service the task attained in
        earlier runs.
        """
        if self._source is SizeEstimate.DECLARED_SIZES:
            return float(task.declared_work_ms)
        histogram = self._workload_histograms.get((task.member, task.workload))
        attained_ms = float(task.done_work_ms)
        if histogram is None or histogram.count < _MIN_SAMPLE_COUNT:
            return max(float(task.declared_work_ms), attained_ms)
        return max(histogram.quantile(0.5), attained_ms)

    def is_long(self, task: TaskDemand, run_ms: float = 0) -> bool:
        """
        Return whether the task is long.

        Args:
            task: The task.
            run_ms: Duration of its current run so far.
        """
        if (
            self._source is SizeEstimate.LEARNED
            and run_ms > self._long_threshold_ms
        ):
            return True
        return self.expected_ms(task) > self._long_threshold_ms

    def _set_long_threshold(self, histogram: SizeHistogram) -> None:
        median_ms = histogram.quantile(0.5)
        self._long_threshold_ms = max(_LONG_FACTOR * median_ms, _MIN_LONG_MS)
