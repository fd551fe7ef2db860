"""
Tests of the processes to which an owner may move its shard.
"""

import pytest
from fake_store import virtual_tests
from fleet_world import World
from test_fleet_succession import (
    MOVE_LIMIT_MS,
    card,
    names,
    small_owner_world,
    start_long_running,
    status,
)

from hawthornpier.fleet._intake import Intake
from hawthornpier.fleet._succession import (
    Candidate,
    OwnerStatus,
    find_successors,
)
from hawthornpier.ports import StoreError
from hawthornpier_standin import fleet as standin

# How often it is checked whether the shard is served, every 100 ms, and how
# often it has to be.
SAMPLE_COUNT = 1_200
LEAST_SERVED = 1_140


@virtual_tests(small_owner_world)
class TestHiddenHosts:
    """
    Hosts that cannot take over do not hide those that can.
    """

    async def test_an_able_host_behind_four_others(self, world):
        """
        Guards against a small owner that keeps the shard, because the first
        larger hosts in touch with it cannot read the store.
        """
        await self._check_move(world, count=4, cores=4)

    async def test_an_able_host_behind_a_larger_one(self, world):
        """
        Guards against a small owner that keeps the shard, because the largest
        host in touch with it cannot read the store.
        """
        await self._check_move(world, count=1, cores=8)

    async def _check_move(self, world, *, count, cores):
        await start_long_running(world)
        for number in range(count):
            stuck = world.start_node(f'a{number}', cores=cores)
            await world.run_for(300)
            stuck.client.fault = standin.StoreFault.SILENT
        able = world.start_node('z', cores=4)
        await world.run_for(3 * MOVE_LIMIT_MS)
        assert world.owner() is able

    async def test_a_registered_host_without_the_store(self, world):
        """
        Guards against a successor that cannot claim the shard.
        """
        await start_long_running(world)
        owner = world.owner()
        large = world.start_node('large', cores=4)
        await world.run_for(300)
        large.client.fault = standin.StoreFault.SILENT
        assert any(
            each.card == large.card for each in owner._peer_table.candidates()
        )
        await world.run_for(2 * MOVE_LIMIT_MS)
        assert world.owner() is owner


class TestOddSizes:
    """
    Sizes of hosts that are odd.
    """

    @pytest.mark.parametrize('cores', [0, -1])
    def test_hosts_of_equal_size_do_not_alternate(self, cores):
        """
        Guards against a shard that moves all the time.
        """
        assert names(status(cores), (card('same', cores), 9_000)) == []

    def test_a_size_that_cannot_be_true(self):
        """
        Guards against one wrong entry that hides the large hosts.
        """
        found = find_successors(
            OwnerStatus(
                card=card('own', 0.5), worker_count=176, tenure_ms=9_000
            ),
            [
                Candidate(card=card('large', 4), contact_ms=9_000),
                Candidate(card=card('odd', 1e30, 1e30), contact_ms=9_000),
            ],
        )
        assert 'large' in [each.process_id for each in found]


def zero_world():
    return World(node_count=2, worker_count=2, cores=0)


@virtual_tests(zero_world)
class TestZeroSizes:
    """
    An installation whose hosts all give their size as zero.
    """

    async def test_there_is_an_owner(self, world):
        """
        Guards against a shard that no process claims.
        """
        await world.run_for(10_000)
        assert world.owner() is not None


def claim_world():
    return World(node_count=2, worker_count=2)


@virtual_tests(claim_world)
class TestLeaving:
    """
    A process that is being stopped.
    """

    async def test_a_delayed_claim_of_a_leaving_process(self, world):
        """
        Guards against a process that claims the shard after it has begun to
        leave, and keeps it until it ends.
        """
        await world.wait_first_owner()
        owner = world.owner()
        other = next(each for each in world.nodes.values() if each is not owner)
        await owner.leave()
        world.kill(owner)
        # It has seen the vacancy, and waits for its turn to claim.
        await world.run_for(20)
        assert other.cycle.owner is None
        await other.leave()
        await world.run_for(3_000)
        assert other.cycle.owner is None


@virtual_tests(small_owner_world)
class TestFailingSuccessor:
    """
    A larger host that claims the shard but cannot load it.
    """

    async def test_a_successor_that_cannot_read_the_rows(self, world):
        """
        Guards against a shard that goes again and again to a host on which it
        has no owner that has loaded it.
        """
        assert (
            await self._served_count(world, StoreError('timed out'))
            > LEAST_SERVED
        )

    async def test_a_successor_with_an_unexpected_error(self, world):
        """
        Guards against a process that claims the shard over and over.
        """
        assert await self._served_count(world, KeyError('w0')) > LEAST_SERVED

    async def _served_count(self, world, error):
        await start_long_running(world)
        large = world.start_node('large', cores=4)
        original = Intake.load

        async def load(intake):
            if intake._store is large.context.store:
                raise error
            return await original(intake)

        Intake.load = load
        served = 0
        try:
            for _ in range(SAMPLE_COUNT):
                await world.run_for(100)
                served += world.owner() is not None
        finally:
            Intake.load = original
        return served
