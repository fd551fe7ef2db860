"""
Tests of callers' requests while the owner of the shard does not reply.
"""

import asyncio

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import JobPhase, StepPlan

# The time of the calls to the store for one state or one cancellation.
PROMPT_S = 0.1


@virtual_tests(World)
class TestSilentOwner:
    """
    Answers that the store has do not wait for the owner.
    """

    async def test_states_come_from_the_store(self, world):
        """
        Guards against a ready answer that each caller gets only once a request
        to the owner has timed out.
        """
        plan, node = await self._silence_owner(world)
        await node.entry.show(plan.job_id)
        shown, duration_s = await self._measure(node.entry.show(plan.job_id))
        assert shown in {JobPhase.QUEUED, JobPhase.RUNNING}
        assert duration_s < PROMPT_S

    async def test_cancellations_are_stored_at_once(self, world):
        """
        Guards against a cancellation that waits for the state of the job.
        """
        plan, node = await self._silence_owner(world)
        await node.entry.show(plan.job_id)
        _, duration_s = await self._measure(node.entry.cancel(plan.job_id))
        assert duration_s < PROMPT_S

    async def test_the_owner_is_asked_again(self, world):
        """
        Guards against further reads of the store, which are priced.
        """
        plan, node = await self._silence_owner(world)
        await node.entry.show(plan.job_id)
        world.owner().is_frozen = False
        await world.run_for(1_000)
        count = world.store.call_count
        await node.entry.show(plan.job_id)
        assert world.store.call_count - count < 2

    async def _silence_owner(self, world):
        await world.wait_first_owner()
        owner = world.owner()
        node = next(each for each in world.nodes.values() if each is not owner)
        plan = world.plan(StepPlan(task_count=1), work_ms=60_000)
        await node.entry.submit(plan)
        await world.run_for(500)
        owner.is_frozen = True
        return plan, node

    async def _measure(self, request):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        return await request, loop.time() - started_s
