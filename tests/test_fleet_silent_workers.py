"""
Tests of tasks that are placed on workers which do not reply to orders.
"""

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import WorkerFault

# They share a worker if they can.
PACKED = StepPlan(
    task_count=8, processor_millis=1_000, is_lasting=True, image='a'
)


@virtual_tests(World)
class TestQueuedStarts:
    """
    Starts that were not sent do not wait for a worker that does not reply.
    """

    options = {'worker_count': 2}

    async def test_starts_behind_one_without_a_reply_go_elsewhere(self, world):
        """
        Guards against long-running tasks that wait for each other's timeouts.
        """
        await world.wait_first_owner()
        worker = self._silence_all_but_one(world)
        await world.any_node().entry.submit(world.plan(PACKED))
        await world.run_for(2_500)
        running = [
            run for run, where in world.checker.running.items() if where == 'w1'
        ]
        assert len(running) >= 6, worker.entry.worker_id

    async def test_the_others_follow_when_their_starts_are_withdrawn(
        self, world
    ):
        """
        Guards against tasks that are not started again after a withdrawal.
        """
        await world.wait_first_owner()
        self._silence_all_but_one(world)
        await world.any_node().entry.submit(world.plan(PACKED))
        await world.run_for(6_000)
        assert len(world.checker.running) == 8

    def _silence_all_but_one(self, world):
        worker = world.workers['w0']
        worker.fault = WorkerFault.START_LATE
        worker.late_delay_ms = 60_000
        return worker
