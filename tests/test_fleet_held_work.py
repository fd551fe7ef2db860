"""
Tests of work that is held back, or stopped, without a reason that ends.
"""

import asyncio
import dataclasses
from types import SimpleNamespace

import pytest
from fake_store import virtual_tests
from fleet_world import World
from test_fleet_ends import PLAN, add_worker, shard_with, task_key
from test_fleet_evacuation import LONG_RUNNING, _entry, _Fleet

from hawthornpier.fleet import (
    OrderReply,
    OwnershipTimings,
    PlatformBounds,
    Verdict,
    WorkerTimings,
)
from hawthornpier.fleet._commits import FLEET_TABLE, Committer
from hawthornpier.fleet._incarnations import Incarnations
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._scheduler import Scheduler
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_rows import WORKERS_KEY
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import StoreReplyLostError
from hawthornpier.steps import (
    JobPlan,
    QueuePolicy,
    Run,
    RunOutcome,
    RunPhase,
    StepPlan,
    add_run,
)

ROW_OF_WORKERS = (FLEET_TABLE, WORKERS_KEY)


def usable(worker):
    worker.is_listed = True
    worker.is_recorded = True
    return worker


def confirm_permits(shard):
    for permit in (shard.permits.writes, shard.permits.registry):
        permit.confirm(permit.mark())


def starved_step(fleet, service, **options):
    step = StepPlan(
        task_count=1,
        processor_millis=4_000,
        image='heavy',
        is_filling=True,
        **options,
    )
    plan = JobPlan(
        job_id='ff' * 8,
        payload='',
        steps=(step,),
        queue=QueuePolicy(name=f'q-{service}', service=service),
    )
    starved = fleet.shard.add_job(plan).occurrences[0].steps[0]
    starved.unplaced_since_ms = fleet.clock.now_ms - 2_000
    return starved


class Port:
    """
    A connection to a worker that accepts starts.

    *verdict* is the reply to stops.  With *breaks*, a renewal raises an
    unexpected error while the first start is under way.
    """

    def __init__(self, verdict=Verdict.ACCEPTED, *, breaks=False):
        self.sent = []
        self._verdict = verdict
        self._breaks = breaks

    async def renew(self, renewal):
        await asyncio.sleep(0.01)
        if self._breaks and len(self.sent) == 1:
            raise RuntimeError('unexpected')
        return Verdict.TOO_LATE

    async def start(self, order):
        self.sent.append('start')
        await asyncio.sleep(0.05)
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=5)

    async def stop(self, task, attempt, fencing_token):
        self.sent.append('stop')
        return OrderReply(verdict=self._verdict)

    def close(self):
        self.sent.append('close')


class TestEvacuation:
    """
    Long-running tasks are stopped only if that helps a starved image.
    """

    def test_a_task_that_waits_anew_is_not_starved_at_once(self):
        """
        Guards against evacuations for a best-effort task that has just run.
        """
        fleet = _Fleet()
        scheduler = Scheduler(
            fleet.shard, bounds=PlatformBounds(), timings=WorkerTimings()
        )
        for _ in range(3):
            confirm_permits(fleet.shard)
            scheduler.run_pass()
            fleet.clock.now_ms += 1_500
        confirm_permits(fleet.shard)
        task = fleet.best_effort_step.tasks[0]
        fleet.shard.end_run(task.runs[0], RunOutcome.STOPPED)
        fleet.shard.workers['w2'].is_listed = False
        scheduler.run_pass()
        assert not fleet.stopping

    def test_the_image_of_another_service(self):
        """
        Guards against moves that give room to a service that cannot use it.
        """
        fleet = _Fleet()
        fleet.evacuation.run_pass([starved_step(fleet, 'other')])
        assert not fleet.stopping

    def test_an_image_that_needs_more_memory_than_any_worker_has(self):
        """
        Guards against moves for a task that fits on no worker at all.
        """
        fleet = _Fleet()
        step = starved_step(fleet, 'desk', memory_mb=99_000)
        fleet.evacuation.run_pass([step])
        assert not fleet.stopping

    def test_another_worker_if_the_first_cannot_be_evacuated(self):
        """
        Guards against a starved image for which just one worker is tried.
        """
        fleet = _Fleet()
        first = fleet.shard.workers['w0']
        first.entry = dataclasses.replace(first.entry, labels=('x',))
        other = usable(WorkerState(_entry('w3', 32_000)))
        fleet.shard.workers['w3'] = other
        moved = fleet.tasks[0].runs[0]
        first.release(moved)
        moved.worker_id = 'w3'
        other.charge(moved)
        job = fleet._job(
            dataclasses.replace(
                LONG_RUNNING, required_label='x', processor_millis=7_000
            ),
            1,
        )
        run = Run(job.occurrences[0].steps[0].tasks[0], 1, 'w0', 0)
        run.percent = 100
        run.phase = RunPhase.RUNNING
        add_run(run.task, run)
        first.charge(run)
        for _ in range(10):
            fleet.run_evacuation(2_000)
            fleet.clock.now_ms += 600
        assert fleet.stopping


class TestOrders:
    """
    Orders to a worker are neither lost nor blocked by others.
    """

    async def test_an_error_in_the_link_keeps_the_order_in_execution(self):
        """
        Guards against a run that stays starting for ever.
        """
        shard = shard_with(epoch=1)
        worker = usable(add_worker(shard))
        run = shard.start_run(shard.find_task(task_key(0)), worker, reason='t')
        context = SimpleNamespace(
            worker_timings=WorkerTimings(), log=shard.log, clock=shard.clock
        )
        port = Port(breaks=True)
        confirm_permits(shard)
        async with asyncio.TaskGroup() as group:
            incarnations = Incarnations(
                shard, context, lambda entry: port, group
            )
            incarnations.links.start(worker)
            await asyncio.sleep(1.5)
            incarnations.remove(worker.worker_id)
        assert run.phase is RunPhase.RUNNING

    async def test_stops_that_are_rejected_do_not_block_starts(self):
        """
        Guards against a worker that gets no starts because it keeps rejecting
        stops of runs that nobody knows.
        """
        shard = shard_with(epoch=1)
        worker = usable(add_worker(shard))
        for attempt in (1, 2):
            shard.order_stop(worker, 'x', attempt)
        shard.start_run(shard.find_task(task_key(0)), worker, reason='t')
        port = Port(Verdict.MALFORMED)
        await self._run_link(shard, worker, port)
        assert 'start' in port.sent

    async def test_starts_that_wait_for_a_permit_do_not_block_stops(self):
        """
        Guards against runs that go on because starts may not be sent.
        """
        shard = shard_with(epoch=1)
        worker = usable(add_worker(shard))
        shard.permits.unguarded_services = frozenset(('desk',))
        shard.permits._capacity_max_age_ms = -1
        for index in (0, 1):
            task = shard.find_task(task_key(index))
            shard.start_run(task, worker, reason='t')
        shard.order_stop(worker, 'x', 1)
        port = Port()
        await self._run_link(shard, worker, port)
        assert 'stop' in port.sent

    async def _run_link(self, shard, worker, port):
        confirm_permits(shard)
        link = WorkerLink(
            worker,
            port,
            shard=shard,
            listings=ListingReconciler(shard),
            timings=WorkerTimings(),
        )
        task = asyncio.create_task(link.run())
        await asyncio.sleep(1)
        task.cancel()


@virtual_tests(World)
class TestUnsentStarts:
    """
    A start that is not wanted any more takes no room.
    """

    options = {'worker_count': 1}

    async def test_a_job_that_is_cancelled_before_its_starts_are_sent(
        self, world
    ):
        """
        Guards against room that is taken until the next listing.
        """
        await world.wait_first_owner()
        shard = world.owner().local_shard()
        shard.add_job(world.plan(StepPlan(task_count=4)))
        world.owner().cycle.owner._scheduling._scheduler.run_pass()
        assert shard.workers['w0'].runs
        shard.cancel_job(next(iter(shard.jobs)))
        await world.run_for(10)
        assert not shard.workers['w0'].runs
        await world.run_for(3_000)
        assert not world.checker.started_count


class TestRecordedWorkers:
    """
    Workers in the stored list may be used.
    """

    async def test_a_worker_that_returns_unchanged_between_two_writes(self):
        """
        Guards against a worker that is never used, because the stored list
        names it already.
        """
        shard = shard_with(PLAN, epoch=1)
        worker = usable(add_worker(shard))
        committer = Committer(
            shard, SimpleNamespace(write=_write), timings=OwnershipTimings()
        )
        await committer._write()
        again = WorkerState(worker.entry)
        again.is_listed = True
        shard.workers[worker.worker_id] = again
        for _ in range(3):
            await committer._write()
        assert again.is_recorded

    async def test_a_worker_that_returns_while_a_write_without_it_is_sent(self):
        """
        Guards against a worker that is never used, because the list was to be
        written as it was before.
        """
        shard = shard_with(PLAN, epoch=1)
        worker = usable(add_worker(shard))
        committer = Committer(
            shard, SimpleNamespace(write=_write), timings=OwnershipTimings()
        )
        for is_listed in (True, True, False):
            worker.is_listed = is_listed
            await committer._write()
        worker.is_listed = True
        for _ in range(3):
            await committer._write()
        assert worker.is_recorded

    async def test_a_worker_that_returns_after_a_write_without_reply(self):
        """
        Guards against a next owner that does not know of a worker with runs.
        """
        shard = shard_with(PLAN, epoch=1)
        worker = usable(add_worker(shard))
        writer = _Writer()
        committer = Committer(shard, writer, timings=OwnershipTimings())
        await committer._write()
        worker.is_listed = False
        writer.loses_replies = True
        with pytest.raises(StoreReplyLostError):
            await committer._write()
        assert not worker.is_recorded
        worker.is_listed = True
        writer.loses_replies = False
        await committer._write()
        assert worker.worker_id.encode() in writer.rows[ROW_OF_WORKERS]
        assert worker.is_recorded

    async def test_a_worker_that_returns_while_its_removal_is_written(self):
        """
        Guards against a start on a worker that the next owner may not know of.
        """
        shard = shard_with(PLAN, epoch=1)
        worker = usable(add_worker(shard))
        committer = Committer(
            shard, SimpleNamespace(write=_write), timings=OwnershipTimings()
        )
        await committer._write()
        worker.is_listed = False
        write = asyncio.create_task(committer._write())
        await asyncio.sleep(0)
        worker.is_listed = True
        assert not worker.is_usable
        await write
        await committer._write()
        assert worker.is_usable

    async def test_workers_that_move_to_another_row_in_a_lost_write(self):
        """
        Guards against workers out of use while the store does not reply.
        """
        shard = shard_with(PLAN, epoch=1)
        shard.row_bytes = 1_000
        worker = usable(add_worker(shard))
        writer = _Writer()
        committer = Committer(shard, writer, timings=OwnershipTimings())
        _add_listed(shard, worker, 20)
        await committer._write()
        earlier = list(shard.workers.values())
        _add_listed(shard, worker, 40)
        writer.loses_replies = True
        for _ in range(2):
            with pytest.raises(StoreReplyLostError):
                await committer._write()
        assert len(writer.rows) == 2
        named = [each for each in shard.workers.values() if each.is_recorded]
        assert named == earlier


def _add_listed(shard, like, count):
    for number in range(len(shard.workers), count):
        worker = WorkerState(
            dataclasses.replace(like.entry, worker_id=f'worker-{number}')
        )
        worker.is_listed = True
        shard.workers[worker.worker_id] = worker


class _Writer:
    """
    Applies writes, also those without a reply.
    """

    def __init__(self):
        self.rows = {}
        self.loses_replies = False

    async def write(self, writes, _removals=(), **_options):
        self.rows.update(writes)
        if self.loses_replies:
            raise StoreReplyLostError('no reply')


async def _write(*_arguments, **_options):
    await asyncio.sleep(0)
