"""
Run times learned from the ends of tasks.
"""

from hawthornpier.steps import Job, Step

# An estimate of the submitter counts for this many learned run times.
_ESTIMATE_WEIGHT = 3.0
# A run time keeps 1/e of its weight after this many later ones.
_MAX_WEIGHT = 60.0
# Without an estimate or any run time.
_DEFAULT_MS = 1_000.0
# Ratios of actual to estimated run time are limited, so that one straggler
# does not spoil the correction.
_RATIO_MAX = 4.0


class _QueueHistory:
    """
    The run times of one queue.
    """

    def __init__(self) -> None:
        self.mean_ms: float = 0
        self.weight: float = 0
        self.error: float = 0
        self.mean_work: float = 0
        self.job_count = 0

    def add_run_time(self, actual_ms: float, estimate_ms: float) -> None:
        """
        Take in the run time of one task.
        """
        self.weight = min(self.weight + 1, _MAX_WEIGHT)
        self.mean_ms += (actual_ms - self.mean_ms) / self.weight
        if estimate_ms > 0:
            ratio = actual_ms / estimate_ms
            deviation = abs(min(ratio, _RATIO_MAX) - 1)
            self.error += (deviation - self.error) / self.weight

    def add_job(self, work: float) -> None:
        """
        Take in the work of one job.
        """
        self.job_count += 1
        weight = min(self.job_count, _MAX_WEIGHT)
        self.mean_work += (work - self.mean_work) / weight


class DurationEstimator:
    """
    Expects run times from the queue's past and the submitter's estimate.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueHistory] = {}

    def learn(self, step: Step, actual_ms: float) -> None:
        """
        Take in a run that did all the work of its task.
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
        # An estimate that is far off on average counts little.
        trust = _ESTIMATE_WEIGHT / (1 + times.error * 4)
        total = times.mean_ms * times.weight + estimate_ms * trust * 4
        return total / (times.weight + trust * 4)

    def critical_path_ms(
        self, job: Job, *, is_remaining_only: bool = False
    ) -> float:
        """
        Return the run time of the longest chain of steps.

        Args:
            job: The job; of several occurrences the first counts.
            is_remaining_only: Whether complete steps count as nothing.
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
        Take in a job that has just become known.
        """
        times = self._queues.setdefault(job.plan.queue.name, _QueueHistory())
        times.add_job(self.work(job))

    def mean_work(self, job: Job) -> float:
        """
        Return the mean work of the jobs of a job's queue, 0 without any.
        """
        times = self._queues.get(job.plan.queue.name)
        return 0 if times is None else times.mean_work

    def work(self, job: Job, *, is_remaining_only: bool = False) -> float:
        """
        Return the processor time of one occurrence, in ms of one core.

        Args:
            job: The job; of several occurrences the first counts.
            is_remaining_only: Whether tasks that are done count as nothing.
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
