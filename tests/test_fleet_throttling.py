"""
Tests of best-effort runs that are throttled for long-running ones.
"""

import asyncio
import dataclasses

from test_fleet_ends import PLAN, add_worker, shard_with

from hawthornpier.fleet import RunningRun, WorkerListing
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.steps import RunOutcome, StepPlan

LASTING = StepPlan(
    task_count=1,
    processor_millis=1_000,
    image='serving',
    tail_target_ms=150,
    is_lasting=True,
)
FILLING = StepPlan(
    task_count=1, processor_millis=1_000, image='heavy', is_filling=True
)


class TestPausedRuns:
    """
    Best-effort runs are not paused longer than long-running ones need.
    """

    async def test_run_goes_on_after_the_last_long_running_one(self):
        """
        Guards against a best-effort run that stays paused for ever, because
        nothing is decided for a worker without long-running tasks.
        """
        plan = dataclasses.replace(PLAN, steps=(LASTING, FILLING))
        shard = shard_with(plan, epoch=1)
        worker = add_worker(shard)
        lasting, filling = (
            shard.start_run(step.tasks[0], worker, reason='test')
            for step in shard.jobs[plan.job_id].occurrences[0].steps
        )
        for run in (lasting, filling):
            shard.confirm_run(run)
        shard.order_throttle(worker, filling, 0)
        filling.paused_ms = shard.now_ms
        shard.end_run(lasting, RunOutcome.LOST)
        row = RunningRun(
            task_key=filling.task.key,
            attempt=filling.attempt,
            checkpoint='',
            percent=10,
        )
        await asyncio.sleep(0.01)
        ListingReconciler(shard).apply(
            worker,
            WorkerListing(
                incarnation_ms=1, clock_ms=1_000, running=(row,), ended=()
            ),
            shard.now_ms,
        )
        assert filling.speed_percent == 100
