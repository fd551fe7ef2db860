"""
Tests of jobs that are removed once their state need not be readable any more.
"""

import asyncio
import dataclasses

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.steps import JobPhase

STATUS_MS = 4_000


class SlowReplies:
    """
    A client of the store whose replies to reads are late.
    """

    def __init__(self, client):
        self._client = client

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def read(self, *arguments, **options):
        page = await self._client.read(*arguments, **options)
        await asyncio.sleep(0.9)
        return page


class ExpiryWorld(World):
    """
    An installation in which ended jobs are removed after seconds.
    """

    def prepare(self, context):
        bounds = dataclasses.replace(context.bounds, status_ms=STATUS_MS)
        return dataclasses.replace(
            context, bounds=bounds, store=SlowReplies(context.store)
        )


@virtual_tests(ExpiryWorld)
class TestRemoval:
    """
    A job that has ended and was removed stays so.
    """

    async def test_a_read_that_began_before_the_removal(self, world):
        """
        Guards against a job that runs again, as it was read before its removal.
        """
        await world.run_for(8_000)
        plan = world.plan()
        await world.any_node().entry.submit(plan)
        await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        for _ in range(150):
            world.store.discard_changes()
            await world.run_for(100)
        assert world.checker.started_count == 4
