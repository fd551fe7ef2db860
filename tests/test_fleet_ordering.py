"""
Tests of the order in which steps are placed on workers.
"""

from hawthornpier.fleet._durations import DurationEstimator
from hawthornpier.fleet._ordering import rank_step
from hawthornpier.steps import Job, JobPlan, QueuePolicy, StepPlan, mark_done

QUEUE = QueuePolicy(
    name='orders',
    service='desk',
    slack_factor=2,
    objective_ms=1_000,
)
LATER = 100_000.0


def job_of(
    task_count, *, accepted_ms=0, estimate_ms=1_000, number=0, is_lasting=False
):
    step = StepPlan(
        task_count=task_count,
        processor_millis=1_000,
        estimate_ms=estimate_ms,
        is_lasting=is_lasting,
    )
    plan = JobPlan(
        job_id=f'{number:016x}',
        payload='',
        steps=(step,),
        queue=QUEUE,
    )
    return Job(plan, accepted_ms)


def ordered(jobs, now_ms):
    """
    Return the indices of the jobs in the order of placement.
    """
    durations = DurationEstimator()
    for job in jobs:
        durations.register_job(job)
    steps = [job.occurrences[0].steps[0] for job in jobs]
    return sorted(
        range(len(jobs)),
        key=lambda number: rank_step(steps[number], durations, now_ms),
    )


class TestOrder:
    """
    Steps are ranked by the value of their jobs per unit of remaining work.
    """

    def test_short_job_goes_before_long_one(self):
        """
        Guards against short jobs waiting behind long ones.
        """
        assert ordered([job_of(40), job_of(4)], 0) == [1, 0]

    def test_nearly_completed_job_goes_first(self):
        """
        Guards against starting many jobs and completing none of them in time.
        """
        nearly_done = job_of(10)
        for task in nearly_done.occurrences[0].steps[0].tasks[:8]:
            mark_done(task)
        assert ordered([job_of(10), nearly_done], 0) == [1, 0]

    def test_job_with_less_slack_goes_first(self):
        """
        Guards against a job that misses its objective because an equal job
        with more slack is placed first.
        """
        less_slack = job_of(10, accepted_ms=-1_500.0)
        assert ordered([job_of(10), less_slack], 0) == [1, 0]

    def test_late_job_goes_after_job_in_time(self):
        """
        Guards against a backlog of late jobs that delays all others.
        """
        late = job_of(10, accepted_ms=-5_000.0)
        assert ordered([late, job_of(10)], 0) == [1, 0]

    def test_job_without_value_goes_last(self):
        """
        Guards against spending capacity on jobs that are too late to have any
        value, while others wait.
        """
        valueless = job_of(1, accepted_ms=-LATER)
        late = job_of(40, accepted_ms=-5_000.0)
        assert ordered([valueless, late, job_of(40)], 0) == [2, 1, 0]


class TestLongRunningSteps:
    """
    Long-running steps go first, in the order in which they began to wait.
    """

    def test_the_one_that_has_waited_longest_goes_first(self):
        """
        Guards against a task that waits beside room for seconds, because each
        worker that becomes free goes to a job that was submitted earlier.
        """
        jobs = [
            job_of(1, number=number, is_lasting=True) for number in range(3)
        ]
        steps = [job.occurrences[0].steps[0] for job in jobs]
        steps[1].unplaced_since_ms = 900
        steps[2].unplaced_since_ms = 500
        assert ordered([*jobs, job_of(1)], 1_000) == [2, 1, 0, 3]
