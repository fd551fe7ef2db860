"""
Tests of who owns the shard among hosts of two sizes.

The environment variables of ``test_fleet_faults`` set the seeds.
"""

import os

import pytest
from fleet_hosts import LARGE, SMALL
from host_time import run_on_hosts
from observed_hosts import IdleWorld, simulate_workers_coarsely

FIRST_SEED = int(os.environ.get('SOAK_SEED', '1'))
SEED_COUNT = int(os.environ.get('SOAK_COUNT', '20'))
SEEDS = range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
START_SPREAD_MS = 3_000
# By when the larger hosts have been in touch with the owner for long enough.
IN_TOUCH_MS = 5_000
CALM_MS = 2_000
TICK_MS = 500.0


@pytest.fixture(autouse=True)
def coarse_workers(monkeypatch):
    simulate_workers_coarsely(monkeypatch, TICK_MS)


class TestClaimsOfManyHosts:
    """
    Of thirty hosts, a large one owns the shard once all are in touch.
    """

    @pytest.mark.parametrize('seed', SEEDS)
    def test_a_large_host_owns_after_starts_in_any_order(self, seed):
        """
        Guards against a race of the first second that decides who owns.
        """

        async def scenario():
            world = IdleWorld(seed=seed)
            sizes = {f'large-{number}': LARGE for number in range(12)}
            sizes.update({f'small-{number}': SMALL for number in range(18)})
            for delay_ms, name in _start_delays(world.rng, sizes):
                await world.run_for(delay_ms - world.clock.monotonic_ms())
                world.start_node(name, **sizes[name])
            await world.run_for(IN_TOUCH_MS)
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())

    def test_large_hosts_that_start_later_get_the_shard(self):
        """
        Guards against a small owner that was the first to start.
        """

        async def scenario():
            world = IdleWorld()
            world.start_hosts('small', 18, SMALL)
            await world.run_for(2_000)
            world.start_hosts('large', 12, LARGE)
            await world.run_for(IN_TOUCH_MS)
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())

    def test_the_owner_does_not_flap_while_large_hosts_restart(self):
        """
        Guards against a shard that moves with each host that comes or goes.
        """

        async def scenario():
            world = IdleWorld()
            world.start_hosts('large', 12, LARGE)
            world.start_hosts('small', 18, SMALL)
            await world.run_for(3_000)
            for node in world.live_hosts('large'):
                world.kill(node)
                await world.run_for(700)
                world.start_node(node.card.address, **LARGE)
                await world.run_for(300)
            returned_ms = world.clock.monotonic_ms()
            await world.run_for(IN_TOUCH_MS)
            assert len(world.changes_since(returned_ms)) <= 1
            await _check_owner_stays_large(world)

        run_on_hosts(scenario())


class TestNoLargerHost:
    """
    The shard stays where it is while no larger host is in touch.
    """

    def test_a_small_owner_stays_while_larger_hosts_are_gone(self):
        """
        Guards against a shard that is given up to hosts that have ended, but
        are still registered.
        """

        async def scenario():
            world = IdleWorld()
            world.start_hosts('large', 2, LARGE)
            world.start_hosts('small', 3, SMALL)
            await world.run_for(2_500)
            for node in world.live_hosts('large'):
                world.kill(node)
            await world.run_for(5_000)
            await _check_owner_stays(world, 'small')

        run_on_hosts(scenario())

    def test_a_small_owner_stays_while_a_larger_host_is_out_of_touch(self):
        """
        Guards against a shard that is given up to a host that reaches the
        store, but not the owner.
        """

        async def scenario():
            world = IdleWorld()
            world.start_hosts('small', 3, SMALL)
            await world.run_for(2_500)
            large = world.start_node('large-0', **LARGE)
            large.is_partitioned = True
            await world.run_for(2_000)
            await _check_owner_stays(world, 'small')

        run_on_hosts(scenario())

    @pytest.mark.parametrize('size', [LARGE, SMALL], ids=['large', 'small'])
    def test_nothing_moves_between_hosts_of_the_same_size(self, size):
        """
        Guards against a shard that moves without a reason.
        """

        async def scenario():
            world = IdleWorld()
            for number in range(6):
                world.start_node(f'same-{number}', **size)
                await world.run_for(500)
            await _check_owner_stays(world, 'same')
            assert len(world.history) == 1

        run_on_hosts(scenario())


def _start_delays(rng, names):
    """
    Return after how long each host starts; the large ones may be the last.
    """
    first_ms = {
        'large': rng.uniform(0, START_SPREAD_MS),
        'small': rng.uniform(0, START_SPREAD_MS / 3),
    }
    return sorted(
        (rng.uniform(first_ms[name.split('-')[0]], START_SPREAD_MS), name)
        for name in names
    )


async def _check_owner_stays_large(world):
    await _check_owner_stays(world, 'large')


async def _check_owner_stays(world, size):
    since_ms = world.clock.monotonic_ms()
    assert world.owner_size() == size
    await world.run_for(CALM_MS)
    assert world.owner_size() == size
    assert not world.changes_since(since_ms)
    assert world.most_owners == 1
    world.finish()
