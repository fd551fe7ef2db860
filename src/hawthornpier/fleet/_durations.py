"""
Estimation of run times from those of earlier tasks.
"""

from hawthornpier.steps import Job, Step

# Weight of an exact estimate by the submitter, relative to that of one earlier
# run time, before `expected_ms` multiplies it by 4.
_ESTIMATE_WEIGHT = 3.0
# Limit of the weight of a moving average.  The weight of a run time in it falls
# to 1/e after this many later ones.
_MAX_WEIGHT = 60.0
# Expected run time if there is neither an estimate nor an earlier run time.
_DEFAULT_MS = 1_000.0
# Limit of the ratio of actual to estimated run time, so that a single straggler
# hardly changes the mean error of estimates.
_RATIO_MAX = 4.0


class _QueueHistory:
    """
    Moving averages of run times and job sizes of one queue.

    *error* is the mean relative error of the submitters' estimates.
    """

    def __init__(self) -> None:
        self.mean_ms: float = 0
        self.weight: float = 0
        self.error: float = 0
        self.mean_work: float = 0
        self.job_count = 0

    def add_run_time(self, actual_ms: float, estimate_ms: float) -> None:
        """
        Add the run time of one task to the averages.
        """
        self.weight = min(self.weight + 1, _MAX_WEIGHT)
        self.mean_ms += (actual_ms - self.mean_ms) / self.weight
        if estimate_ms > 0:
            ratio = actual_ms / estimate_ms
            deviation = abs(min(ratio, _RATIO_MAX) - 1)
            self.error += (deviation - self.error) / self.weight

    def add_job(self, work: float) -> None:
        """
        Add the work of one job to the averages.
        """
        self.job_count += 1
        weight = min(self.job_count, _MAX_WEIGHT)
        self.mean_work += (work - self.mean_work) / weight


class DurationEstimator:
    """
    Estimates the run times of tasks and the work of jobs.

    Estimates combine earlier run times in the queue with the submitter's own
    estimate.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueHistory] = {}

    def learn(self, step: Step, actual_ms: float) -> None:
        """
        Record the duration of a run that did all the work of its task.

        Args:
            step: The step of the task.
            actual_ms: The duration of the run.
        """
        name = step.job.plan.queue.name
        times = self._queues.setdefault(name, _QueueHistory())
        times.add_run_time(actual_ms, step.plan.estimate_ms)

    def expected_ms(self, step: Step) -> float:
        """
        Return the expected run time of one task of a step.
        """
        estimate_ms = float(step.plan.estimate_ms)
        times = self._queues.get(step.job.plan.queue.name)
        if times is None or not times.weight:
            return estimate_ms or _DEFAULT_MS
        if not estimate_ms:
            return times.mean_ms
        # The weight of an estimate decreases with the mean error of the queue's
        # estimates.
        trust = _ESTIMATE_WEIGHT / (1 + times.error * 4)
        total = times.mean_ms * times.weight + estimate_ms * trust * 4
        return total / (times.weight + trust * 4)

    def critical_path_ms(
        self, job: Job, *, is_remaining_only: bool = False
    ) -> float:
        """
        Return the expected run time of the longest chain of steps.

        Args:
            job: The job; only its first occurrence is considered.
            is_remaining_only: Whether to leave out completed steps.
        """
        longest: list[float] = []
        for step in job.occurrences[0].steps:
            before_ms = max(
                (longest[number] for number in step.plan.after),
                default=0,
            )
            own_ms: float = 0
            if not (is_remaining_only and step.is_done):
                own_ms = self.expected_ms(step)
            longest.append(before_ms + own_ms)
        return max(longest, default=0)

    def register_job(self, job: Job) -> None:
        """
        Add a new job to the mean work of its queue.
        """
        times = self._queues.setdefault(job.plan.queue.name, _QueueHistory())
        times.add_job(self.work(job))

    def mean_work(self, job: Job) -> float:
        """
        Return the mean work of the jobs in a job's queue, or 0 if it had none.
        """
        times = self._queues.get(job.plan.queue.name)
        return 0 if times is None else times.mean_work

    def work(self, job: Job, *, is_remaining_only: bool = False) -> float:
        """
        Return the expected work of one occurrence, in core-milliseconds.

        Args:
            job: The job; only its first occurrence is considered.
            is_remaining_only: Whether to leave out completed tasks.
        """
        total: float = 0
        for step in job.occurrences[0].steps:
            count = step.plan.task_count
            if is_remaining_only:
                count -= step.done_count
            cores = max(step.plan.processor_millis, 1) / 1000
            total += count * cores * self.expected_ms(step)
        return total

    def objective_ms(self, job: Job) -> float:
        """
        Return the response-time objective of a job.
        """
        queue = job.plan.queue
        return (
            queue.slack_factor * self.critical_path_ms(job) + queue.objective_ms
        )
