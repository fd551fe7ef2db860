"""
Tests of an owner that was paused while another process became the owner.
"""

import asyncio

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
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._start_permit import StartPermit
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
    steps=(StepPlan(task_count=1, processor_millis=1_000),),
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
            permit = StartPermit(JumpingClock())
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
            permit = StartPermit(clock)
            before = permit.mark()
            clock.jump_ms = PAUSE_MS
            assert not permit.is_valid
            permit.confirm(before)
            assert not permit.is_valid
            permit.confirm(permit.mark())
            assert permit.is_valid

        run_virtual(scenario())


class TestPausedOwner:
    """
    A start that was queued before a pause of the owner.
    """

    def test_it_is_not_sent_after_the_pause(self):
        """
        Guards against a task that runs twice: its new owner started it too.
        """
        assert not self._started_after(PAUSE_MS)

    def test_it_is_sent_without_a_pause(self):
        """
        Guards against a check that holds back all starts.
        """
        assert len(self._started_after(0)) == 1

    def _started_after(self, pause_ms):
        worker = ObedientWorker()

        async def scenario():
            clock = JumpingClock()
            shard = Shard(
                's0',
                epoch=1,
                clock=clock,
                log=DecisionLog('n0', lines_per_s=10**6),
            )
            state = WorkerState(ENTRY)
            shard.workers['w0'] = state
            job = shard.add_job(PLAN)
            task = next(job.tasks())
            shard.start_run(task, state, reason='test')
            clock.jump_ms = pause_ms
            link = WorkerLink(
                state,
                worker,
                shard=shard,
                listings=ListingReconciler(shard),
                timings=WorkerTimings(),
            )
            running = asyncio.ensure_future(link.run())
            await asyncio.sleep(1.0)
            running.cancel()

        run_virtual(scenario())
        return worker.started
