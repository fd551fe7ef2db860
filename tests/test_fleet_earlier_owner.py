"""
Tests of a process that becomes the owner of the shard again.
"""

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier_standin.fleet import StoreFault


@virtual_tests(World)
class TestOwnerAgain:
    """
    A process that gave up the shard can be the owner again.
    """

    async def test_nobody_claims_the_shard_from_it(self, world):
        """
        Guards against a claim by what was reported of an earlier epoch.
        """
        await world.wait_first_owner()
        first = world.owner()
        first.client.fault = StoreFault.REFUSE
        await world.wait_until(lambda: world.owner() not in {None, first})
        await world.run_for(2_000)
        first.client.fault = StoreFault.NONE
        second = world.owner()
        others = set(world.nodes.values()) - {first, second}
        for node in others:
            node._ownership.is_candidate = False
        second.is_frozen = True
        await world.wait_until(lambda: first.local_shard() is not None)
        for node in others:
            node._ownership.is_candidate = True
        claim_count = self._claim_count(world)
        await world.run_for(4_000)
        assert self._claim_count(world) == claim_count
        assert first.local_shard() is not None

    def _claim_count(self, world):
        return sum(kind == 'shard_claimed' for _, kind, _ in world.log_lines)
