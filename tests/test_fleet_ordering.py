"""
Tests of the order in which steps get room.
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


def job_of(task_count, *, accepted_ms=0, estimate_ms=1_000, number=0):
    step = StepPlan(
        task_count=task_count,
        processor_millis=1_000,
        estimate_ms=estimate_ms,
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
    Return the positions of the jobs, the first to get room first.
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
    Room goes where it earns most.
    """

    def test_short_work_goes_before_long_work(self):
        """
        Guards against short jobs that wait behind long ones.
        """
        assert ordered([job_of(40), job_of(4)], 0) == [1, 0]

    def test_a_job_that_is_nearly_done_goes_first(self):
        """
        Guards against many jobs that are begun and none that is finished.
        """
        begun = job_of(10)
        for task in begun.occurrences[0].steps[0].tasks[:8]:
            mark_done(task)
        assert ordered([job_of(10), begun], 0) == [1, 0]

    def test_urgent_jobs_go_before_patient_ones(self):
        """
        Guards against jobs that miss their objective behind equal ones that
        have time left.
        """
        waited = job_of(10, accepted_ms=-1_500.0)
        assert ordered([job_of(10), waited], 0) == [1, 0]

    def test_jobs_in_time_go_before_late_ones(self):
        """
        Guards against a backlog of late jobs that makes all others late.
        """
        late = job_of(10, accepted_ms=-5_000.0)
        assert ordered([late, job_of(10)], 0) == [1, 0]

    def test_worthless_jobs_go_last(self):
        """
        Guards against room for jobs that earn nothing any more.
        """
        worthless = job_of(1, accepted_ms=-LATER)
        late = job_of(40, accepted_ms=-5_000.0)
        assert ordered([worthless, late, job_of(40)], 0) == [2, 1, 0]
