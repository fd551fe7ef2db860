"""
Tests of what a new owner learns from the previous one.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import World
from test_fleet_recovery import started_world

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


@virtual_tests(World)
class TestHandover:
    """
    Work goes on soon after a change of the owner, and nothing runs twice.
    """

    async def test_a_silent_worker_blocks_only_its_own_tasks(self, world):
        """
        Guards against a stand-still of all waiting tasks after a change of
        the owner while one worker does not answer.
        """
        await started_world(world)
        first = world.plan(WHOLE_WORKER, work_ms=4_000)
        waiting = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(first)
        await world.run_for(300)
        await world.any_node().entry.submit(waiting)
        silent = sorted(workers_of(world, first))[0]
        world.workers[silent].fault = WorkerFault.CUT
        world.owner().client.fault = StoreFault.REFUSE
        await world.run_for(6_000)
        assert len(workers_of(world, waiting)) == 2
        world.workers[silent].fault = WorkerFault.NONE
        await world.wait_phase(first.job_id, JobPhase.COMPLETED)

    async def test_a_silent_worker_blocks_its_own_tasks(self, world):
        """
        Guards against a second run of what a silent worker still runs, as
        the previous owner said.
        """
        await started_world(world)
        plan = world.plan(WHOLE_WORKER, work_ms=6_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        silent = sorted(workers_of(world, plan))[0]
        world.workers[silent].fault = WorkerFault.CUT
        world.owner().client.fault = StoreFault.REFUSE
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def test_ends_that_the_store_lacks_are_handed_over(self, world):
        """
        Guards against a second run of a task whose end only the previous
        owner and a worker know, which does not answer any more.
        """
        await started_world(world)
        plan = world.plan(WHOLE_WORKER, work_ms=1_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        silent = sorted(workers_of(world, plan))[0]
        world.owner().client.fault = StoreFault.REFUSE
        await world.run_for(1_200)
        assert len(world.checker.done) == 4
        world.workers[silent].fault = WorkerFault.CUT
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 4

    async def test_a_release_that_fails_is_told_to_others(self, world):
        """
        Guards against a lease that has to expire because a leaving owner
        could not write its release.
        """
        await started_world(world)
        leaving = world.owner()
        leaving.client.fault = StoreFault.REFUSE
        await leaving.leave()
        await world.run_for(900)
        assert world.owner() not in (None, leaving)

    async def test_silent_workers_stay_recorded_over_two_changes(self, world):
        """
        Guards against a second run after two changes of the owner: the first
        successor must not forget a worker that it has not heard.
        """
        await started_world(world)
        plan = world.plan(TWO_WORKERS, work_ms=9_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        silent = sorted(workers_of(world, plan))[0]
        world.workers[silent].fault = WorkerFault.CUT
        world.kill(world.owner())
        await world.run_for(700)
        world.kill(world.owner())
        await world.wait_phase(
            plan.job_id,
            JobPhase.COMPLETED,
            limit_ms=40_000,
        )

    async def test_an_emptied_worker_that_left_blocks_nothing(self, world):
        """
        Guards against waiting for a worker that was empty when it left.
        """
        await started_world(world)
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
class TestLapse:
    """
    What was ended because a worker lapsed is not started there later.
    """

    async def test_starts_that_waited_are_dropped(self, world):
        """
        Guards against starts that wait for a channel to a silent worker and
        are sent when it answers again, after their runs were given up.
        """
        await started_world(world)
        stopped = world.plan(
            StepPlan(task_count=2, processor_millis=1_000),
            work_ms=60_000,
        )
        await world.any_node().entry.submit(stopped)
        await world.run_for(300)
        silent = sorted(workers_of(world, stopped))[0]
        world.workers[silent].fault = WorkerFault.CUT
        await world.any_node().entry.cancel(stopped.job_id)
        plan = world.plan(
            StepPlan(task_count=6, processor_millis=1_000),
            work_ms=20_000,
        )
        await world.any_node().entry.submit(plan)
        while not world.has_logged('worker_lapsed'):
            await world.run_for(50)
        await world.run_for(900)
        world.workers[silent].fault = WorkerFault.NONE
        await world.run_for(3_000)
        assert len(world.checker.running) == 6
