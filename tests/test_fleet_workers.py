"""
Tests of the fleet scheduler with worker faults and interference.
"""

from fake_store import virtual_tests
from fleet_world import QUEUE, World
from test_fleet_recovery import LONG
from virtual_time import JumpingClock, run_virtual

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import (
    RunningRun,
    WorkerEntry,
    WorkerListing,
    WorkerTimings,
)
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import JobPhase, JobPlan, RunPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault


@virtual_tests(World)
class TestWorkerFaults:
    """
    Workers crash, misbehave, become unreachable and return.
    """

    async def test_tasks_of_a_crashed_worker_run_elsewhere(self, world):
        """
        Guards against tasks of a crashed worker that are never restarted.

        That happens if renewals without a reply keep extending the worker's
        lease, so that its runs never count as ended.
        """
        await world.wait_first_owner()
        plan = world.plan(
            StepPlan(task_count=2, processor_millis=1_000, is_lasting=True),
        )
        await world.any_node().entry.submit(plan)
        await world.run_for(1_000)
        key, worker_id = next(iter(world.checker.running.items()))
        world.workers[worker_id].crash()
        await world.run_for(8_000)
        again = [task for task, _ in world.checker.running]
        assert again.count(key[0]) == 1
        assert len(again) == 2

    async def test_an_unreachable_worker_expires_before_a_new_start(
        self, world
    ):
        """
        Guards against a task that runs twice at the same time.

        An unreachable worker continues its runs until its lease expires, so
        they must not be restarted elsewhere before that.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=4_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        unreachable = next(iter(world.checker.running.values()))
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.run_for(3_000)

    async def test_a_restarted_worker_frees_its_tasks(self, world):
        """
        Guards against waiting for runs of an earlier incarnation.

        They ended when the worker crashed, so their tasks can be restarted
        without waiting for the lease to expire.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=2_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        restarted = next(iter(world.checker.running.values()))
        world.workers[restarted].crash()
        world.workers[restarted].restart()
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=7_000)

    async def test_starts_that_are_executed_late(self, world):
        """
        Guards against a task that runs twice at the same time.

        A worker does not reply to a start but executes it later, when the
        task may have been started elsewhere.
        """
        await world.wait_first_owner()
        world.workers['w0'].fault = WorkerFault.START_LATE
        plan = world.plan(
            StepPlan(task_count=24, processor_millis=1_000),
            work_ms=1_500,
        )
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(5_000)

    async def test_a_late_start_in_a_new_incarnation(self, world):
        """
        Guards against a task that runs twice at the same time.

        A start that was sent to one incarnation of a worker is executed by
        the next one, when the task may have been started elsewhere.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        worker.fault = WorkerFault.START_LATE
        plan = world.plan(
            StepPlan(task_count=24, processor_millis=1_000),
            work_ms=4_000,
        )
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        worker.crash()
        worker.restart()
        worker.fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(3_000)

    async def test_a_worker_that_fails_all_is_avoided(self, world):
        """
        Guards against jobs that fail because of a single faulty worker.

        A worker that fails every run at once has free resources again, so
        it would use up the attempts of many tasks.
        """
        await world.wait_first_owner()
        world.workers['w0'].fault = WorkerFault.FAIL_ALL
        plans = [world.plan(work_ms=150) for _ in range(10)]
        for plan in plans:
            await world.any_node().entry.submit(plan)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_tasks_without_progress_move(self, world):
        """
        Guards against tasks that never end on a worker that responds.

        The worker renews its lease and lists the runs, but they make no
        progress.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=500)
        world.workers['w0'].fault = WorkerFault.STALLED
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_completed_runs_of_a_silent_worker_are_awaited(self, world):
        """
        Guards against completed work that runs again after an answer was lost.

        The worker is alive, as the registry shows, but does not reach the
        owner until after the end of its lease.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=2_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        worker_id = sorted(world.checker.running.values())[0]
        world.workers[worker_id].fault = WorkerFault.PARTITIONED
        await world.run_for(7_000)
        world.workers[worker_id].fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == LONG.task_count

    async def test_a_long_task_is_not_taken_for_stalled(self, world):
        """
        Guards against long tasks that are stopped and started again forever.

        One percent of their work takes four seconds, during which the listed
        progress does not change.
        """
        await world.wait_first_owner()
        step = StepPlan(
            task_count=3, processor_millis=1_000, estimate_ms=400_000
        )
        plan = world.plan(step, work_ms=400_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(20_000)
        assert world.checker.started_count == 3

    async def test_an_isolated_owner_is_replaced(self, world):
        """
        Guards against a task that the deposed owner starts again.

        The owner loses its connections to the store, its peers and the
        workers, is replaced, and reconnects while the tasks are running.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=9_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        old = world.owner()
        old.is_partitioned = True
        old.client.fault = StoreFault.SILENT
        await world.run_for(5_500)
        old.is_partitioned = False
        old.client.fault = StoreFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.owner() is not old


@virtual_tests(World)
class TestInterference:
    """
    Best-effort tasks do not keep long-running ones above their target.
    """

    async def test_a_paused_task_resumes_under_a_new_owner(self, world):
        """
        Guards against a new owner that treats a paused task as stalled.

        The previous owner paused the task, which the worker's listing does not
        show.  The new owner must restore its speed, or it would stop the task
        for lack of progress.
        """
        await world.wait_first_owner()
        best_effort = StepPlan(
            task_count=1,
            processor_millis=1_000,
            image='filling',
            is_filling=True,
        )
        plan = world.plan(best_effort, work_ms=1_500)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        (task, attempt), worker_id = next(iter(world.checker.running.items()))
        world.workers[worker_id].pace(task, attempt, 0, 9**9)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 1

    async def test_a_harmful_image_goes_elsewhere(self, world):
        """
        Guards against best-effort tasks that keep a tail latency too high.

        Their image harms the long-running tasks on all workers, so they must
        leave the workers that run these.
        """
        await world.wait_first_owner()
        for worker in world.workers.values():
            worker.interfering_images.add(('serving', 'heavy'))
        long_running = StepPlan(
            task_count=2,
            processor_millis=6_000,
            image='serving',
            tail_target_ms=100,
            is_lasting=True,
        )
        heavy = StepPlan(
            task_count=4,
            processor_millis=2_000,
            image='heavy',
            is_filling=True,
            has_checkpoints=True,
        )
        await world.any_node().entry.submit(world.plan(long_running))
        await world.run_for(1_500)
        for _ in range(6):
            await world.any_node().entry.submit(
                world.plan(heavy, work_ms=1_000),
            )
            await world.run_for(700)
        serving = {
            worker
            for (task, _), worker in world.checker.running.items()
            if world.model_of(task).is_lasting
        }
        await world.run_for(3_000)
        beside = [
            task
            for (task, _), worker in world.checker.running.items()
            if worker in serving and world.model_of(task).is_filling
        ]
        assert not beside


class TestStalledRuns:
    """
    A run is stalled if listings show no progress of it for some time.
    """

    def test_a_listing_that_was_requested_long_ago(self):
        """
        Guards against running work that is stopped on a worker slow to report.

        The listing arrives two seconds after the previous one, but shows the
        state at the time of its request.
        """
        assert self._phase_after(requested_ms=300) is RunPhase.RUNNING

    def test_a_recent_listing_without_progress(self):
        """
        Guards against tasks that stand still for the rest of the day.
        """
        assert self._phase_after(requested_ms=2_400) is RunPhase.STOPPING

    def _phase_after(self, *, requested_ms):
        async def scenario():
            clock = JumpingClock()
            shard = Shard(
                's0',
                epoch=1,
                clock=clock,
                log=DecisionLog('n0', lines_per_s=10**6),
            )
            worker = WorkerState(
                WorkerEntry(
                    worker_id='w0',
                    service='desk',
                    address='w0',
                    failure_domain='z',
                    processor_millis=8_000,
                    memory_mb=64_000,
                    accelerator_count=0,
                    incarnation_ms=1,
                ),
            )
            shard.workers['w0'] = worker
            job = shard.add_job(
                JobPlan(
                    job_id='a' * 16,
                    payload='',
                    steps=(StepPlan(task_count=1, processor_millis=1_000),),
                    queue=QUEUE,
                ),
            )
            task = next(job.tasks())
            run = shard.start_run(task, worker, reason='test')
            listings = ListingReconciler(shard)
            listings.apply(worker, _listing(task.key, 20), 0)
            clock.jump_ms = 2_500
            listings.apply(worker, _listing(task.key, 2_300), requested_ms)
            RunMonitor(shard, WorkerTimings()).run_pass()
            return run.phase

        return run_virtual(scenario())


def _listing(task_key, clock_ms):
    row = RunningRun(task_key=task_key, attempt=1, checkpoint='', percent=10)
    return WorkerListing(
        incarnation_ms=1, clock_ms=clock_ms, running=(row,), ended=()
    )
