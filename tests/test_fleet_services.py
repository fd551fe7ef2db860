"""
Tests of services that share the scheduler but have workers of their own.
"""

import dataclasses

from fake_store import virtual_tests
from fleet_world import QUEUE, World

from hawthornpier.steps import StepPlan

OTHER_QUEUE = dataclasses.replace(QUEUE, name='others', service='other')
FILLS_A_WORKER = StepPlan(task_count=1, processor_millis=8_000, is_lasting=True)


@virtual_tests(World)
class TestServices:
    """
    The room of one service does not affect another one.
    """

    options = {'worker_count': 1}

    async def test_a_full_service_does_not_hold_back_another(self, world):
        """
        Guards against steps that are skipped because workers of another
        service are full.
        """
        world.add_worker('other', service='other')
        await world.wait_first_owner()
        for queue in (QUEUE, QUEUE, OTHER_QUEUE):
            job = world.plan(FILLS_A_WORKER, queue=queue)
            await world.any_node().entry.submit(job)
        await world.run_for(3_000)
        assert set(world.checker.running.values()) == {'w0', 'other'}
