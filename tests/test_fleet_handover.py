"""
Tests of the handover from the previous owner of a shard to the new one.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet._fencing import TOKENS_PER_EPOCH
from hawthornpier.steps import JobPhase, StepPlan
from hawthornpier_standin.fleet import StoreFault, WorkerFault

WHOLE_WORKER = StepPlan(task_count=4, processor_millis=8_000)
TWO_WORKERS = StepPlan(task_count=2, processor_millis=8_000)


def workers_of(world, plan):
    return {
        worker
        for (task, _), worker in world.checker.running.items()
        if task.startswith(plan.job_id)
    }


def claimants_of(world, *, epoch):
    return [
        node
        for node in world.nodes.values()
        if not node.is_dead and node.presence().epoch == epoch
    ]


@virtual_tests(World)
class TestHandover:
    """
    Tasks start soon after a change of the owner, and none runs twice.
    """

    async def test_an_unreachable_worker_blocks_only_its_tasks(self, world):
        """
        Guards against a new owner that starts no tasks at all.

        One worker is unreachable, so the new owner cannot obtain its runs.
        The previous owner cannot reach the store but reports which tasks the
        worker may run; only these have to wait.
        """
        await world.wait_first_owner()
        first = world.plan(WHOLE_WORKER, work_ms=4_000)
        waiting = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(first)
        await world.run_for(300)
        await world.any_node().entry.submit(waiting)
        unreachable = sorted(workers_of(world, first))[0]
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        world.owner().client.fault = StoreFault.REFUSE
        await world.run_for(6_000)
        assert len(workers_of(world, waiting)) == 2
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.wait_phase(first.job_id, JobPhase.COMPLETED)

    async def test_an_unreachable_worker_blocks_its_tasks(self, world):
        """
        Guards against a task that runs twice after a change of the owner.

        An unreachable worker still runs it, which the new owner can only learn
        from the handover.
        """
        await world.wait_first_owner()
        plan = world.plan(WHOLE_WORKER, work_ms=6_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, plan))[0]
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        world.owner().client.fault = StoreFault.REFUSE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_outcomes_that_are_not_stored_are_handed_over(self, world):
        """
        Guards against a task that runs again although it is complete.

        The previous owner could not store its outcome, and the worker that
        ran it is unreachable, so only the handover contains the outcome.
        """
        await self._run_without_store(world)

    async def test_a_handover_whose_reply_is_lost(self, world):
        """
        Guards against a task that runs again as one reply was lost.
        """
        world.lost_handover_count = 1
        await self._run_without_store(world)

    async def _run_without_store(self, world):
        await world.wait_first_owner()
        plan = world.plan(WHOLE_WORKER, work_ms=1_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, plan))[0]
        world.owner().client.fault = StoreFault.REFUSE
        await world.run_for(1_200)
        assert len(world.checker.done) == 4
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 4

    async def test_a_failed_release_is_reported_to_peers(self, world):
        """
        Guards against a shard without an owner until the lease expires.

        A leaving owner cannot write its release to the store, so it has to
        report to its peers that it has given up the shard.
        """
        await world.wait_first_owner()
        leaving = world.owner()
        leaving.client.fault = StoreFault.REFUSE
        await leaving.leave()
        await world.run_for(900)
        assert world.owner() not in (None, leaving)

    async def test_unreachable_workers_stay_recorded(self, world):
        """
        Guards against a task that runs twice after two changes of the owner.

        An unreachable worker still runs it.  The first new owner gets no
        reply from this worker and must keep it in the stored list of workers,
        from which the second one learns of it.
        """
        await world.wait_first_owner()
        plan = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, plan))[0]
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        world.kill(world.owner())
        await world.run_for(700)
        world.kill(world.owner())
        await world.wait_phase(
            plan.job_id,
            JobPhase.COMPLETED,
            limit_ms=40_000,
        )

    async def test_leases_of_the_previous_owner_are_counted(self, world):
        """
        Guards against a task that runs twice after a change of the owner.

        A worker lists its runs to the new owner and resets all connections
        from then on, before the new owner has granted it a lease.  That of the
        previous owner keeps them running.
        """
        await world.wait_first_owner()
        step = StepPlan(task_count=2, processor_millis=8_000, is_filling=True)
        plan = world.plan(step, work_ms=9_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, plan))[0]
        world.kill(world.owner())
        worker = world.workers[unreachable]
        while worker.fencing_token < 2 * TOKENS_PER_EPOCH:
            await world.run_for(1)
        world.workers[unreachable].fault = WorkerFault.RESET
        await world.run_for(9_000)
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_an_owner_that_has_not_loaded_knows_no_runs(self, world):
        """
        Guards against a task that runs twice after two changes of the owner.

        The first new owner cannot load the shard, so it does not know which
        tasks an unreachable worker runs, and must not report that there are
        none.
        """
        await world.wait_first_owner()
        plan = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, plan))[0]
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        world.kill(world.owner())
        while not claimants_of(world, epoch=2):
            await world.run_for(1)
        claimants = claimants_of(world, epoch=2)
        claimants[0].client.fault = StoreFault.REFUSE
        await world.run_for(4_500)
        assert claimants_of(world, epoch=3)
        claimants[0].client.fault = StoreFault.NONE
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.wait_phase(
            plan.job_id,
            JobPhase.COMPLETED,
            limit_ms=40_000,
        )

    async def test_a_drained_worker_that_left_blocks_nothing(self, world):
        """
        Guards against a new owner that waits for a worker without runs.

        The worker was drained before it left, so it cannot be running any of
        the tasks that wait.
        """
        await world.wait_first_owner()
        left = world.workers['w0']
        left.entry = dataclasses.replace(left.entry, is_draining=True)
        await world.run_for(2_500)
        busy = world.plan(StepPlan(task_count=3, processor_millis=8_000))
        waiting = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(busy)
        await world.any_node().entry.submit(waiting)
        left.crash()
        world.kill(world.owner())
        await world.run_for(2_500)
        assert len(workers_of(world, waiting)) == 2


@virtual_tests(World)
class TestLeaseExpiry:
    """
    Starts of runs that were given up with a worker's lease are not sent.
    """

    async def test_queued_starts_are_dropped(self, world):
        """
        Guards against starts that are sent after their runs were given up.

        They are queued behind other orders to an unreachable worker, whose
        lease expires before it responds again.
        """
        await world.wait_first_owner()
        stopped = world.plan(
            StepPlan(task_count=2, processor_millis=1_000),
            work_ms=60_000,
        )
        await world.any_node().entry.submit(stopped)
        await world.run_for(300)
        unreachable = sorted(workers_of(world, stopped))[0]
        world.workers[unreachable].fault = WorkerFault.PARTITIONED
        await world.any_node().entry.cancel(stopped.job_id)
        plan = world.plan(
            StepPlan(task_count=6, processor_millis=1_000),
            work_ms=20_000,
        )
        await world.any_node().entry.submit(plan)
        while not world.has_logged('worker_lapsed'):
            await world.run_for(50)
        await world.run_for(900)
        world.workers[unreachable].fault = WorkerFault.NONE
        await world.run_for(3_000)
        assert len(world.checker.running) == 6
