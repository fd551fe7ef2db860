"""
Tests of workers whose capacity shrinks and grows while they run.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import HEARTBEAT_MS, World

from hawthornpier.steps import StepPlan

TASK = StepPlan(task_count=1, processor_millis=1_000)
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
        for worker in world.workers.values():
            worker.checks_capacity = False
        await world.run_for(1_500)
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
