"""
Estimation of run times from those of earlier tasks.
"""

from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True, kw_only=True)
class JobOutlook:
    """
    The expected run time and work of a job, of its first occurrence.

    *objective_ms* is the response-time objective, *remaining_path_ms* the
    expected run time of the longest chain of steps that are not complete, and
    *work* the expected work in core-milliseconds, of which *remaining_work* is
    not complete.  *mean_work* is that of the jobs in its queue, or 0 if there
    were none.
    """

    objective_ms: float
    remaining_path_ms: float
    work: float
    remaining_work: float
    mean_work: float


# What an outlook depends on: the job, the changes of the history of its queue,
# and the complete tasks of each step.
_OutlookKey = tuple[Job, int, list[int]]


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
        self.change_count = 0

    def add_run_time(self, actual_ms: float, estimate_ms: float) -> None:
        """
        Add the run time of one task to the averages.
        """
        self.change_count += 1
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
        self.change_count += 1
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
        self._outlooks: dict[str, tuple[_OutlookKey, JobOutlook]] = {}

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

    def outlook(self, job: Job) -> JobOutlook:
        """
        Return the expected run time and work of a job.

        It is kept until a task of the job or of its queue ends, which answers
        a backlog of jobs that each pass ranks anew.
        """
        job_id = job.plan.job_id
        history = self._queues.get(job.plan.queue.name)
        key = (
            job,
            history.change_count if history else 0,
            [step.done_count for step in job.occurrences[0].steps],
        )
        kept = self._outlooks.get(job_id)
        if kept is not None and kept[0] == key:
            return kept[1]
        outlook = self._make_outlook(job, history)
        self._outlooks[job_id] = (key, outlook)
        return outlook

    def register_job(self, job: Job) -> None:
        """
        Add a new job to the mean work of its queue.
        """
        times = self._queues.setdefault(job.plan.queue.name, _QueueHistory())
        times.add_job(self.outlook(job).work)

    def forget_job(self, job_id: str) -> None:
        """
        Drop what is kept for a job that no longer exists.
        """
        self._outlooks.pop(job_id, None)

    def _make_outlook(
        self, job: Job, history: _QueueHistory | None
    ) -> JobOutlook:
        paths_ms: list[float] = []
        remaining_ms: list[float] = []
        work: float = 0
        remaining_work: float = 0
        for step in job.occurrences[0].steps:
            after = step.plan.after
            expected_ms = self.expected_ms(step)
            left_ms = 0 if step.is_done else expected_ms
            paths_ms.append(_longest(paths_ms, after) + expected_ms)
            remaining_ms.append(_longest(remaining_ms, after) + left_ms)
            task_count = step.plan.task_count
            work += _work(step, task_count, expected_ms)
            remaining_work += _work(
                step, task_count - step.done_count, expected_ms
            )
        return JobOutlook(
            objective_ms=_objective_ms(job, max(paths_ms, default=0)),
            remaining_path_ms=max(remaining_ms, default=0),
            work=work,
            remaining_work=remaining_work,
            mean_work=history.mean_work if history else 0,
        )


def _objective_ms(job: Job, path_ms: float) -> float:
    queue = job.plan.queue
    return queue.slack_factor * path_ms + queue.objective_ms


def _work(step: Step, task_count: int, expected_ms: float) -> float:
    cores = max(step.plan.processor_millis, 1) / 1000
    return task_count * cores * expected_ms


def _longest(paths_ms: list[float], after: tuple[int, ...]) -> float:
    return max((paths_ms[number] for number in after), default=0)
