"""
Tests of an owner that loads its shard.
"""

import asyncio
import dataclasses

import pytest
from fake_store import virtual_tests
from fleet_rows import QUEUE
from fleet_world import World
from virtual_time import VirtualClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import OwnershipTimings, StoredRow
from hawthornpier.fleet._intake import Intake, intake_partition
from hawthornpier.fleet._shard import Shard
from hawthornpier.ports import StoreError, StoreReplyLostError
from hawthornpier.steps import JobPlan, StepPlan, encode_plan
from hawthornpier_standin import fleet as standin

LOAD_S = 2 * OwnershipTimings().lease_ms / 1000
JOB_COUNT = 2_500
# The client of the store gives up a read after this time.
READ_TIMEOUT_S = 1.2
# Bytes of a row in a reply besides its content, which is sent in base64.
ROW_BYTES = 110
# What one read sends over a shared link before the others.
_CHUNK_BYTES = 10_000


class SlowProgress:
    """
    A client of the store that takes long to read the progress of all jobs.
    """

    def __init__(self, client):
        self._client = client

    def __getattr__(self, name):
        return getattr(self._client, name)

    async def read(self, table, part, **options):
        page = await self._client.read(table, part, **options)
        if table == 'progress':
            await asyncio.sleep(LOAD_S)
        return page


class LoadingWorld(World):
    """
    An installation whose owner takes longer to load than its lease lasts.
    """

    def prepare(self, context):
        return dataclasses.replace(context, store=SlowProgress(context.store))


@virtual_tests(LoadingWorld)
class TestLoading:
    """
    An owner keeps its claim while it loads the shard.
    """

    async def test_the_first_owner_ends_its_loading(self, world):
        """
        Guards against owners that replace each other before they have loaded.
        """
        await world.run_for(4_000 * LOAD_S)
        claims = [kind for _, kind, _ in world.log_lines].count('shard_claimed')
        assert claims == 1
        assert world.owner() is not None


class SlowLink:
    """
    A client of the store on a link that all its reads share.
    """

    def __init__(self, client, mbps):
        self.read_count = 0
        self._client = client
        self._bytes_per_s = mbps * 125_000
        self._link = asyncio.Lock()

    async def read(self, *arguments, **options):
        self.read_count += 1
        page = await self._client.read(*arguments, **options)
        size = sum(len(row.content) * 4 / 3 + ROW_BYTES for row in page.rows)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._transfer(size)
        except TimeoutError as error:
            raise StoreReplyLostError('timed out') from error
        return page

    async def _transfer(self, size):
        while size > 0:
            chunk = min(size, _CHUNK_BYTES)
            async with self._link:
                await asyncio.sleep(chunk / self._bytes_per_s)
            size -= chunk


class StoredJobs:
    """
    A store with many jobs, and the intake of a new owner.
    """

    def __init__(self):
        clock = VirtualClock()
        self.store = standin.StandinRowStore(clock)
        self.client = standin.StandinStoreClient(self.store)
        self.shard = Shard(
            's0',
            epoch=2,
            clock=clock,
            log=DecisionLog('n', lines_per_s=10**6),
        )
        for number in range(JOB_COUNT):
            job_id = f'{number:016x}'
            plan = JobPlan(
                job_id=job_id,
                payload='p' * 200,
                steps=(StepPlan(task_count=4, processor_millis=3_500),) * 2,
                queue=QUEUE,
            )
            self._put('intake', intake_partition('s0', job_id), plan)

    def _put(self, table, part, plan):
        row = standin_row(table, part, plan)
        self.store.rows[table, part, plan.job_id] = row

    async def load(self, mbps):
        link = SlowLink(self.client, mbps)
        log = DecisionLog('n', lines_per_s=10**6)
        await Intake(link, self.shard, log).load()
        return link

    def finish(self):
        """
        Do nothing, as nothing runs.
        """


def standin_row(table, part, plan):
    return StoredRow(
        table=table,
        part=part,
        key=plan.job_id,
        content=encode_plan(plan),
        version=1,
    )


@virtual_tests(StoredJobs)
class TestSlowLinks:
    """
    An owner loads the shard over any link.
    """

    async def test_a_large_link_takes_one_read_for_each_partition(
        self, subject
    ):
        """
        Guards against further calls to the store, which are priced.
        """
        link = await subject.load(1_000)
        assert len(subject.shard.jobs) == JOB_COUNT
        assert link.read_count == 17

    async def test_a_slow_link(self, subject):
        """
        Guards against reads that all time out because they share the link, so
        that loading begins again for ever.
        """
        started_ms = subject.shard.now_ms
        await subject.load(10)
        assert len(subject.shard.jobs) == JOB_COUNT
        assert subject.shard.now_ms - started_ms < 5_000

    async def test_a_very_slow_link(self, subject):
        """
        Guards against portions that are too large for the smallest hosts.
        """
        await subject.load(2)
        assert len(subject.shard.jobs) == JOB_COUNT

    async def test_an_outage_of_the_store(self, subject):
        """
        Guards against an owner that goes on asking a store that is out.
        """
        subject.client.fault = standin.StoreFault.REFUSE
        link = SlowLink(subject.client, 1_000)
        log = DecisionLog('n', lines_per_s=10**6)
        with pytest.raises(StoreError):
            await Intake(link, subject.shard, log).load()
        assert link.read_count <= 19
