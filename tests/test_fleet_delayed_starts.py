"""
Tests of starts that wait before they are sent, or before they take effect.
"""

import dataclasses

from test_fleet_ends import add_worker, listing_of, shard_with, task_key

from hawthornpier.fleet import RunningRun, WorkerListing, WorkerTimings
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.steps import JobPlan, QueuePolicy, RunPhase, StepPlan

JOB_ID = '00000000000000aa'
QUEUE = QueuePolicy(name='orders', service='desk')
# How long the order for the start waited.
DELAY_MS = 26_000


def start_after_delay(step):
    """
    Return a shard with a run that its worker has begun after a long delay.
    """
    plan = JobPlan(job_id=JOB_ID, payload='', steps=(step,), queue=QUEUE)
    shard = shard_with(plan, epoch=1)
    worker = add_worker(shard)
    worker.is_recorded = True
    ListingReconciler(shard).apply(worker, listing_of(), shard.now_ms)
    run = shard.start_run(shard.find_task(task_key(0)), worker, reason='test')
    shard.clock.jump_ms += DELAY_MS
    shard.confirm_run(run)
    return shard, run


def check_after(shard, run, duration_ms, *, percent):
    """
    Let the worker list the run after a time, and check the runs.
    """
    shard.clock.jump_ms += duration_ms
    row = RunningRun(
        task_key=run.task.key,
        attempt=run.attempt,
        checkpoint='',
        percent=percent,
    )
    listing = WorkerListing(
        incarnation_ms=1,
        clock_ms=int(shard.now_ms),
        running=(row,),
        ended=(),
    )
    worker = shard.workers[run.worker_id]
    ListingReconciler(shard).apply(worker, listing, shard.now_ms)
    RunMonitor(shard, WorkerTimings()).run_pass()


class TestDelayedStarts:
    """
    The time that a start has waited does not count as run time.
    """

    async def test_long_running_task_is_given_its_startup_time(self):
        """
        Guards against a long-running task that is stopped soon after its start.
        """
        shard, run = start_after_delay(
            StepPlan(task_count=1, processor_millis=1_000, is_lasting=True)
        )
        check_after(shard, run, 2_000, percent=0)
        assert run.phase is RunPhase.RUNNING
        check_after(shard, run, 3_000, percent=0)
        assert run.phase is RunPhase.STOPPING

    async def test_task_on_a_draining_worker_is_not_taken_for_almost_done(self):
        """
        Guards against a task that is lost when its worker leaves, although it
        could have resumed elsewhere.
        """
        shard, run = start_after_delay(
            StepPlan(
                task_count=1,
                processor_millis=1_000,
                estimate_ms=20_000,
                has_checkpoints=True,
            )
        )
        worker = shard.workers[run.worker_id]
        worker.entry = dataclasses.replace(
            worker.entry, is_draining=True, remaining_ms=3_000
        )
        check_after(shard, run, 1_000, percent=5)
        assert run.phase is RunPhase.STOPPING
