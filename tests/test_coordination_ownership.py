"""
Tests of the process lease and of shard ownership.
"""

import asyncio

from test_coordination_world import World
from virtual_time import run_virtual


class TestShardOwnership:
    """
    Each shard has one owner, and gets a new one.
    """

    def test_shards_are_shared_evenly_and_taken_over(self) -> None:
        """
        All shards are owned soon after the start, and again after a crash.
        """

        async def scenario() -> None:
            async with asyncio.TaskGroup() as group:
                world = World(group, shard_count=4)
                for number in range(2):
                    world.start(f'p{number}', 'ipoh')
                await asyncio.sleep(3)
                world.assert_all_owned()
                counts = [len(node.ownership.owned) for node in world.nodes]
                assert counts == [2, 2]
                world.kill('p0')
                await asyncio.sleep(8)
                world.assert_all_owned()
                world.stop()

        run_virtual(scenario())
