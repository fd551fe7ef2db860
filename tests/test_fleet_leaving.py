"""
Tests of errors while a process prepares to end.
"""

import asyncio

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import JobPhase, StepPlan


async def cancelled_call(*arguments, **options):
    call = asyncio.get_running_loop().create_future()
    call.cancel()
    await call


async def failing_call(*arguments, **options):
    raise ValueError('unexpected')


@virtual_tests(World)
class TestFailedRelease:
    """
    An owner gives up the shard, whatever its last write ends with.
    """

    async def test_unexpected_error(self, world):
        """
        Guards against a process that ends without answering its callers.
        """
        await self._check(world, failing_call)

    async def test_cancelled_call(self, world):
        """
        Guards against the same by a call that a library cancels.
        """
        await self._check(world, cancelled_call)

    async def _check(self, world, transact):
        await world.wait_first_owner()
        plan = world.plan(
            StepPlan(task_count=6, processor_millis=1_000), work_ms=3_000
        )
        owner = world.owner()
        await owner.entry.submit(plan)
        await world.run_for(300)
        owner.client.transact = transact
        await owner.leave()
        assert owner.presence().given_up_epoch == 1
        await world.run_for(1_000)
        assert world.owner() not in {None, owner}
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == 6
