"""
Tests of tasks that crash each worker that starts them.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet._crashes import confirm_crash
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import WorkerFault

FIRST_TASK = ((0, 0),)
ONE_TASK = StepPlan(task_count=1, processor_millis=1_000)


@virtual_tests(World)
class TestCrashingTask:
    """
    A task that crashes workers is given up before it has crashed many.
    """

    async def test_a_task_does_not_crash_worker_after_worker(self, world):
        """
        Guards against unlimited starts of a task that crashes its workers.
        """
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        await world.run_for(5_000)
        assert 2 <= world.checker.crash_counts[task] <= 3

    async def test_the_count_of_crashes_survives_a_change_of_the_owner(
        self, world
    ):
        """
        Guards against a new owner that starts to count crashes anew.
        """
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        # The owner has counted the crash and stored the count by then.
        await self.check_with_new_owners(world, plan, delay_ms=4_000)

    async def test_a_crash_that_no_owner_has_confirmed_counts(self, world):
        """
        Guards against a crash that is lost with the owner that saw it.

        The owner is killed before the worker is known to have crashed.
        """
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        await self.check_with_new_owners(world, plan, delay_ms=800)

    async def test_a_long_running_task_crashes_workers_ever_less_often(
        self, world
    ):
        """
        Guards against a long-running job that fails, or crashes all workers.
        """
        world.restart_delay_ms = 200
        step = StepPlan(task_count=1, processor_millis=1_000, is_lasting=True)
        plan = world.plan(step, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.run_for(15_000)
        early_count = world.checker.crash_counts[task]
        await world.run_for(30_000)
        phase = await world.any_node().entry.show(plan.job_id)
        assert phase not in {JobPhase.FAILED, JobPhase.COMPLETED}
        assert 3 <= early_count <= 5
        assert 4 <= world.checker.crash_counts[task] - early_count <= 7

    async def test_copies_do_not_crash_further_workers(self, world):
        """
        Guards against copies of a task whose worker may have crashed by it.
        """
        step = StepPlan(
            task_count=1,
            processor_millis=1_000,
            estimate_ms=300,
            may_run_copies=True,
        )
        plan = world.plan(step, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.crash_counts[task] <= 3

    async def test_a_gang_is_given_up(self, world):
        """
        Guards against a gang that crashes the workers of one member.
        """
        step = StepPlan(task_count=2, processor_millis=1_000, is_gang=True)
        plan = world.plan(step, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.crash_counts[task] <= 3

    async def test_a_worker_that_keeps_its_id_counts_too(self, world):
        """
        Guards against crashes that look like a new start of the same worker.
        """
        world.keeps_worker_id = True
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        task = await world.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.crash_counts[task] <= 3

    async def check_with_new_owners(self, world, plan, *, delay_ms):
        task = await world.submit(plan)
        for crash_count in (1, 2):
            await world.wait_crashes(task, crash_count)
            await world.run_for(delay_ms)
            world.kill(world.owner())
            world.start_node(f'extra{crash_count}')
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        assert world.checker.crash_counts[task] <= 3


@virtual_tests(World)
class TestOtherTasks:
    """
    Tasks beside one that crashes workers run to their end.
    """

    async def test_jobs_beside_it_complete(self, world):
        """
        Guards against jobs that fail because their workers crashed.
        """
        others = [world.plan(work_ms=3_000) for _ in range(5)]
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        await world.submit(plan)
        for other in others:
            await world.any_node().entry.submit(other)
        await world.wait_phase(plan.job_id, JobPhase.FAILED, limit_ms=60_000)
        for other in others:
            await world.wait_phase(other.job_id, JobPhase.COMPLETED)

    async def test_they_start_again_once_the_worker_is_back(self, world):
        """
        Guards against runs that count as running after their worker crashed.

        Another worker at the address shows the crash before the lease expires.
        """
        world.restart_delay_ms = 1_000
        other = world.plan(work_ms=10_000)
        await world.submit(other)
        await world.run_for(1_000)
        plan = world.plan(ONE_TASK, crashing_tasks=FIRST_TASK)
        await world.any_node().entry.submit(plan)
        await world.run_for(2_000)
        assert len(world.checker.running) == 4

    async def test_crashes_before_the_start_do_not_count(self, world):
        """
        Guards against a task that is given up without having run.

        Its workers crash for other reasons, as its start is on its way.
        """
        await world.run_for(1_500)
        for worker in world.workers.values():
            worker.fault = WorkerFault.CRASH
        plan = world.plan(ONE_TASK)
        await world.any_node().entry.submit(plan)
        await world.wait_until(lambda: world.crash_count >= 2)
        for each in world.workers.values():
            each.fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_worker_that_sends_heartbeats_outlives_the_start(
        self, world
    ):
        """
        Guards against a task that is given up for a crash after its end.

        The replies of the second worker are lost from its start on.
        """
        plan = world.plan(ONE_TASK, work_ms=2_500)
        task = await world.submit(plan)
        await world.wait_starts(1)
        first = world.workers_of(task)[0]
        first.crash()
        first.restart()
        await world.wait_starts(2)
        await world.run_for(50)
        second = world.workers_of(task)[0]
        second.fault = WorkerFault.LOSE_REPLIES
        await world.wait_until(lambda: task in world.checker.done)
        await world.run_for(500)
        second.crash()
        second.restart()
        second.fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_crash_after_an_unknown_end_is_not_certain(self, world):
        """
        Guards against a task that is given up for crashes after its end.

        The owner does not hear of its ends, because the replies of its workers
        are lost; nor do heartbeats show that they have outlived its start.
        """
        plan = world.plan(ONE_TASK)
        task = await world.submit(plan)
        for run_count in (1, 2):
            await world.wait_starts(run_count)
            await world.run_for(5)
            worker = world.workers_of(task)[0]
            worker.fault = WorkerFault.LOSE_REPLIES
            await world.run_for(400)
            assert not world.checker.running
            worker.crash()
            await world.run_for(1_500)
            worker.restart()
            worker.fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_a_silent_worker_has_not_crashed(self, world):
        """
        Guards against a task that is given up while its workers are only cut.
        """
        plan = world.plan(ONE_TASK, work_ms=8_000)
        task = await world.submit(plan)
        for run_count in (1, 2, 3):
            await world.wait_starts(run_count)
            for worker_id in world.checker.running.values():
                worker = world.workers[worker_id]
            worker.fault = WorkerFault.PARTITIONED
            await world.run_for(6_500)
            worker.fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.crash_counts[task] == 0

    async def test_a_worker_that_leaves_as_planned_has_not_crashed(self, world):
        """
        Guards against tasks that are given up because workers are replaced.
        """
        plan = world.plan(ONE_TASK, work_ms=30_000)
        task = await world.submit(plan)
        await world.wait_starts(1)
        shard = world.owner().local_shard()
        for worker_id in world.checker.running.values():
            worker = shard.workers[worker_id]
        worker.entry = dataclasses.replace(worker.entry, is_draining=True)
        confirm_crash(shard, worker, 'entry missing')
        assert not shard.find_task(task).crashes

    async def test_a_new_owner_does_not_take_silence_for_a_crash(self, world):
        """
        Guards against evidence that a change of the owner turns into proof.

        The lease has expired, so the worker is in no list of the old owner.
        """
        plan = world.plan(ONE_TASK, work_ms=30_000)
        task = await world.submit(plan)
        await world.wait_starts(1)
        for worker_id in world.checker.running.values():
            world.workers[worker_id].fault = WorkerFault.PARTITIONED
        await world.wait_starts(2)
        await world.run_for(500)
        world.kill(world.owner())
        await world.run_for(3_000)
        shard = world.owner().local_shard()
        assert not shard.find_task(task).crashes
