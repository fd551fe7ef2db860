"""
Tests of workers that are missing from the registry.
"""

from fake_store import virtual_tests
from fleet_world import HEARTBEAT_MS, World

from hawthornpier.steps import CrashEvidence, JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault

FIRST_TASK = ((0, 0),)
ONE_TASK = StepPlan(task_count=1, processor_millis=1_000)


@virtual_tests(World)
class TestMissingWorkers:
    """
    A worker that is missing from the registry has not necessarily crashed.
    """

    async def cut_off_all_that_start(self, world, task, count):
        cut_workers = []
        for run_count in range(1, count + 1):
            await world.wait_starts(run_count)
            cut_workers.extend(world.workers_of(task))
            world.cut_off(cut_workers[-1])
        await world.wait_starts(count + 1)
        return cut_workers

    async def test_tasks_of_missing_workers_are_not_given_up(self, world):
        """
        Guards against a task that is given up because its workers were cut off.
        """
        plan = world.plan(ONE_TASK, work_ms=8_000)
        task = await world.submit(plan)
        await self.cut_off_all_that_start(world, task, 2)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_the_return_of_a_worker_clears_its_tasks(self, world):
        """
        Guards against evidence that is kept after it has proved wrong.
        """
        plan = world.plan(ONE_TASK, work_ms=60_000)
        task = await world.submit(plan)
        cut_workers = await self.cut_off_all_that_start(world, task, 1)
        await world.run_for(2_000)
        shard = world.owner().local_shard()
        assert cut_workers[0].entry.worker_id not in shard.workers
        assert shard.find_task(task).crashes
        world.reconnect(cut_workers[0])
        await world.run_for(3 * HEARTBEAT_MS)
        assert not shard.find_task(task).crashes

    async def test_the_return_is_noticed_by_the_next_owner(self, world):
        """
        Guards against presumed crashes that a change of the owner makes final.
        """
        plan = world.plan(ONE_TASK, work_ms=60_000)
        task = await world.submit(plan)
        cut_workers = await self.cut_off_all_that_start(world, task, 1)
        await world.run_for(2_000)
        world.kill(world.owner())
        await self.check_that_a_return_is_noticed(world, task, cut_workers[0])

    async def test_the_return_is_noticed_after_a_handover(self, world):
        """
        Guards against a new owner that fails as it restores evidence twice.
        """
        plan = world.plan(ONE_TASK, work_ms=60_000)
        task = await world.submit(plan)
        cut_workers = await self.cut_off_all_that_start(world, task, 1)
        await world.run_for(2_000)
        await self.replace_owner(world)
        await self.check_that_a_return_is_noticed(world, task, cut_workers[0])
        assert not world.has_logged('part_failed')

    async def replace_owner(self, world):
        first = world.owner()
        first.client.fault = StoreFault.SILENT
        await world.wait_until(lambda: first.local_shard() is None)
        await world.wait_until(lambda: world.has_logged('handover_received'))
        await world.run_for(1_000)

    async def check_that_a_return_is_noticed(self, world, task, worker):
        await world.wait_until(lambda: world.owner() is not None)
        await world.run_for(3_000)
        shard = world.owner().local_shard()
        assert shard.find_task(task).crashes
        world.reconnect(worker)
        await world.run_for(3 * HEARTBEAT_MS)
        assert not shard.find_task(task).crashes

    async def test_a_replacement_is_noticed_after_a_handover(self, world):
        """
        Guards against a new owner that fails as it counts a crash twice.
        """
        plan = world.plan(ONE_TASK, work_ms=60_000)
        task = await world.submit(plan)
        cut_workers = await self.cut_off_all_that_start(world, task, 1)
        await world.run_for(2_000)
        await self.replace_owner(world)
        suspect = world.owner().local_shard().find_task(task)
        assert list(suspect.suspicions) == ['w0']
        worker = cut_workers[0]
        worker.crash()
        world.reconnect(worker)
        world.workers['w0+'] = worker
        worker.restart('w0+')
        await world.run_for(3 * HEARTBEAT_MS)
        # The worker was silent before, so nobody knows what it ran then.
        assert list(suspect.crashes.values()) == [CrashEvidence.UNCERTAIN]
        assert not suspect.suspicions
        assert not world.has_logged('part_failed')

    async def test_a_worker_that_comes_back_anew_has_crashed(self, world):
        """
        Guards against a task that crashes workers which return late, for ever.
        """
        world.restart_delay_ms = 12_000
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=90_000)
        assert world.checker.crash_counts[task] <= 3

    async def test_workers_that_never_come_back_are_counted(self, world):
        """
        Guards against a task that crashes worker after worker for good.
        """
        for number in range(4, 10):
            world.add_worker(f'w{number}')
        world.restart_delay_ms = 10_000_000
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=120_000)
        assert world.checker.crash_counts[task] <= 5
