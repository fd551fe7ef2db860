"""
Tests of an owner that loses the store and other processes, but not all workers.
"""

from fake_store import virtual_tests
from fleet_world import HEARTBEAT_MS, World

from hawthornpier.steps import StepPlan
from hawthornpier_standin.fleet import StoreFault

ONE_TASK = StepPlan(task_count=1, processor_millis=1_000)
LONG_MS = 45_000


async def start_task(world):
    plan = world.plan(ONE_TASK, work_ms=100_000)
    await world.run_for(1_500)
    await world.any_node().entry.submit(plan)
    await world.wait_starts(1)
    return f'{plan.job_id}.0.0.0'


@virtual_tests(World)
class TestPartedOwner:
    """
    An owner that may have been replaced does not keep runs alive.
    """

    async def test_no_task_runs_on_both_sides_of_a_partition(self, world):
        """
        Guards against runs that a replaced owner keeps alive beyond its reach.

        The next owner cannot reach their workers, and starts the tasks again.
        """
        task = await start_task(world)
        world.part(world.owner(), world.workers_of(task))
        await world.wait_starts(2)
        await world.run_for(LONG_MS)
        assert world.checker.started_count == 2

    async def test_it_learns_of_the_next_owner_from_the_others(self, world):
        """
        Guards against an owner that goes on after only it has lost the store.
        """
        await start_task(world)
        first = world.owner()
        first.client.fault = StoreFault.SILENT
        await world.wait_until(lambda: first.local_shard() is None)
        await world.run_for(LONG_MS)
        assert world.checker.started_count == 1


@virtual_tests(World)
class TestOutage:
    """
    Work goes on while the store is out for everybody.
    """

    async def test_runs_survive_a_long_outage(self, world):
        """
        Guards against work that is lost because the store is unavailable.
        """
        await start_task(world)
        await self.check_survival(world)

    async def test_a_host_that_left_long_ago_does_not_matter(self, world):
        """
        Guards against work that is lost as soon as one host has been removed.
        """
        await start_task(world)
        owner = world.owner()
        left = next(each for each in world.nodes.values() if each is not owner)
        world.kill(left)
        await world.run_for(LONG_MS)
        await self.check_survival(world)

    async def check_survival(self, world):
        world.break_store(StoreFault.SILENT)
        await world.run_for(LONG_MS)
        world.break_store(StoreFault.NONE)
        await world.run_for(2 * HEARTBEAT_MS)
        assert len(world.checker.running) == 1
        assert world.checker.started_count == 1
