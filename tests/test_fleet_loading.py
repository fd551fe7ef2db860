"""
Tests of an owner that loads its shard.
"""

import asyncio
import dataclasses

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import OwnershipTimings

LOAD_S = 2 * OwnershipTimings().lease_ms / 1000


class SlowProgress:
    """
    A client of the store that takes long to read the progress of all jobs.
    """

    def __init__(self, client):
        self._client = client

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def read(self, table, part, **options):
        page = await self._client.read(table, part, **options)
        if table == 'progress':
            await asyncio.sleep(LOAD_S)
        return page


class LoadingWorld(World):
    """
    An installation whose owner takes longer to load than its lease lasts.
    """

    def prepare(self, context):
        return dataclasses.replace(context, store=SlowProgress(context.store))


@virtual_tests(LoadingWorld)
class TestLoading:
    """
    An owner keeps its claim while it loads the shard.
    """

    async def test_the_first_owner_ends_its_loading(self, world):
        """
        Guards against owners that replace each other before they have loaded.
        """
        await world.run_for(4_000 * LOAD_S)
        claims = [kind for _, kind, _ in world.log_lines].count('shard_claimed')
        assert claims == 1
        assert world.owner() is not None
