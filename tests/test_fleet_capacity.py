"""
Tests of workers whose capacity shrinks and grows while they run.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import HEARTBEAT_MS, World

from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import StoreFault

TASK = StepPlan(task_count=1, processor_millis=1_000)
TWO_STEPS = (
    TASK,
    StepPlan(task_count=4, processor_millis=1_000, after=(0,)),
)
SETTLE_MS = HEARTBEAT_MS + 1_000


def resize(world, millis):
    for worker in world.workers.values():
        worker.entry = dataclasses.replace(
            worker.entry, processor_millis=millis
        )


@virtual_tests(World)
class TestCapacity:
    """
    Starts keep to the capacity that a worker has reported last.
    """

    options = {'worker_count': 1}

    async def test_no_start_exceeds_a_capacity_that_has_shrunk(self, world):
        """
        Guards against overload of a worker that accepts every start.

        Its runs go on, and count until they have ended.
        """
        await self.start_unguarded(world)
        await self.submit(world, 4)
        await world.run_for(1_000)
        assert len(world.checker.running) == 4
        resize(world, 4_500)
        await world.run_for(SETTLE_MS)
        await self.submit(world, 4)
        await world.run_for(SETTLE_MS)
        assert len(world.checker.running) == 4
        resize(world, 6_500)
        await world.run_for(SETTLE_MS)
        assert len(world.checker.running) == 6

    async def submit(self, world, count):
        for _ in range(count):
            plan = world.plan(TASK, work_ms=60_000)
            await world.any_node().entry.submit(plan)

    async def test_no_start_relies_on_an_old_capacity(self, world):
        """
        Guards against overload of a worker that shrank while the store was out.
        """
        await self.start_unguarded(world)
        await self.lose_store(world)
        resize(world, 2_500)
        await world.run_for(9_000)
        assert world.checker.started_count == 1
        world.break_store(StoreFault.NONE)
        await world.run_for(SETTLE_MS)
        assert len(world.checker.running) == 2

    async def test_workers_that_check_their_capacity_start_tasks(self, world):
        """
        Guards against tasks that wait for the store without a need.
        """
        await world.run_for(1_500)
        await self.lose_store(world)
        await world.run_for(9_000)
        assert world.checker.started_count == 5

    async def start_unguarded(self, world):
        for worker in world.workers.values():
            worker.checks_capacity = False
        world.configure(2, unguarded=('desk',))
        await world.run_for(1_500)

    async def lose_store(self, world):
        plan = world.plan(*TWO_STEPS, work_ms=8_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(1_000)
        world.break_store(StoreFault.REFUSE)
