"""
Tests of the host view.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from fake_store import PausableClock
from virtual_time import run_virtual

from hawthornpier.coordination import (
    HostView,
    HostViewTimings,
    ShardWorker,
    WorkerState,
    shard_of_rack,
)
from hawthornpier.messages import (
    HostListing,
    HostRecord,
    HostState,
    Resources,
)
from hawthornpier.ports import StoreUnavailableError


class Hosts:
    """
    A host list whose content the test sets, and the view of it.
    """

    def __init__(self) -> None:
        self.states = dict.fromkeys('abc', HostState.LIVE)
        self.is_out = False
        self.changes: list[tuple[str, WorkerState]] = []
        self.view = HostView(
            self,
            PausableClock(),
            HostViewTimings(),
            shard_count=2,
            on_change=self._on_change,
        )

    async def listing(self) -> HostListing:
        """
        Return the list.
        """
        if self.is_out:
            raise StoreUnavailableError('the store is out')
        return HostListing(
            hosts=tuple(
                HostRecord(
                    worker_id=worker_id,
                    address=worker_id,
                    region='semenanjung',
                    failure_domain='ipoh',
                    rack='r1',
                    capacity=Resources(slot_count=8),
                    state=state,
                )
                for worker_id, state in self.states.items()
            ),
        )

    def live(self) -> str:
        """
        Return the ids of the workers that may get work.
        """
        shard = shard_of_rack('ipoh', 'r1', 2)
        workers = self.view.live_workers(shard)
        return ''.join(worker.record.worker_id for worker in workers)

    async def _on_change(self, worker: ShardWorker) -> None:
        self.changes.append((worker.record.worker_id, worker.state))


def run_hosts(scenario: Callable[[Hosts], Awaitable[None]]) -> None:
    """
    Run the scenario while the view reads the list.
    """

    async def run() -> None:
        hosts = Hosts()
        reading = asyncio.create_task(hosts.view.run())
        await asyncio.sleep(0.5)
        assert hosts.live() == 'abc'
        hosts.changes.clear()
        await scenario(hosts)
        assert not reading.done()

    run_virtual(run())


class TestHostView:
    """
    A leaving worker gets no new work, whatever the list says.
    """

    def test_a_leaving_host_is_noticed_within_the_interval(self) -> None:
        """
        A host that the list calls leaving gets no work after 1 s.
        """

        async def scenario(hosts: Hosts) -> None:
            hosts.states['b'] = HostState.LEAVING
            await asyncio.sleep(1.1)
            assert hosts.live() == 'ac'
            assert hosts.changes == [('b', WorkerState.LEAVING)]

        run_hosts(scenario)

    def test_an_older_listing_does_not_bring_a_host_back(self) -> None:
        """
        The lagging list does not overrule a worker that says it leaves.
        """

        async def scenario(hosts: Hosts) -> None:
            await hosts.view.report_leaving('b')
            for _ in range(25):
                await asyncio.sleep(1)
                assert hosts.live() == 'ac'
            hosts.states.pop('b')
            await asyncio.sleep(2)
            hosts.states['b'] = HostState.LIVE
            await asyncio.sleep(2)
            assert hosts.live() == 'ac'

        run_hosts(scenario)

    def test_a_replaced_host_comes_back(self) -> None:
        """
        A host that was gone for a while, or live for long, gets work again.
        """

        async def scenario(hosts: Hosts) -> None:
            await hosts.view.report_leaving('a')
            await hosts.view.report_leaving('b')
            hosts.states.pop('b')
            await asyncio.sleep(7)
            hosts.states['b'] = HostState.LIVE
            await asyncio.sleep(1)
            assert hosts.live() == 'bc'
            await asyncio.sleep(30)
            assert hosts.live() == 'abc'

        run_hosts(scenario)

    def test_the_last_listing_outlives_an_outage(self) -> None:
        """
        An outage of the store changes nothing, but reports still count.
        """

        async def scenario(hosts: Hosts) -> None:
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
                ('a', WorkerState.UNREACHABLE),
                ('c', WorkerState.LEAVING),
                ('a', WorkerState.LIVE),
            ]

        run_hosts(scenario)

    def test_racks_spread_over_the_shards(self) -> None:
        """
        The racks of a large domain are shared evenly among its shards.
        """
        counts = Counter(
            shard_of_rack('ipoh', f'rack-{number}', 8)
            for number in range(8_000)
        )
        assert len(counts) == 8
        assert max(counts.values()) < 1_200
