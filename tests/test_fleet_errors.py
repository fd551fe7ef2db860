"""
Tests of errors that no code expects.
"""

import asyncio

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import JobPhase, StepPlan

LONG = StepPlan(task_count=6, processor_millis=1_000)


async def cancelled_call(*arguments, **options):
    call = asyncio.get_running_loop().create_future()
    call.cancel()
    await call


@virtual_tests(World)
class TestUnexpectedErrors:
    """
    An unexpected error or an unreadable row ends no process.
    """

    async def test_an_unreadable_list_of_workers(self, world):
        """
        Guards against processes that end one by one as they become the owner.

        Nothing may be started twice either, although the new owner does not
        know from the store which workers have runs.
        """
        await world.wait_first_owner()
        plan = world.plan(LONG, work_ms=5_000)
        await world.any_node().entry.submit(plan)
        await world.run_for(300)
        world.kill(world.owner())
        world.store.put('fleet', 'workers', b'\xff{', part='s0')
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == LONG.task_count

    async def test_a_cancelled_call_in_a_part_of_a_process(self, world):
        """
        Guards against a process that ends because a library cancels a call.

        The cancellation is not that of the part, which has to go on.
        """
        await world.wait_first_owner()
        node = world.any_node()
        read_changes = node.client.changes
        node.client.changes = cancelled_call
        await world.run_for(3_000)
        node.client.changes = read_changes
        world.configure(3, queues=('orders', 'more'))
        await world.run_for(3_000)
        assert not any(task.done() for task in node._tasks)
        assert node.configuration.version == 3

    async def test_a_cancelled_call_in_a_part_of_the_owner(self, world):
        """
        Guards against an owner that goes on without one of its parts.
        """
        await world.wait_first_owner()
        node = world.owner()
        read_changes = node.client.changes
        node.client.changes = cancelled_call
        await world.run_for(3_000)
        node.client.changes = read_changes
        world.add_worker('w9')
        await world.run_for(8_000)
        assert 'w9' in world.owner().local_shard().workers

    async def test_an_error_in_a_part_of_a_process(self, world):
        """
        Guards against a process that ends with one of its parts.

        The rows of the directory are unreadable as text, and the operator's
        configuration raises an error that no code expects.
        """
        await world.wait_first_owner()
        world.store.put('op', 'config', b'[]')
        world.store.put('members', 'n9', b'\xff')
        await world.run_for(2_000)
        world.configure(3, queues=('orders', 'more'))
        await world.run_for(3_000)
        plan = world.plan()
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        versions = {node.configuration.version for node in world.nodes.values()}
        assert versions == {3}
