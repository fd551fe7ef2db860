"""
Tests of the fleet scheduler with workers that fail, vanish or are disturbed.
"""

from fake_store import virtual_tests
from fleet_world import World
from test_fleet_recovery import LONG, started_world

from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault


@virtual_tests(World)
class TestWorkerFaults:
    """
    Workers vanish, misbehave and return.
    """

    async def test_tasks_of_a_vanished_worker_run_elsewhere(self, world):
        """
        Guards against renewals of a silent worker that keep its tasks
        charged for good.
        """
        await started_world(world)
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

    async def test_a_cut_off_worker_lapses_before_a_new_start(self, world):
        """
        Guards against a second run while a cut-off worker still runs one.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=4_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        cut = next(iter(world.checker.running.values()))
        world.workers[cut].fault = WorkerFault.CUT
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        world.workers[cut].fault = WorkerFault.NONE
        await world.run_for(3_000)

    async def test_a_reborn_worker_frees_its_tasks(self, world):
        """
        Guards against runs of an earlier life that are still waited for.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=2_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(500)
        reborn = next(iter(world.checker.running.values()))
        world.workers[reborn].crash()
        world.workers[reborn].restart()
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED, limit_ms=7_000)

    async def test_starts_that_are_carried_out_late(self, world):
        """
        Guards against a start without an answer that runs later, beside the
        one that replaced it.
        """
        await started_world(world)
        world.workers['w0'].fault = WorkerFault.START_LATE
        plan = world.plan(
            StepPlan(task_count=24, processor_millis=1_000),
            work_ms=1_500,
        )
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(5_000)

    async def test_a_late_start_in_a_new_life(self, world):
        """
        Guards against a start to a worker's old life that the new life
        carries out beside the one that replaced it.
        """
        await started_world(world)
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
        Guards against jobs that fail because one worker fails everything.
        """
        await started_world(world)
        world.workers['w0'].fault = WorkerFault.FAIL_ALL
        plans = [world.plan(work_ms=150) for _ in range(10)]
        for plan in plans:
            await world.any_node().entry.submit(plan)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_tasks_that_stand_still_move(self, world):
        """
        Guards against tasks that never end on a worker that answers.
        """
        await started_world(world)
        plan = world.plan(LONG, work_ms=500)
        world.workers['w0'].fault = WorkerFault.STAND_STILL
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_process_that_was_cut_off(self, world):
        """
        Guards against a second run by an owner that was cut off and returns.
        """
        await started_world(world)
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
class TestDisturbance:
    """
    Filling tasks do not keep lasting ones over their target.
    """

    async def test_a_paused_task_goes_on_under_a_new_owner(self, world):
        """
        Guards against a task that the previous owner paused, which the new
        one takes for standing still and stops.
        """
        await started_world(world)
        filling = StepPlan(
            task_count=1,
            processor_millis=1_000,
            image='filling',
            is_filling=True,
        )
        plan = world.plan(filling, work_ms=1_500)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        (task, attempt), worker_id = next(iter(world.checker.running.items()))
        world.workers[worker_id].pace(task, attempt, 0, 9**9)
        world.kill(world.owner())
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 1

    async def test_a_harmful_image_goes_elsewhere(self, world):
        """
        Guards against filling tasks that work on beside an exceeded tail.
        """
        await started_world(world)
        for worker in world.workers.values():
            worker.harmful.add(('serving', 'heavy'))
        lasting = StepPlan(
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
        await world.any_node().entry.submit(world.plan(lasting))
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
