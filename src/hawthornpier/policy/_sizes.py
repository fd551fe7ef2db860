"""
Expected run times of batch tasks, learned from those that ended.
"""

import math

from hawthornpier.policy._decisions import TaskDemand
from hawthornpier.policy._settings import SizeEstimate

# Bounds of the histogram buckets grow by this factor, so a quantile is known
# to within a fifth of its value.
_GROWTH = 1.2
_LOG_GROWTH = math.log(_GROWTH)
_BUCKET_COUNT = 110
# A histogram that holds this many ends is halved, so that it follows a change
# of the workload.
_DECAY_COUNT = 400.0
# Fewer ends than this say too little about a class.
_MIN_SAMPLE_COUNT = 8.0
# A task is long when it exceeds the median of all tasks by this factor.  The
# stragglers of the present workloads are 50 times as long as the rest; the
# lengths of ordinary tasks differ by less than 8.
_LONG_FACTOR = 8.0
_MIN_LONG_MS = 500.0


class SizeHistogram:
    """
    A histogram of run times with logarithmic buckets and slow decay.
    """

    def __init__(self) -> None:
        self._counts = [float(0) for _ in range(_BUCKET_COUNT)]
        self.count: float = 0
        self._added_count = 0
        self._quantiles: dict[float, float] = {}

    def add(self, size_ms: float) -> None:
        """
        Count one run time.
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
        Return the run time in ms that this fraction of the tasks stays below.

        The result may be a few run times old.
        """
        known = self._quantiles.get(fraction)
        if known is None:
            known = self._compute(fraction)
            self._quantiles[fraction] = known
        return known

    def _compute(self, fraction: float) -> float:
        wanted = self.count * fraction
        for bucket, count in enumerate(self._counts):
            wanted -= count
            if wanted <= 0 and self.count:
                return float(_GROWTH ** (bucket + 1))
        return 0


class SizeEstimator:
    """
    Tells short tasks from long ones.

    Args:
        source: Whether sizes are learned, or declared by the operator.
    """

    def __init__(self, *, source: SizeEstimate) -> None:
        self._source = source
        self._classes: dict[tuple[str, str], SizeHistogram] = {}
        self._all = SizeHistogram()
        self._declared = SizeHistogram()
        self._long_threshold_ms = math.inf

    def add_task(self, task: TaskDemand) -> None:
        """
        Take note of a declared size, which counts until sizes are learned.
        """
        if self._all.count < _MIN_SAMPLE_COUNT:
            self._declared.add(task.declared_work_ms)
            self._set_long_threshold(self._declared)

    def add_completed(self, task: TaskDemand, run_ms: float) -> None:
        """
        Learn from a task that is done after *run_ms* in its last run.
        """
        key = (task.member, task.workload)
        size_ms = task.done_work_ms + run_ms
        if self._source is SizeEstimate.DECLARED_SIZES:
            size_ms = task.declared_work_ms
        if key not in self._classes:
            self._classes[key] = SizeHistogram()
        self._classes[key].add(size_ms)
        self._all.add(size_ms)
        if self._all.count >= _MIN_SAMPLE_COUNT:
            self._set_long_threshold(self._all)

    @property
    def long_threshold_ms(self) -> float:
        """
        The attained service in ms from which a task counts as long.
        """
        return self._long_threshold_ms

    def expected_ms(self, task: TaskDemand) -> float:
        """
        Return the task's expected run time in ms, at least what it attained.
        """
        if self._source is SizeEstimate.DECLARED_SIZES:
            return float(task.declared_work_ms)
        known = self._classes.get((task.member, task.workload))
        attained_ms = float(task.done_work_ms)
        if known is None or known.count < _MIN_SAMPLE_COUNT:
            return max(float(task.declared_work_ms), attained_ms)
        return max(known.quantile(0.5), attained_ms)

    def is_long(self, task: TaskDemand, run_ms: float = 0) -> bool:
        """
        Tell whether the task is long, given the length of its present run.
        """
        if (
            self._source is SizeEstimate.LEARNED
            and run_ms > self._long_threshold_ms
        ):
            return True
        return self.expected_ms(task) > self._long_threshold_ms

    def _set_long_threshold(self, sizes: SizeHistogram) -> None:
        median_ms = sizes.quantile(0.5)
        self._long_threshold_ms = max(_LONG_FACTOR * median_ms, _MIN_LONG_MS)
