"""
Tests of listings and pages that were cut at their limit.

What such a list leaves out may exist.
"""

import dataclasses
import json

import pytest
from fake_store import virtual_tests
from fleet_world import World
from test_decoding import http_reply
from test_fleet_ends import (
    JOB_ID,
    PLAN,
    add_worker,
    listing_of,
    shard_with,
    task_key,
)

from hawthornpier.fleet import (
    LISTED_ENDS_MAX,
    RowPage,
    StoredRow,
    WorkerTimings,
)
from hawthornpier.fleet._eligibility import Exclusion, find_exclusion
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._row_pages import read_changes
from hawthornpier.fleet._run_monitor import RunMonitor
from hawthornpier.platform._store import _may_be_cut, _RowsReply
from hawthornpier.platform._worker import _decode_listing
from hawthornpier.steps import JobPhase, RunOutcome, StepPlan
from hawthornpier_standin.fleet import StoreFault

WIDE_PLAN = dataclasses.replace(
    PLAN, steps=(StepPlan(task_count=1_000, processor_millis=1),)
)
SHORT = StepPlan(task_count=80, processor_millis=10, estimate_ms=50)


def ends(count, *, first=0):
    return listing_of(
        *(
            (task_key(index), 1, RunOutcome.DONE)
            for index in range(first, first + count)
        )
    )


def cut(listing):
    return type(listing)(
        **{
            name: getattr(listing, name)
            for name in listing.__struct_fields__
            if name != 'has_more_ended'
        },
        has_more_ended=True,
    )


class TestCutListings:
    """
    A run that is missing from a cut listing may have ended in any way.
    """

    async def test_run_missing_from_a_cut_listing_is_not_started_again(self):
        shard = shard_with(WIDE_PLAN)
        worker = add_worker(shard)
        task = shard.find_task(task_key(999))
        run = shard.start_run(task, worker, reason='test')
        shard.confirm_run(run)
        reconciler = ListingReconciler(shard)
        reconciler.apply(worker, cut(ends(500)), shard.now_ms + 1)
        assert not task.is_waiting
        reconciler.apply(worker, ends(0), shard.now_ms + 1)
        assert not task.is_waiting
        reconciler.apply(worker, ends(0), shard.now_ms + 1)
        assert task.is_waiting

    async def test_first_listing_that_was_cut_leaves_runs_unknown(self):
        shard = shard_with(WIDE_PLAN)
        worker = add_worker(shard)
        shard.unlisted_tasks[worker.worker_id] = None
        reconciler = ListingReconciler(shard)
        reconciler.apply(worker, cut(ends(500)), shard.now_ms)
        assert worker.is_reached
        assert not worker.is_listed
        shard.clock.jump_ms += 60_000
        shard.forget_lapsed_workers()
        assert worker.worker_id in shard.unlisted_tasks
        reconciler.apply(worker, ends(0), shard.now_ms)
        assert worker.is_listed
        assert not shard.unlisted_tasks

    async def test_worker_that_does_not_reply_is_forgotten_after_its_lease(
        self,
    ):
        shard = shard_with(WIDE_PLAN)
        worker = add_worker(shard)
        shard.unlisted_tasks.update({worker.worker_id: None, 'gone': None})
        shard.forget_lapsed_workers()
        assert not shard.unlisted_tasks

    async def test_silent_worker_that_listed_a_part_blocks_no_tasks_for_good(
        self,
    ):
        shard = shard_with(WIDE_PLAN)
        worker = add_worker(shard)
        shard.unlisted_tasks[worker.worker_id] = None
        listings = ListingReconciler(shard)
        listings.apply(worker, cut(ends(500)), shard.now_ms)
        worker.missed_reply_count = 1
        shard.clock.jump_ms += 20_000
        RunMonitor(shard, WorkerTimings()).run_pass()
        shard.forget_lapsed_workers()
        assert not shard.unlisted_tasks

    async def test_worker_with_many_unacknowledged_ends_gets_no_starts(self):
        shard = shard_with(WIDE_PLAN)
        worker = add_worker(shard)
        worker.is_recorded = True
        step = shard.jobs[JOB_ID].occurrences[0].steps[0]
        reconciler = ListingReconciler(shard)
        found = []
        for count in (249, 250, 0):
            reconciler.apply(worker, ends(count), shard.now_ms)
            found.append(find_exclusion(worker, step, shard.now_ms))
        assert found == [None, Exclusion.UNACKNOWLEDGED, None]

    @pytest.mark.parametrize('count', [499, 500])
    def test_platform_lists_a_limited_number_of_ends(self, count):
        rows = [[n, 't.0.0.1', 1, 'done', ''] for n in range(1, count + 1)]
        content = {'clock_ms': 1, 'born': 1, 'finished': rows}
        listing = _decode_listing(http_reply(json.dumps(content).encode()))
        assert listing.has_more_ended is (count >= LISTED_ENDS_MAX)


@virtual_tests(World)
class TestEndsDuringAnOutage:
    """
    Ends that cannot be acknowledged pile up while the store is out.
    """

    options = {'worker_count': 2}

    async def test_done_tasks_do_not_run_again_after_an_outage(self, world):
        plans = await self._submit(world)
        world.break_store(StoreFault.SILENT)
        await world.run_for(4_500)
        world.break_store(StoreFault.NONE)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)
        assert world.checker.started_count == len(plans) * SHORT.task_count

    async def test_next_owner_waits_for_the_ends_left_out(self, world):
        """
        Guards against tasks that a new owner starts because their ends were
        not in the first listing of their worker.
        """
        plans = await self._submit(world)
        owner = world.owner()
        owner.client.fault = StoreFault.SILENT
        await world.wait_until(
            lambda: max(map(len, kept_ends(world))) > LISTED_ENDS_MAX
        )
        world.kill(owner)
        for plan in plans:
            await world.wait_phase(plan.job_id, JobPhase.COMPLETED)

    async def _submit(self, world):
        await world.wait_first_owner()
        plans = [world.plan(SHORT, work_ms=50) for _ in range(20)]
        for plan in plans:
            await world.any_node().entry.submit(plan)
        return plans


def kept_ends(world):
    return [worker.ended_runs for worker in world.workers.values()]


class PagedStore:
    """
    Returns one change at a time.
    """

    def __init__(self, count):
        self.count = count

    async def changes(self, table, *, after_version, wait_ms):
        rows = tuple(
            StoredRow(table=table, part='', key=str(number), version=number)
            for number in range(after_version + 1, self.count + 1)
        )
        return RowPage(
            rows=rows[:1],
            version=min(after_version + 1, self.count),
            store_ms=0,
            has_more=len(rows) > 1,
        )


class TestCutPages:
    """
    A page of changes that was cut is not taken for all changes.
    """

    async def test_changes_are_read_to_the_last_page(self):
        """
        Guards against a run that is stopped because its job is on a page of
        accepted jobs that was not read.
        """
        page = await read_changes(
            PagedStore(4), 'intake', after_version=1, wait_ms=0
        )
        assert not page.has_more
        assert [row.key for row in page.rows] == ['2', '3', '4']
        assert page.version == 4

    async def test_table_that_keeps_changing_does_not_hold_up_the_reader(self):
        page = await read_changes(
            PagedStore(10**6), 'registry', after_version=0, wait_ms=0
        )
        assert page.has_more
        assert page.version < 100

    @pytest.mark.parametrize(
        ('row_count', 'size', 'expected'),
        [(499, 9, False), (500, 9, True), (9, 950_000, True)],
    )
    def test_full_page_may_be_cut(self, row_count, size, expected):
        rows = [{'table': 't'} for _ in range(row_count)]
        reply = http_reply(b' ' * size)
        assert _may_be_cut(reply, _RowsReply(rows=rows)) is expected

    @pytest.mark.parametrize(
        ('row_count', 'expected'), [(99, False), (100, True)]
    )
    def test_full_portion_may_be_cut(self, row_count, expected):
        """
        Guards against rows that are left out after a request for fewer rows.
        """
        rows = _RowsReply(rows=[{'table': 't'} for _ in range(row_count)])
        assert _may_be_cut(http_reply(b'{}'), rows, 100) is expected
