"""
Tests of the process lease and of shard ownership.
"""

import asyncio

from fake_store import virtual_tests
from test_coordination_world import World

from hawthornpier import coordination as co


def owned_count(node):
    return len(node.ownership.owned)


@virtual_tests(World)
class TestShardOwnership:
    """
    Each shard has one owner, and gets a new one.
    """

    async def test_shards_are_shared_evenly_and_taken_over(self, world):
        """
        All shards are owned soon after the start, and again after a crash.
        """
        first, second = world.start('p0'), world.start('p1')
        await world.run_for(3_000)
        world.check_all_owned()
        assert [owned_count(first), owned_count(second)] == [2, 2]
        world.kill(first)
        await world.run_for(6_000)
        world.check_all_owned()
        assert owned_count(second) == 4

    async def test_a_paused_owner_is_deposed_and_knows_it(self, world):
        """
        A process that was paused past its lease never acts on it again.
        """
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

    async def test_a_renewal_beats_a_takeover(self, world):
        """
        A takeover fails if the owner renewed its lease just before it.
        """
        first, second = world.start('p0'), world.start('p1')
        await world.run_for(3_000)
        owned = dict(first.ownership.owned)
        first.port.is_cut_off = True
        transact = second.port.transact

        async def renew_first(transaction):
            if 'process/p0' in transaction.deletes:
                first.port.is_cut_off = False
                await first.lease.transact((), ())
            return await transact(transaction)

        second.port.transact = renew_first
        await world.run_for(8_000)
        assert first.ownership.owned == owned
        assert not first.port.is_cut_off

    async def test_a_pause_during_a_renewal_extends_no_lease(self, world):
        """
        The lease counts from before the renewal was sent, not from the answer.
        """
        first, second = world.start('p0'), world.start('p1')
        await world.run_for(3_000)
        transact = first.port.transact

        async def pause(transaction):
            if transaction.transaction_id.startswith('lease.'):
                first.port.transact = transact
                first.clock.pause()
            return await transact(transaction)

        first.port.transact = pause
        incarnation = first.lease.incarnation
        await world.run_for(6_000)
        assert owned_count(second) == 4
        first.clock.resume()
        while first.lease.incarnation == incarnation:
            assert not first.lease.is_held
            await world.run_for(20)

    async def test_a_slow_reading_does_not_age_a_row(self, world):
        """
        An observer counts from after it has read a row, not from before.
        """
        first, second = world.start('p0'), world.start('p1')
        await world.run_for(3_000)
        scan = second.port.scan

        async def scan_slowly(prefix):
            await asyncio.sleep(1)
            if prefix != 'process/' or first.port.is_cut_off:
                return await scan(prefix)
            await first.lease.transact((), ())
            rows = await scan(prefix)
            first.port.is_cut_off = True
            return rows

        second.port.scan = scan_slowly
        await world.run_for(12_000)
        assert owned_count(second) == 4

    async def test_an_outage_alone_moves_no_shard(self, world):
        """
        After an outage of the store the owners are the same as before.
        """
        nodes = [world.start(f'p{number}') for number in range(3)]
        await world.run_for(3_000)
        before = [dict(node.ownership.owned) for node in nodes]
        world.store.is_out = True
        await world.run_for(60_000)
        assert all(node.lease.store_is_out for node in nodes)
        assert all(node.lease.store_age_ms > 55_000 for node in nodes)
        assert not any(node.lease.is_held for node in nodes)
        world.store.is_out = False
        # One process needs 2.5 s longer to reach the store again.
        nodes[0].port.is_cut_off = True
        await world.run_for(2_500)
        nodes[0].port.is_cut_off = False
        await world.run_for(10_000)
        assert not any(node.lease.store_is_out for node in nodes)
        assert [node.ownership.owned for node in nodes] == before

    async def test_a_hand_over_without_answer_strands_no_shard(self, world):
        """
        A shard whose hand-over was lost has an owner again.
        """
        home = world.start('p0', 'ipoh')
        away = world.start('p1', 'melaka')
        await world.run_for(3_000)
        home.kill()
        await world.run_for(12_000)
        assert owned_count(away) == 4
        away.port.lost_percent = 100
        assert not await away.ownership.hand_over('ipoh/0', 'p2')
        await world.recover()

    async def test_foreign_shards_go_home(self, world):
        """
        Shards leave a dead domain after the grace time, and come back.
        """
        world.ownership_timings = co.OwnershipTimings(foreign_grace_ms=5_000)
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

    async def test_a_new_process_gets_its_share_one_by_one(self, world):
        """
        Rebalancing moves one shard per interval, and stops when it is fair.
        """
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

    async def test_a_graceful_stop_leaves_no_gap(self, world):
        """
        A process that stops hands over its shards within a second or so.
        """
        first, second = world.start('p0'), world.start('p1')
        await world.run_for(3_000)
        await world.stop(first)
        await world.run_for(1_500)
        world.check_all_owned()
        assert owned_count(second) == 4
        assert 'process/p0' not in world.store.rows
        epochs = {owned.epoch for owned in second.ownership.owned.values()}
        assert epochs == {1, 2}

    async def test_the_last_process_of_a_domain_stops(self, world):
        """
        Its shards go to another domain without the grace time.
        """
        world.ownership_timings = co.OwnershipTimings(foreign_grace_ms=60_000)
        home = world.start('p0', 'ipoh')
        away = world.start('p1', 'melaka')
        await world.run_for(4_000)
        assert owned_count(home) == 4
        await world.stop(home)
        await world.run_for(1_500)
        assert owned_count(away) == 4

    async def test_a_lost_process_is_remembered(self, world):
        """
        A process that vanished without a shard still counts for majorities,
        until it is back.
        """
        nodes = [world.start(f'p{number}') for number in range(5)]
        await world.run_for(5_000)
        idle = min(nodes, key=owned_count)
        world.kill(idle)
        await world.run_for(6_000)
        assert f'process/{idle.process_id}' not in world.store.rows
        others = [node for node in nodes if node is not idle]
        for node in others:
            assert idle.process_id in node.directory.last_known_ids
        world.start(idle.process_id)
        await world.run_for(2_000)
        assert f'lost/{idle.process_id}' not in world.store.rows

    async def test_a_restart_with_the_same_id_waits(self, world):
        """
        A second process with the same id never shares the lease.
        """
        first = world.start('p0')
        await world.run_for(2_000)
        twin = world.start('p0')
        await world.run_for(8_000)
        assert twin.lease.version is None
        first.clock.pause()
        await world.run_for(8_000)
        assert twin.lease.is_held
        assert owned_count(twin) == 4
        first.clock.resume()
        await world.run_for(8_000)
        assert first.lease.version is None
        assert twin.lease.is_held


@virtual_tests(World)
class TestPlantedFaults:
    """
    The checks of the invariants fail when the invariants do not hold.
    """

    async def test_two_holders_are_noticed(self, world):
        """
        The check fails for a holder that trusts its lease for too long.
        """
        first = world.start('p0', lease_ms=20_000)
        await world.run_for(3_000)
        world.start('p1')
        first.port.is_cut_off = True
        await world.run_for(8_000)
        assert 'is held by' in world.take_violations()

    async def test_a_clock_beyond_the_clock_error_is_noticed(self, world):
        """
        The check fails when clocks differ by more than the clock error.
        """
        first = world.start('p0', rate=0.5)
        await world.run_for(5_000)
        world.start('p1')
        await world.run_for(2_000)
        first.port.is_cut_off = True
        await world.run_for(8_000)
        assert 'is held by' in world.take_violations()

    async def test_a_commit_of_a_deposed_owner_is_noticed(self, world):
        """
        The check of writers fails without the store's checks.
        """
        world.store.ignores_checks = True
        first = world.start('p0')
        await world.run_for(3_000)
        world.start('p1')
        await world.run_for(1_000)
        first.clock.pause()
        await world.run_for(6_000)
        first.clock.resume()
        await world.run_for(6_000)
        assert 'deposed owner' in world.take_violations()

    async def test_an_epoch_that_does_not_grow_is_noticed(self, world):
        """
        The check of epochs fails when claims from old rows are applied.
        """
        world.store.ignores_checks = True
        world.start('p0')
        await world.run_for(5_000)
        second = world.start('p1')
        scan = second.port.scan

        async def scan_old_rows(prefix):
            return () if prefix == 'owner/' else await scan(prefix)

        second.port.scan = scan_old_rows
        await world.run_for(5_000)
        assert 'again' in world.take_violations()

    async def test_a_commit_that_is_applied_twice_is_noticed(self, world):
        """
        The check fails for a store that forgets ids, without a marker row.
        """
        world.store.forgets_ids = True
        first = world.start('p0')
        first.port.lost_percent = 30
        await world.run_for(20_000)
        assert 'applied 2' in world.take_violations()

    async def test_a_shard_without_owner_is_noticed(self, world):
        """
        The check fails when no process may claim the shards in time.
        """
        world.ownership_timings = co.OwnershipTimings(
            foreign_grace_ms=3_600_000,
        )
        world.start('p0', 'melaka')
        await world.run_for(3_000)
        await world.run_for(8_000)
        world.check_all_owned()
        assert 'is free for' in world.take_violations()
