"""
Tests of which changes an owner writes first while it has more than fit.
"""

import asyncio
import dataclasses

import pytest
from test_fleet_ends import PLAN, add_worker, shard_with

from hawthornpier.fleet import OwnershipTimings
from hawthornpier.fleet._commit_batch import ROW_COUNT_MAX
from hawthornpier.fleet._commits import Committer
from hawthornpier.fleet._writer import PROGRESS_TABLE, Release
from hawthornpier.ports import StoreReplyLostError

LAST_ID = 'f' * 16


class _Owner:
    """
    The writes of an owner of many jobs; all but one change all the time.
    """

    def __init__(self):
        self.shard = shard_with(PLAN)
        self.shard.dirty.clear()
        self.worker = add_worker(self.shard)
        self.written = []
        self.committer = Committer(self.shard, self, timings=OwnershipTimings())
        self.busy = [f'{number:016x}' for number in range(3 * ROW_COUNT_MAX)]
        for job_id in (*self.busy, LAST_ID):
            self.shard.add_job(dataclasses.replace(PLAN, job_id=job_id))

    async def write(self, writes, removals=()):
        self.written.append(
            {key for table, key in writes if table == PROGRESS_TABLE}
        )

    async def commit_while_jobs_change(self, count):
        for _ in range(count):
            for job_id in self.busy:
                self.shard.dirty.add(job_id)
                task = next(self.shard.jobs[job_id].tasks())
                task.checkpoint = f'{task.checkpoint}.'
            await self.committer._write()


class TestBacklogOfChanges:
    """
    Changes are written in the order in which they came.
    """

    async def test_jobs_that_change_often_do_not_starve_another(self):
        owner = _Owner()
        owner.shard.dirty.add(LAST_ID)
        await owner.commit_while_jobs_change(5)
        assert LAST_ID in set().union(*owner.written)

    async def test_ends_are_acknowledged_although_jobs_change(self):
        """
        Guards against workers that keep their ended runs as long as some job
        has changes.
        """
        owner = _Owner()
        owner.worker.processed_number = 7
        await owner.commit_while_jobs_change(10)
        assert owner.worker.acknowledged_number == 7

    async def test_ends_are_not_acknowledged_before_they_are_stored(self):
        owner = _Owner()
        owner.shard.dirty.update([*owner.busy, LAST_ID])
        owner.worker.processed_number = 7
        unstored = {*owner.busy, LAST_ID}
        while unstored:
            assert not owner.worker.acknowledged_number
            await owner.committer._write()
            unstored -= owner.written[-1]
        assert owner.worker.acknowledged_number == 7


class _SlowStore:
    """
    Applies one write after the other, but not the first one.
    """

    def __init__(self):
        self.applied = []
        self.is_first = True
        self._lock = asyncio.Lock()

    async def write(self, writes, _removals=(), *, release=None):
        async with self._lock:
            await asyncio.sleep(0.01)
            if self.is_first:
                self.is_first = False
                raise StoreReplyLostError('no reply')
            self.applied += [key for table, key in writes]
            if release:
                self.applied.append('release')


class TestRelease:
    """
    A shard is released once all its changes are written.
    """

    async def test_changes_in_a_write_that_fails_meanwhile(self):
        """
        Guards against a next owner that runs completed tasks again.
        """
        shard = shard_with(PLAN)
        shard.dirty.add(PLAN.job_id)
        store = _SlowStore()
        committer = Committer(shard, store, timings=OwnershipTimings())
        run = asyncio.create_task(committer.run())
        while not shard.writing:
            await asyncio.sleep(0.001)
        await committer.write_all(Release())
        run.cancel()
        assert store.applied[-1] == 'release'
        assert PLAN.job_id in store.applied


class TestRemovedJobs:
    """
    A job may be removed while its progress is being written.
    """

    async def test_a_job_that_is_removed_during_a_write_that_fails(self):
        """
        Guards against an owner that ends because it writes an unknown job.
        """
        shard = shard_with(PLAN)
        shard.dirty.add(PLAN.job_id)
        committer = Committer(shard, _SlowStore(), timings=OwnershipTimings())
        write = asyncio.create_task(committer._write())
        await asyncio.sleep(0)
        shard.remove_job(PLAN.job_id)
        with pytest.raises(StoreReplyLostError):
            await write
        await committer._write()
        assert not shard.dirty
        assert not shard.removed_rows

    async def test_a_job_that_is_removed_during_a_write_and_added_again(self):
        """
        Guards against progress that is never written, as its rows were deleted.
        """
        shard = shard_with(PLAN)
        store = _SlowStore()
        store.is_first = False
        committer = Committer(shard, store, timings=OwnershipTimings())
        for _ in range(2):
            shard.dirty.add(PLAN.job_id)
            write = asyncio.create_task(committer._write())
            await asyncio.sleep(0)
            shard.remove_job(PLAN.job_id)
            await write
            shard.add_job(PLAN)
        assert store.applied.count(PLAN.job_id) == 2
