"""
Tests of the jobs that the owner of a shard holds in memory.
"""

from test_fleet_placement import step_of
from virtual_time import VirtualClock

from hawthornpier.fleet._job_index import JobIndex
from hawthornpier.steps import Job


def index_of(*jobs):
    index = JobIndex(VirtualClock(), 4_096)
    for job in jobs:
        index.index_job(job)
    return index


class TestActiveJobs:
    """
    Jobs that have ended stay known for minutes, but cost the owner nothing.
    """

    def test_ended_jobs_are_passed_over_once(self, monkeypatch):
        """
        Guards against passes whose cost grows with all jobs of some minutes.
        """
        jobs = [step_of(number, task_count=1).job for number in range(100)]
        index = index_of(*jobs)
        assert list(index.active_jobs()) == jobs
        for job in jobs[1:]:
            job.is_cancelled = True
        assert list(index.active_jobs()) == jobs[:1]
        checked = []
        monkeypatch.setattr(Job, 'is_terminal', property(checked.append))
        assert list(index.active_jobs()) == checked == jobs[:1]
        assert len(index.jobs) == len(jobs)

    def test_jobs_may_be_removed_meanwhile(self):
        """
        Guards against a pass that fails because it ends or removes a job.
        """
        jobs = [step_of(number, task_count=1).job for number in range(3)]
        index = index_of(*jobs)
        for job in index.active_jobs():
            index.remove_job(job.plan.job_id)
        assert not list(index.active_jobs())
