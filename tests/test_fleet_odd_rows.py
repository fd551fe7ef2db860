"""
Tests of rows of the store that another writer has left.
"""

from fake_store import virtual_tests
from fleet_world import REGISTRY, World

from hawthornpier.steps import JobPhase, StepPlan

DEEP = b'{"unknown":%s1%s}' % (b'[' * 5_000, b']' * 5_000)
SHORT = StepPlan(task_count=16, processor_millis=1_000)


@virtual_tests(World)
class TestRegistry:
    """
    An unreadable entry names no worker; the other entries hold.
    """

    options = {'worker_count': 1}

    async def test_an_unreadable_entry_of_a_known_worker(self, world):
        """
        Guards against a worker that counts as gone although it is registered.
        """
        plan = world.plan(SHORT)
        await world.submit(plan)
        world.silent_workers.update(world.workers.values())
        world.store.remove(REGISTRY, 'w0')
        await world.run_for(1_000)
        world.store.put(REGISTRY, 'w0', DEEP)
        await world.run_for(1_000)
        world.store.discard_changes()
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        await world.run_for(3_000)
        later = world.plan(SHORT)
        await world.any_node().entry.submit(later)
        await world.wait_phase(later.job_id, JobPhase.COMPLETED)
        assert world.has_logged('worker_entry_unreadable')
