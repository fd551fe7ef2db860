"""
Tests of the attempts of a gang, whose members start and fail together.
"""

import dataclasses

from test_fleet_ends import JOB_ID, add_worker, shard_with, task_key
from test_fleet_ends import PLAN as ONE_STEP

from hawthornpier.fleet import StoredRow
from hawthornpier.steps import (
    JobPhase,
    RunOutcome,
    StepPlan,
    encode_progress,
)

GANG = StepPlan(task_count=4, processor_millis=1_000, is_gang=True)
PLAN = dataclasses.replace(ONE_STEP, steps=(GANG,))


def start_gang(shard, worker):
    tasks = list(shard.jobs[JOB_ID].tasks())
    attempt = max(shard.next_attempt(task) for task in tasks)
    for task in tasks:
        task.attempt = attempt - 1
    return [shard.start_run(task, worker, reason='test') for task in tasks]


def fail_gang(shard, worker, *, failed_count):
    """
    Let the first members fail, and the others end because of that.
    """
    for index, run in enumerate(start_gang(shard, worker)):
        outcome = RunOutcome.GANG_BROKEN
        if index < failed_count:
            outcome = RunOutcome.FAILED
        shard.end_run(run, outcome)


class TestGangAttempts:
    """
    The runs of all members with one number are one attempt.
    """

    async def test_members_that_fail_together_use_one_attempt(self):
        shard = shard_with(PLAN)
        worker = add_worker(shard)
        fail_gang(shard, worker, failed_count=4)
        assert shard.jobs[JOB_ID].end_phase is None
        fail_gang(shard, worker, failed_count=1)
        assert shard.jobs[JOB_ID].end_phase is JobPhase.FAILED

    async def test_failures_of_different_members_use_up_the_attempts(self):
        shard = shard_with(PLAN)
        for attempt, index in enumerate((0, 3), start=1):
            assert shard.jobs[JOB_ID].end_phase is None
            shard.record_outcome(
                shard.find_task(task_key(index)), attempt, RunOutcome.FAILED, ''
            )
        assert shard.jobs[JOB_ID].end_phase is JobPhase.FAILED

    async def test_next_owner_counts_attempts_of_the_gang(self):
        previous = shard_with(PLAN, epoch=1)
        fail_gang(previous, add_worker(previous), failed_count=4)
        shard = shard_with(dataclasses.replace(PLAN, job_id='f' * 16))
        content = encode_progress(previous.jobs[JOB_ID])
        row = StoredRow(
            table='progress', part='s0', key=JOB_ID, content=content
        )
        job = shard.add_job(PLAN, progress=(row,))
        assert job.end_phase is None
        shard.record_outcome(
            shard.find_task(task_key(2)), 1_001, RunOutcome.FAILED, ''
        )
        assert job.end_phase is JobPhase.FAILED

    async def test_no_member_prefers_the_worker_where_another_failed(self):
        """
        Guards against the next attempt on the same failing worker.
        """
        shard = shard_with(PLAN)
        worker = add_worker(shard)
        fail_gang(shard, worker, failed_count=1)
        assert all(
            worker.worker_id in task.avoided_workers
            for task in shard.jobs[JOB_ID].tasks()
        )

    async def test_copies_of_a_speculative_task_are_attempts_of_their_own(
        self,
    ):
        step = StepPlan(task_count=1, processor_millis=1_000)
        plan = dataclasses.replace(
            PLAN, steps=(dataclasses.replace(step, may_run_copies=True),)
        )
        shard = shard_with(plan)
        worker = add_worker(shard)
        task = shard.find_task(task_key(0))
        runs = [shard.start_run(task, worker, reason='t') for _ in range(2)]
        for run in runs:
            assert shard.jobs[JOB_ID].end_phase is None
            shard.end_run(run, RunOutcome.FAILED)
        assert shard.jobs[JOB_ID].end_phase is JobPhase.FAILED
