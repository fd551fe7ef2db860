"""
Tests of the host view.
"""

import asyncio
from collections import Counter

from fake_store import PausableClock, virtual_tests

from hawthornpier import coordination as co
from hawthornpier import messages as ms
from hawthornpier.ports import StoreUnavailableError


class Hosts:
    """
    A host list with contents that the test sets, and a view of it.
    """

    def __init__(self):
        self.states = dict.fromkeys('abc', ms.HostState.LIVE)
        self.is_out = False
        self.changes = []
        self.view = co.HostView(
            self,
            PausableClock(),
            co.HostViewTimings(),
            shard_count=2,
            on_change=self._on_change,
        )
        self.reading = asyncio.create_task(self.view.run())

    def finish(self):
        assert not self.reading.done()

    async def listing(self):
        if self.is_out:
            raise StoreUnavailableError('the host list is unavailable')
        return ms.HostListing(
            hosts=tuple(
                ms.HostRecord(
                    worker_id=worker_id,
                    address=worker_id,
                    region='semenanjung',
                    failure_domain='ipoh',
                    rack='r1',
                    capacity=ms.Resources(slot_count=8),
                    state=state,
                )
                for worker_id, state in self.states.items()
            ),
        )

    def live(self):
        shard = co.shard_of_rack('ipoh', 'r1', 2)
        workers = self.view.live_workers(shard)
        return ''.join(worker.record.worker_id for worker in workers)

    async def _on_change(self, worker: co.ShardWorker):
        self.changes.append((worker.record.worker_id, worker.state))


@virtual_tests(Hosts)
class TestHostView:
    """
    A leaving worker gets no new work, even if the host list lags behind.
    """

    async def test_a_leaving_host_is_noticed_within_the_interval(self, hosts):
        """
        A worker that the list reports as leaving gets no work after 1 s.
        """
        await asyncio.sleep(0.5)
        hosts.changes.clear()
        hosts.states['b'] = ms.HostState.LEAVING
        await asyncio.sleep(1.1)
        assert hosts.live() == 'ac'
        assert hosts.changes == [('b', co.WorkerState.LEAVING)]

    async def test_an_older_listing_does_not_bring_a_host_back(self, hosts):
        """
        A listing older than the worker's own report does not override it.
        """
        await asyncio.sleep(0.5)
        await hosts.view.report_leaving('b')
        for _ in range(25):
            await asyncio.sleep(1)
            assert hosts.live() == 'ac'
        hosts.states.pop('b')
        await asyncio.sleep(2)
        hosts.states['b'] = ms.HostState.LIVE
        await asyncio.sleep(2)
        assert hosts.live() == 'ac'

    async def test_a_replaced_host_comes_back(self, hosts):
        """
        A worker that had reported that it leaves gets work again after it was
        missing from the list for 5 s, or listed as live for 30 s.
        """
        await asyncio.sleep(0.5)
        await hosts.view.report_leaving('a')
        await hosts.view.report_leaving('b')
        hosts.states.pop('b')
        await asyncio.sleep(7)
        hosts.states['b'] = ms.HostState.LIVE
        await asyncio.sleep(1)
        assert hosts.live() == 'bc'
        await asyncio.sleep(30)
        assert hosts.live() == 'abc'

    async def test_the_last_listing_outlives_an_outage(self, hosts):
        """
        While the list cannot be read, the last listing and reports count.
        """
        await asyncio.sleep(0.5)
        hosts.changes.clear()
        hosts.is_out = True
        await asyncio.sleep(60)
        assert hosts.live() == 'abc'
        await hosts.view.report_unreachable('a')
        await hosts.view.report_leaving('c')
        assert hosts.live() == 'b'
        await hosts.view.report_reachable('a')
        await hosts.view.report_reachable('c')
        assert hosts.live() == 'ab'
        assert hosts.changes == [
            ('a', co.WorkerState.UNREACHABLE),
            ('c', co.WorkerState.LEAVING),
            ('a', co.WorkerState.LIVE),
        ]

    async def test_racks_spread_over_the_shards(self, hosts):
        """
        The racks of a large domain are spread evenly over its shards.
        """
        counts = Counter(
            co.shard_of_rack('ipoh', f'rack-{number}', 8)
            for number in range(8_000)
        )
        assert len(counts) == 8
        assert max(counts.values()) < 1_200
