"""
Tests of an owner that was paused while another process became the owner.
"""

import asyncio
import dataclasses

import pytest
from virtual_time import JumpingClock, run_virtual

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import (
    OrderReply,
    Verdict,
    WorkerEntry,
    WorkerListing,
    WorkerTimings,
)
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._permits import PausePermit
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.steps import JobPlan, QueuePolicy, StepPlan

PAUSE_MS = 6_000
ENTRY = WorkerEntry(
    worker_id='w0',
    service='desk',
    address='w0',
    failure_domain='z',
    processor_millis=8_000,
    memory_mb=64_000,
    accelerator_count=0,
    incarnation_ms=1,
)
PLAN = JobPlan(
    job_id='a' * 16,
    payload='',
    steps=(StepPlan(task_count=1, processor_millis=1_000, memory_mb=200),),
    queue=QueuePolicy(name='orders', service='desk'),
)


class ObedientWorker:
    """
    A worker that no new owner has reached yet, so that it accepts any start.
    """

    def __init__(self):
        self.started = []

    async def renew(self, renewal):
        await asyncio.sleep(0.2)
        return WorkerListing(
            incarnation_ms=1, clock_ms=100, running=(), ended=()
        )

    async def start(self, order):
        self.started.append(order.task_key)
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=100)

    def close(self):
        """
        Do nothing, as there are no connections.
        """


class TestPermit:
    """
    Whether an owner may start runs.
    """

    def test_an_outage_of_the_store_does_not_end_it(self):
        """
        Guards against idle workers while the store is down.
        """

        async def scenario():
            permit = PausePermit(JumpingClock())
            for _ in range(300):
                await asyncio.sleep(0.1)
                assert permit.is_valid

        run_virtual(scenario())

    def test_a_pause_ends_it_until_a_later_write(self):
        """
        Guards against a permission confirmed by a write from before a pause.
        """

        async def scenario():
            clock = JumpingClock()
            permit = PausePermit(clock)
            before = permit.mark()
            clock.jump_ms = PAUSE_MS
            assert not permit.is_valid
            permit.confirm(before)
            assert not permit.is_valid
            permit.confirm(permit.mark())
            assert permit.is_valid

        run_virtual(scenario())


class QueuedStart:
    """
    A start that is queued for a worker of a new shard.
    """

    def __init__(self):
        self.clock = JumpingClock()
        self.shard = Shard(
            's0',
            epoch=1,
            clock=self.clock,
            log=DecisionLog('n0', lines_per_s=10**6),
        )
        self.worker = WorkerState(ENTRY)
        self.shard.workers['w0'] = self.worker
        task = next(self.shard.add_job(PLAN).tasks())
        self.shard.start_run(task, self.worker, reason='test')

    async def started_tasks(self):
        port = ObedientWorker()
        running = asyncio.ensure_future(self.link(port).run())
        await asyncio.sleep(1.0)
        running.cancel()
        return port.started

    def link(self, port):
        return WorkerLink(
            self.worker,
            port,
            shard=self.shard,
            listings=ListingReconciler(self.shard),
            timings=WorkerTimings(),
        )


class TestPausedOwner:
    """
    A start that was queued before a pause of the owner.
    """

    def test_it_is_not_sent_after_the_pause(self):
        """
        Guards against a task that runs twice: its new owner started it too.
        """

        async def scenario():
            start = QueuedStart()
            start.clock.jump_ms = PAUSE_MS
            assert not await start.started_tasks()

        run_virtual(scenario())

    def test_it_is_not_sent_before_the_registry_is_read_again(self):
        """
        Guards against a start that exceeds what the worker has now.

        Its capacity may have shrunk during the pause.
        """

        async def scenario():
            start = QueuedStart()
            start.clock.jump_ms = PAUSE_MS
            port = ObedientWorker()
            running = asyncio.ensure_future(start.link(port).run())
            shard = start.shard
            for permit in (shard.permits.writes, shard.permits.registry):
                await asyncio.sleep(0.5)
                assert not port.started
                permit.confirm(permit.mark())
            await asyncio.sleep(0.5)
            running.cancel()
            assert len(port.started) == 1

        run_virtual(scenario())

    def test_it_is_sent_without_a_pause(self):
        """
        Guards against a check that holds back all starts.
        """

        async def scenario():
            assert len(await QueuedStart().started_tasks()) == 1

        run_virtual(scenario())


class TestShrunkCapacity:
    """
    A start that was queued before its worker's capacity shrank.
    """

    @pytest.mark.parametrize('field', ['processor_millis', 'memory_mb'])
    def test_it_is_not_sent(self, field):
        """
        Guards against a start that a worker without checks has no room for.
        """

        async def scenario():
            start = QueuedStart()
            start.worker.entry = dataclasses.replace(ENTRY, **{field: 100})
            assert not await start.started_tasks()
            assert not start.worker.runs

        run_virtual(scenario())
