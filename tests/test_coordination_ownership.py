"""
Tests of the process lease and of shard ownership.
"""

import asyncio

from fake_store import virtual_tests
from test_coordination_faults import SimulatedCluster

from hawthornpier import coordination as co


def owned_count(node):
    return len(node.ownership.owned)


@virtual_tests(SimulatedCluster)
class TestShardOwnership:
    """
    Each shard has at most one owner, and gets a new one if that fails.
    """

    async def test_shards_are_shared_evenly_and_taken_over(self, cluster):
        """
        All shards are owned within 3 s of the start and 6 s of a crash.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        cluster.check_all_owned()
        assert [owned_count(first), owned_count(second)] == [2, 2]
        cluster.kill(first)
        await cluster.run_for(6_000)
        cluster.check_all_owned()
        assert owned_count(second) == 4

    async def test_a_paused_owner_is_deposed_and_detects_it(self, cluster):
        """
        A process that was paused for longer than its lease does not act under
        it afterwards.  It claims shards anew, with a new incarnation and
        higher epochs.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        incarnation = first.lease.incarnation
        first.clock.pause()
        await cluster.run_for(6_000)
        assert owned_count(second) == 4
        assert not first.lease.is_held
        first.clock.resume()
        await cluster.run_for(2_000)
        assert first.lease.is_held
        assert first.lease.incarnation != incarnation
        regained = first.ownership.owned.values()
        assert all(owned.epoch > 1 for owned in regained)

    async def test_a_renewal_prevents_a_takeover(self, cluster):
        """
        A takeover fails if the owner renewed its lease just before it.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        owned = dict(first.ownership.owned)
        first.port.is_partitioned = True
        transact = second.port.transact

        async def renew_first(transaction):
            if 'process/p0' in transaction.deletes:
                first.port.is_partitioned = False
                await first.lease.transact((), ())
            return await transact(transaction)

        second.port.transact = renew_first
        await cluster.run_for(8_000)
        assert first.ownership.owned == owned
        assert not first.port.is_partitioned

    async def test_a_pause_during_a_renewal_extends_no_lease(self, cluster):
        """
        A lease is measured from before its renewal was sent, not from the
        reply.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        transact = first.port.transact

        async def pause(transaction):
            if transaction.transaction_id.startswith('lease.'):
                first.port.transact = transact
                first.clock.pause()
            return await transact(transaction)

        first.port.transact = pause
        incarnation = first.lease.incarnation
        await cluster.run_for(6_000)
        assert owned_count(second) == 4
        first.clock.resume()
        while first.lease.incarnation == incarnation:
            assert not first.lease.is_held
            await cluster.run_for(20)

    async def test_a_slow_read_does_not_age_a_row(self, cluster):
        """
        An observer measures a lease from after it read the row, not from
        before.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        scan = second.port.scan

        async def scan_slowly(prefix):
            await asyncio.sleep(1)
            if prefix != 'process/' or first.port.is_partitioned:
                return await scan(prefix)
            await first.lease.transact((), ())
            rows = await scan(prefix)
            first.port.is_partitioned = True
            return rows

        second.port.scan = scan_slowly
        await cluster.run_for(12_000)
        assert owned_count(second) == 4

    async def test_an_outage_alone_moves_no_shard(self, cluster):
        """
        After an outage of the store in which all leases expired, no process
        takes over the shards of another one.
        """
        nodes = [cluster.start(f'p{number}') for number in range(3)]
        await cluster.run_for(3_000)
        before = [dict(node.ownership.owned) for node in nodes]
        cluster.store.is_out = True
        await cluster.run_for(60_000)
        assert all(node.lease.is_store_out for node in nodes)
        assert all(node.lease.store_reply_age_ms > 55_000 for node in nodes)
        assert not any(node.lease.is_held for node in nodes)
        cluster.store.is_out = False
        # One process needs 2.5 s longer to reach the store again.
        nodes[0].port.is_partitioned = True
        await cluster.run_for(2_500)
        nodes[0].port.is_partitioned = False
        await cluster.run_for(10_000)
        assert not any(node.lease.is_store_out for node in nodes)
        assert [node.ownership.owned for node in nodes] == before

    async def test_a_handover_with_a_lost_reply_leaves_an_owner(self, cluster):
        """
        If the store does not reply to the release of a shard, the shard still
        gets an owner again.
        """
        local = cluster.start('p0', 'ipoh')
        remote = cluster.start('p1', 'melaka')
        await cluster.run_for(3_000)
        local.kill()
        await cluster.run_for(12_000)
        assert owned_count(remote) == 4
        remote.port.lost_percent = 100
        assert not await remote.ownership.hand_over('ipoh/0', 'p2')
        await cluster.recover()

    async def test_foreign_shards_return_to_their_domain(self, cluster):
        """
        The shards of a failure domain without live processes move to another
        one after the grace time, and return when a process is back.
        """
        cluster.ownership_timings = co.OwnershipTimings(foreign_grace_ms=5_000)
        local = cluster.start('p0', 'ipoh')
        remote = cluster.start('p1', 'melaka')
        await cluster.run_for(3_000)
        cluster.kill(local)
        await cluster.run_for(6_000)
        assert owned_count(remote) == 0
        await cluster.run_for(8_000)
        assert owned_count(remote) == 4
        back = cluster.start('p2', 'ipoh')
        await cluster.run_for(30_000)
        assert owned_count(back) == 4

    async def test_a_new_process_gets_its_share_one_by_one(self, cluster):
        """
        Rebalancing moves one shard per interval until the counts are equal.
        """
        first = cluster.start('p0')
        await cluster.run_for(3_000)
        second = cluster.start('p1')
        counts = []
        for _ in range(30):
            await cluster.run_for(1_000)
            counts.append(owned_count(second))
        assert counts[:2] == [0, 0]
        assert counts[-1] == owned_count(first) == 2
        assert counts == sorted(counts)

    async def test_a_graceful_stop_hands_over_within_a_second(self, cluster):
        """
        A process that stops hands over its shards within 1.5 s.
        """
        first, second = cluster.start('p0'), cluster.start('p1')
        await cluster.run_for(3_000)
        await cluster.stop(first)
        await cluster.run_for(1_500)
        cluster.check_all_owned()
        assert owned_count(second) == 4
        assert 'process/p0' not in cluster.store.rows
        epochs = {owned.epoch for owned in second.ownership.owned.values()}
        assert epochs == {1, 2}

    async def test_the_last_process_of_a_domain_stops(self, cluster):
        """
        If the last process of a failure domain stops gracefully, its shards
        move to another domain without the grace time.
        """
        cluster.ownership_timings = co.OwnershipTimings(foreign_grace_ms=60_000)
        local = cluster.start('p0', 'ipoh')
        remote = cluster.start('p1', 'melaka')
        await cluster.run_for(4_000)
        assert owned_count(local) == 4
        await cluster.stop(local)
        await cluster.run_for(1_500)
        assert owned_count(remote) == 4

    async def test_a_lost_process_counts_for_majorities(self, cluster):
        """
        A process that crashed without owning a shard still counts for
        majorities, and its lost-process row is deleted when it restarts.
        """
        nodes = [cluster.start(f'p{number}') for number in range(5)]
        await cluster.run_for(5_000)
        idle = min(nodes, key=owned_count)
        cluster.kill(idle)
        await cluster.run_for(6_000)
        assert f'process/{idle.process_id}' not in cluster.store.rows
        others = [node for node in nodes if node is not idle]
        for node in others:
            assert idle.process_id in node.directory.last_known_ids
        cluster.start(idle.process_id)
        await cluster.run_for(2_000)
        assert f'lost/{idle.process_id}' not in cluster.store.rows

    async def test_a_restart_with_the_same_id_waits(self, cluster):
        """
        Of two processes with the same id, only one holds the lease at a time.
        """
        first = cluster.start('p0')
        await cluster.run_for(2_000)
        duplicate = cluster.start('p0')
        await cluster.run_for(8_000)
        assert duplicate.lease.version is None
        first.clock.pause()
        await cluster.run_for(8_000)
        assert duplicate.lease.is_held
        assert owned_count(duplicate) == 4
        first.clock.resume()
        await cluster.run_for(8_000)
        assert first.lease.version is None
        assert duplicate.lease.is_held


@virtual_tests(SimulatedCluster)
class TestInvariantChecks:
    """
    Injected faults show that each check of an invariant can fail.
    """

    async def test_two_holders_are_detected(self, cluster):
        """
        The check fails for a process with a longer lease than the others.
        """
        first = cluster.start('p0', lease_ms=20_000)
        await cluster.run_for(3_000)
        cluster.start('p1')
        first.port.is_partitioned = True
        await cluster.run_for(8_000)
        assert 'is held by' in cluster.pop_violations()

    async def test_a_clock_beyond_the_clock_error_is_detected(self, cluster):
        """
        The check fails when clocks differ by more than the clock error.
        """
        first = cluster.start('p0', rate=0.5)
        await cluster.run_for(5_000)
        cluster.start('p1')
        await cluster.run_for(2_000)
        first.port.is_partitioned = True
        await cluster.run_for(8_000)
        assert 'is held by' in cluster.pop_violations()

    async def test_a_commit_of_a_deposed_owner_is_detected(self, cluster):
        """
        The check of writers fails if the store ignores row checks.
        """
        cluster.store.ignores_checks = True
        first = cluster.start('p0')
        await cluster.run_for(3_000)
        cluster.start('p1')
        await cluster.run_for(1_000)
        first.clock.pause()
        await cluster.run_for(6_000)
        first.clock.resume()
        await cluster.run_for(6_000)
        assert 'deposed owner' in cluster.pop_violations()

    async def test_an_epoch_that_does_not_grow_is_detected(self, cluster):
        """
        The check of epochs fails if claims based on old rows are applied.
        """
        cluster.store.ignores_checks = True
        cluster.start('p0')
        await cluster.run_for(5_000)
        second = cluster.start('p1')
        scan = second.port.scan

        async def scan_old_rows(prefix):
            return () if prefix == 'owner/' else await scan(prefix)

        second.port.scan = scan_old_rows
        await cluster.run_for(5_000)
        assert 'epoch that is not newer' in cluster.pop_violations()

    async def test_a_commit_that_is_applied_twice_is_detected(self, cluster):
        """
        The check fails for a store that forgets ids, without a marker row.
        """
        cluster.store.forgets_ids = True
        first = cluster.start('p0')
        first.port.lost_percent = 30
        await cluster.run_for(20_000)
        assert 'applied 2' in cluster.pop_violations()

    async def test_a_shard_without_owner_is_detected(self, cluster):
        """
        The check fails if no process may claim the shards in time.
        """
        cluster.ownership_timings = co.OwnershipTimings(
            foreign_grace_ms=3_600_000,
        )
        cluster.start('p0', 'melaka')
        await cluster.run_for(3_000)
        await cluster.run_for(8_000)
        cluster.check_all_owned()
        assert 'has had no owner for' in cluster.pop_violations()
