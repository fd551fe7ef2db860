"""
Tests of claims of a shard whose owner does not respond any more.
"""

import asyncio
import statistics

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier.fleet import OwnershipTimings
from hawthornpier_standin.fleet import StoreFault

# The mean of the claim delays is below this, with hosts of equal size.
CLAIM_DELAY_MS = 400


def new_world():
    return World(node_count=3)


@virtual_tests(new_world)
class TestExpiredLease:
    """
    The other processes notice the end of a lease.
    """

    async def test_a_silent_owner_is_replaced_soon_after_its_lease(self, world):
        """
        Guards against leases of workers that expire because the claim waits
        for the next regular read of the owner row.
        """
        await world.wait_first_owner()
        spans_ms = [await self._takeover_ms(world) for _ in range(8)]
        limit_ms = OwnershipTimings().lease_ms + CLAIM_DELAY_MS
        assert statistics.mean(spans_ms) < limit_ms

    async def _takeover_ms(self, world):
        """
        Return how long it takes to replace an owner that becomes silent.
        """
        owner = world.owner()
        await world.run_for(world.rng.random() * 1_000)
        owner.is_frozen = True
        epoch = owner.cycle.epoch
        frozen_s = asyncio.get_running_loop().time()
        others = [node for node in world.nodes.values() if node is not owner]
        await world.wait_until(
            lambda: any(node.cycle.epoch > epoch for node in others)
        )
        span_s = asyncio.get_running_loop().time() - frozen_s
        owner.is_frozen = False
        await world.run_for(5_000)
        return span_s * 1_000

    async def test_the_owner_row_is_watched_through_an_outage(self, world):
        """
        Guards against processes whose watch of the owner row fails while the
        store is down.
        """
        await world.wait_first_owner()
        world.break_store(StoreFault.REFUSE)
        await world.run_for(4_000)
        world.break_store(StoreFault.NONE)
        await world.run_for(2_000)
        assert not world.has_logged('part_failed')
