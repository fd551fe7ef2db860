"""
Tests of the distribution of the configuration to many processes.
"""

from fake_store import virtual_tests
from fleet_world import World

from hawthornpier_standin.fleet import StoreFault

NODE_COUNT = 8
READER_COUNT = 5
# Maximum time from the write of a version to the store until it is in force in
# all processes.
IN_FORCE_MS = 2_500


class _ManyNodes(World):
    """
    A region with more processes than readers of the configuration.
    """

    def __init__(self):
        super().__init__(node_count=NODE_COUNT)

    def versions(self):
        return {
            name: node.configuration.version
            for name, node in self.nodes.items()
            if not node.is_dead
        }

    def count_reads(self):
        """
        Start counting the reads of the operator's table by each process.
        """
        counts = dict.fromkeys(self.nodes, 0)
        for name, node in self.nodes.items():
            node.client.changes = self._wrap_changes(
                node.client.changes, counts, name
            )
        return counts

    def _wrap_changes(self, changes, counts, name):
        def count_call(table, **options):
            counts[name] += table == 'op'
            return changes(table, **options)

        return count_call


@virtual_tests(_ManyNodes)
class TestReaders:
    """
    A few processes read the configuration, and the others request it there.
    """

    async def test_only_readers_ask_the_store(self, world):
        """
        Guards against the transfer of a large configuration to each process
        over the link between two regions.
        """
        await world.run_for(3_000)
        counts = world.count_reads()
        await world.run_for(5_000)
        reading_processes = sorted(
            name for name, count in counts.items() if count
        )
        assert reading_processes == sorted(world.nodes)[:READER_COUNT]

    async def test_a_version_is_in_force_everywhere_soon(self, world):
        """
        Guards against a delay through the readers that exceeds the limit of
        the platform.
        """
        await world.run_for(3_000)
        world.configure(7)
        await world.run_for(200)
        assert set(world.versions().values()) == {7}

    async def test_an_unresponsive_reader_is_skipped(self, world):
        """
        Guards against processes that keep an old configuration because the
        reader from which they request it does not reply.
        """
        await self._check_without_readers(world, 1)

    async def test_unresponsive_readers_are_skipped(self, world):
        """
        Guards against processes that keep an old configuration while none of
        the readers replies.
        """
        await self._check_without_readers(world, READER_COUNT)

    async def test_readers_without_the_store_are_not_followed(self, world):
        """
        Guards against a reader that keeps serving an old configuration as
        current although the store rejects its requests.
        """
        await world.run_for(3_000)
        for name in sorted(world.nodes)[:READER_COUNT]:
            world.nodes[name].client.fault = StoreFault.REFUSE
        await world.run_for(4_000)
        world.configure(7)
        await world.run_for(IN_FORCE_MS)
        assert set(world.versions().values()) == {7}

    async def _check_without_readers(self, world, partitioned_count):
        await world.run_for(3_000)
        for name in sorted(world.nodes)[:partitioned_count]:
            world.nodes[name].is_partitioned = True
            world.nodes[name].client.fault = StoreFault.SILENT
        await world.run_for(300)
        world.configure(7)
        await world.run_for(IN_FORCE_MS)
        versions = world.versions()
        connected = sorted(world.nodes)[partitioned_count:]
        assert {versions[name] for name in connected} == {7}


@virtual_tests(World)
class TestRestart:
    """
    A process that restarts serves the version in force or none.
    """

    async def test_a_removed_queue_is_not_served_again(self, world):
        """
        Guards against a removed queue that is in use again after a restart.
        """
        world.configure(2, queues=('orders', 'removed'))
        await world.run_for(1_500)
        world.kill(world.nodes['n0'])
        world.configure(3, queues=('orders',))
        await world.run_for(1_500)
        node = world.start_node('n0')
        node.client.fault = StoreFault.SILENT
        await world.run_for(3_000)
        assert not node.is_ready
        node.client.fault = StoreFault.NONE
        await world.wait_until(lambda: node.is_ready)
        assert set(node.configuration.queues) == {'orders'}


@virtual_tests(World)
class TestLargeHosts:
    """
    The owner of the shard should run on the largest host.
    """

    async def test_the_largest_host_claims_first(self, world):
        """
        Guards against an owner on a small host that renews leases so late that
        they expire and the workers end the runs.
        """
        large = world.start_node('large', cores=4)
        await world.run_for(2_500)
        assert world.owner() is large

    async def test_a_host_on_a_slow_link_claims_later(self, world):
        """
        Guards against an owner whose link cannot carry its requests, though its
        processor could.
        """
        large = world.start_node('large', cores=4)
        world.start_node('slow-link', cores=16, link_mbps=10)
        await world.run_for(2_500)
        assert world.owner() is large

    async def test_a_small_host_claims_without_a_large_one(self, world):
        """
        Guards against a shard that has no owner after the large host failed.
        """
        large = world.start_node('large', cores=4)
        await world.run_for(2_500)
        world.kill(large)
        await world.run_for(2_500)
        assert world.owner() not in (None, large)
