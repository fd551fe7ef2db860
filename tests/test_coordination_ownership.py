"""
Tests of the process lease and of shard ownership.
"""

from collections.abc import Awaitable, Callable

from fake_store import FakeStore
from test_coordination_world import Node, World
from virtual_time import run_virtual

from hawthornpier.coordination import LeaseTimings, OwnershipTimings
from hawthornpier.messages import Row


def run_world(
    scenario: Callable[[World], Awaitable[None]],
    **options: object,
) -> list[str]:
    """
    Run the scenario in a new world and return the violated invariants.
    """

    async def run() -> list[str]:
        world = World(**options)
        await scenario(world)
        world.check_commits()
        return world.violations

    return run_virtual(run())


def owned_count(node: Node) -> int:
    """
    Return how many shards the process owns.
    """
    return len(node.ownership.owned)


class TestShardOwnership:
    """
    Each shard has one owner, and gets a new one.
    """

    def test_shards_are_shared_evenly_and_taken_over(self) -> None:
        """
        All shards are owned soon after the start, and again after a crash.
        """

        async def scenario(world: World) -> None:
            first, second = world.start('p0'), world.start('p1')
            await world.run_for(3_000)
            world.check_all_owned()
            assert [owned_count(first), owned_count(second)] == [2, 2]
            world.kill(first)
            await world.run_for(6_000)
            world.check_all_owned()
            assert owned_count(second) == 4

        assert not run_world(scenario)

    def test_a_paused_owner_is_deposed_and_knows_it(self) -> None:
        """
        A process that was paused past its lease never acts on it again.
        """

        async def scenario(world: World) -> None:
            first, second = world.start('p0'), world.start('p1')
            await world.run_for(3_000)
            incarnation = first.lease.incarnation
            first.clock.pause()
            await world.run_for(6_000)
            assert owned_count(second) == 4
            assert not first.lease.is_held
            first.clock.resume()
            await world.run_for(2_000)
            assert first.lease.is_held
            assert first.lease.incarnation != incarnation
            regained = first.ownership.owned.values()
            assert all(owned.epoch > 1 for owned in regained)

        assert not run_world(scenario)

    def test_an_outage_alone_moves_no_shard(self) -> None:
        """
        After an outage of the store the owners are the same as before.
        """

        async def scenario(world: World) -> None:
            nodes = [world.start(f'p{number}') for number in range(3)]
            await world.run_for(3_000)
            before = [dict(node.ownership.owned) for node in nodes]
            world.store.is_out = True
            await world.run_for(60_000)
            assert all(node.lease.store_is_out for node in nodes)
            assert all(node.lease.store_age_ms > 55_000 for node in nodes)
            assert not any(node.lease.is_held for node in nodes)
            world.store.is_out = False
            await world.run_for(10_000)
            assert not any(node.lease.store_is_out for node in nodes)
            assert [node.ownership.owned for node in nodes] == before

        assert not run_world(scenario)

    def test_a_hand_over_without_answer_strands_no_shard(self) -> None:
        """
        A shard whose hand-over was lost has an owner again.
        """

        async def scenario(world: World) -> None:
            home = world.start('p0', 'ipoh')
            away = world.start('p1', 'melaka')
            await world.run_for(3_000)
            home.kill()
            await world.run_for(12_000)
            assert owned_count(away) == 4
            away.port.lost_percent = 100
            assert not await away.ownership.hand_over('ipoh/0', 'p2')
            await world.recover()

        assert not run_world(scenario)

    def test_foreign_shards_go_home(self) -> None:
        """
        Shards leave a dead domain after the grace time, and come back.
        """

        async def scenario(world: World) -> None:
            home = world.start('p0', 'ipoh')
            away = world.start('p1', 'melaka')
            await world.run_for(3_000)
            world.kill(home)
            await world.run_for(6_000)
            assert owned_count(away) == 0
            await world.run_for(8_000)
            assert owned_count(away) == 4
            back = world.start('p2', 'ipoh')
            await world.run_for(30_000)
            assert owned_count(back) == 4

        assert not run_world(scenario)

    def test_a_new_process_gets_its_share_one_by_one(self) -> None:
        """
        Rebalancing moves one shard per interval, and stops when it is fair.
        """

        async def scenario(world: World) -> None:
            first = world.start('p0')
            await world.run_for(3_000)
            second = world.start('p1')
            counts = []
            for _ in range(30):
                await world.run_for(1_000)
                counts.append(owned_count(second))
            assert counts[:2] == [0, 0]
            assert counts[-1] == owned_count(first) == 2
            assert counts == sorted(counts)

        assert not run_world(scenario)

    def test_a_graceful_stop_leaves_no_gap(self) -> None:
        """
        A process that stops hands over its shards within a second or so.
        """

        async def scenario(world: World) -> None:
            first, second = world.start('p0'), world.start('p1')
            await world.run_for(3_000)
            await world.stop(first)
            await world.run_for(1_500)
            world.check_all_owned()
            assert owned_count(second) == 4
            assert 'process/p0' not in world.store.rows
            epochs = {owned.epoch for owned in second.ownership.owned.values()}
            assert epochs == {1, 2}

        assert not run_world(scenario)

    def test_a_restart_with_the_same_id_waits(self) -> None:
        """
        A second process with the same id never shares the lease.
        """

        async def scenario(world: World) -> None:
            first = world.start('p0')
            await world.run_for(2_000)
            twin = world.start('p0')
            await world.run_for(8_000)
            assert twin.lease.version is None
            world.kill(first)
            await world.run_for(8_000)
            assert twin.lease.is_held
            assert owned_count(twin) == 4

        assert not run_world(scenario)


class TestPlantedFaults:
    """
    The checks of the invariants fail when the invariants do not hold.
    """

    def test_two_holders_are_noticed(self) -> None:
        """
        The check fails for a holder that trusts its lease for too long.
        """

        async def scenario(world: World) -> None:
            trusting = LeaseTimings(lease_ms=20_000, max_gap_ms=2_000)
            first = world.start('p0', lease_timings=trusting)
            await world.run_for(3_000)
            world.start('p1')
            first.port.is_cut_off = True
            await world.run_for(8_000)

        assert 'is held by' in run_world(scenario)[0]

    def test_a_clock_beyond_the_clock_error_is_noticed(self) -> None:
        """
        The check fails when clocks differ by more than the clock error.
        """

        async def scenario(world: World) -> None:
            first = world.start('p0', rate=0.5)
            await world.run_for(5_000)
            world.start('p1')
            await world.run_for(2_000)
            first.port.is_cut_off = True
            await world.run_for(8_000)

        assert 'is held by' in run_world(scenario)[0]

    def test_a_commit_of_a_deposed_owner_is_noticed(self) -> None:
        """
        The check of writers fails without the store's checks.
        """

        async def scenario(world: World) -> None:
            first = world.start('p0')
            await world.run_for(3_000)
            world.start('p1')
            await world.run_for(1_000)
            first.clock.pause()
            await world.run_for(6_000)
            first.clock.resume()
            await world.run_for(6_000)

        store = FakeStore(ignores_checks=True)
        violations = run_world(scenario, store=store)
        assert 'deposed owner' in ' '.join(violations)

    def test_an_epoch_that_does_not_grow_is_noticed(self) -> None:
        """
        The check of epochs fails when claims from old rows are applied.
        """

        async def scenario(world: World) -> None:
            world.start('p0')
            await world.run_for(5_000)
            second = world.start('p1')
            scan = second.port.scan

            async def scan_old_rows(prefix: str) -> tuple[Row, ...]:
                return () if prefix == 'owner/' else await scan(prefix)

            second.port.scan = scan_old_rows
            await world.run_for(5_000)

        store = FakeStore(ignores_checks=True)
        assert 'again' in ' '.join(run_world(scenario, store=store))

    def test_a_commit_that_is_applied_twice_is_noticed(self) -> None:
        """
        The check fails for a store that forgets ids, without a marker row.
        """

        async def scenario(world: World) -> None:
            first = world.start('p0')
            first.port.lost_percent = 30
            await world.run_for(20_000)

        store = FakeStore(forgets_ids=True)
        assert 'applied 2' in ' '.join(run_world(scenario, store=store))

    def test_a_shard_without_owner_is_noticed(self) -> None:
        """
        The check fails when no process may claim the shards in time.
        """

        async def scenario(world: World) -> None:
            world.start('p0', 'melaka')
            await world.run_for(3_000)
            await world.run_for(8_000)
            world.check_all_owned()

        timings = OwnershipTimings(foreign_grace_ms=3_600_000)
        violations = run_world(scenario, ownership_timings=timings)
        assert 'is free for' in violations[0]
