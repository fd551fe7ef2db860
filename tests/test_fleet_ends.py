"""
Tests of how an owner learns of the ends of runs of earlier epochs.
"""

import asyncio
import dataclasses

import msgspec
import pytest
from fake_store import virtual_tests
from fleet_rows import QUEUE
from fleet_world import World
from virtual_time import JumpingClock

from hawthornpier.events import DecisionLog
from hawthornpier.fleet import (
    EndedRun,
    OrderReply,
    RunningRun,
    Verdict,
    WorkerEntry,
    WorkerListing,
    WorkerTimings,
)
from hawthornpier.fleet._listings import ListingReconciler
from hawthornpier.fleet._shard import Shard
from hawthornpier.fleet._worker_link import WorkerLink
from hawthornpier.fleet._worker_state import WorkerState
from hawthornpier.ports import WorkerReplyLostError
from hawthornpier.steps import (
    JobPhase,
    JobPlan,
    RunOutcome,
    StepPlan,
    encode_progress,
)
from hawthornpier_standin.fleet import WorkerFault

JOB_ID = '00000000000000aa'
UNKNOWN_ID = '00000000000000bb'
PLAN = JobPlan(
    job_id=JOB_ID,
    payload='payload',
    steps=(StepPlan(task_count=2, processor_millis=1_000),),
    queue=dataclasses.replace(QUEUE, max_attempts=2),
)


def task_key(index, job_id=JOB_ID):
    return f'{job_id}.0.0.{index}'


def shard_with(plan=PLAN, *, epoch=2):
    shard = Shard(
        's0',
        epoch=epoch,
        clock=JumpingClock(),
        log=DecisionLog('n0'),
    )
    shard.add_job(plan, is_from_earlier_epoch=True)
    return shard


def add_worker(shard):
    worker = WorkerState(
        WorkerEntry(
            worker_id='w0',
            service='desk',
            address='w0',
            failure_domain='z',
            processor_millis=8_000,
            memory_mb=64_000,
            accelerator_count=0,
            incarnation_ms=1,
        ),
    )
    shard.workers['w0'] = worker
    return worker


def listing_of(*ended):
    return WorkerListing(
        incarnation_ms=1,
        clock_ms=1_000,
        running=(),
        ended=tuple(
            EndedRun(
                number=number,
                task_key=key,
                attempt=attempt,
                kind=outcome,
                checkpoint='',
            )
            for number, (key, attempt, outcome) in enumerate(ended, start=1)
        ),
    )


class RestartedPort:
    """
    A connection on which the next incarnation of a worker replies.
    """

    async def renew(self, renewal):
        await asyncio.sleep(0.01)
        return msgspec.structs.replace(listing_of(), incarnation_ms=2)

    async def start(self, order):
        await asyncio.sleep(0.02)
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=5)


class RestartingPort:
    """
    A worker that lists one end, then restarts and executes a start.
    """

    def __init__(self):
        self.acknowledged_numbers = []

    async def renew(self, renewal):
        self.acknowledged_numbers.append(renewal.acknowledged_number)
        await asyncio.sleep(0.01)
        return listing_of((task_key(0), 1, RunOutcome.DONE))

    async def start(self, order):
        await asyncio.sleep(0.02)
        return OrderReply(verdict=Verdict.ACCEPTED, clock_ms=5)


class LostStartPort(RestartingPort):
    """
    A worker that restarts, executes a start without a reply, and ends the run.
    """

    def __init__(self):
        super().__init__()
        self._has_started = False

    async def renew(self, renewal):
        listing = await super().renew(renewal)
        if self._has_started:
            return msgspec.structs.replace(listing, incarnation_ms=2)
        return listing

    async def start(self, order):
        self._has_started = True
        await asyncio.sleep(0.02)
        raise WorkerReplyLostError('the worker closed the connection')


class TestHandedOverEnds:
    """
    The ends in a handover and those that workers list add up.
    """

    @pytest.mark.parametrize(
        ('handed_over', 'listed', 'phase'),
        [
            (
                (task_key(0), 1, RunOutcome.FAILED),
                (task_key(0), 2, RunOutcome.FAILED),
                JobPhase.FAILED,
            ),
            (
                (task_key(0), 1, RunOutcome.DONE),
                (task_key(1), 1, RunOutcome.DONE),
                JobPhase.COMPLETED,
            ),
        ],
    )
    async def test_the_job_ends(self, handed_over, listed, phase):
        """
        Guards against a task started beyond its attempts, and a job that hangs.

        The new owner has a worker's listing before the handover, and the
        previous owner could not store the other end.
        """
        shard, previous = shard_with(), shard_with(epoch=1)
        for owner, (key, *end) in ((previous, handed_over), (shard, listed)):
            owner.record_outcome(owner.find_task(key), *end, '')
        shard.apply_handover_progress(
            JOB_ID, encode_progress(previous.jobs[JOB_ID])
        )
        assert shard.jobs[JOB_ID].end_phase is phase


class TestListedEnds:
    """
    Ends that a worker lists are applied before the tasks may start again.
    """

    async def test_ends_after_one_of_an_unknown_job_count(self):
        """
        Guards against a task that runs again although its end was listed.

        The worker lists the end of a run of a job that this owner does not
        know yet, before the ends of runs of a job that it knows.
        """
        shard = shard_with()
        worker = add_worker(shard)
        run = shard.start_run(
            shard.find_task(task_key(1)), worker, reason='test'
        )
        shard.confirm_run(run)
        ListingReconciler(shard).apply(
            worker,
            listing_of(
                (task_key(0, UNKNOWN_ID), 1, RunOutcome.DONE),
                (task_key(0), 1, RunOutcome.DONE),
                (task_key(1), run.attempt, RunOutcome.FAILED),
            ),
            shard.now_ms + 1,
        )
        assert shard.find_task(task_key(0)).is_done
        assert shard.find_task(task_key(1)).failed_count == 1
        assert not worker.processed_number

    async def test_ends_wait_for_a_read_of_the_jobs(self):
        """
        Guards against an end that is dropped while the store is out.

        The job was accepted and started after this owner had read the jobs.
        """
        shard = shard_with()
        worker = add_worker(shard)
        reconciler = ListingReconciler(shard)
        listing = listing_of((task_key(0, UNKNOWN_ID), 1, RunOutcome.DONE))
        for _ in range(3):
            reconciler.apply(worker, listing, shard.now_ms)
            shard.clock.jump_ms += 3_000
        assert not worker.processed_number
        shard.add_job(dataclasses.replace(PLAN, job_id=UNKNOWN_ID))
        assert shard.find_task(task_key(0, UNKNOWN_ID)).is_done

    async def test_a_listed_run_of_a_removed_worker_is_ignored(self):
        """
        Guards against a task that never starts, because a run on a worker that
        has been removed is added to it once its job is known.
        """
        shard = shard_with()
        worker = add_worker(shard)
        row = RunningRun(
            task_key=task_key(0, UNKNOWN_ID),
            attempt=1_001,
            checkpoint='',
            percent=50,
        )
        listing = WorkerListing(
            incarnation_ms=1, clock_ms=1_000, running=(row,), ended=()
        )
        ListingReconciler(shard).apply(worker, listing, shard.now_ms)
        del shard.workers[worker.worker_id]
        shard.add_job(dataclasses.replace(PLAN, job_id=UNKNOWN_ID))
        assert shard.find_task(task_key(0, UNKNOWN_ID)).is_waiting


@virtual_tests(World)
class TestDeferredEnds:
    """
    A worker with ends that cannot be applied yet is not asked in a loop.
    """

    async def test_the_worker_is_asked_at_intervals(self, world):
        """
        Guards against requests to a worker without a pause between them.
        """
        await world.wait_first_owner()
        worker = world.workers['w0']
        end = (task_key(0, UNKNOWN_ID), 1, RunOutcome.DONE)
        worker.ended_runs.extend(listing_of(end).ended)
        earlier_count = worker.renewal_count
        await world.run_for(2_000)
        assert worker.renewal_count < earlier_count + 10


async def fail_on_restarted_workers(world):
    """
    Submit a job that may not be tried again, as all workers but one restart.

    That one is reachable only after the start, and the others not for a while.
    """
    other, *restarted = world.workers.values()
    other.fault = WorkerFault.RESET
    await world.run_for(100)
    for worker in restarted:
        worker.crash()
        worker.restart()
    plan = world.plan(
        StepPlan(task_count=1),
        work_ms=10,
        failures=(((0, 0), 3),),
        max_attempts=1,
    )
    earlier_count = world.checker.started_count
    await world.any_node().entry.submit(plan)
    await world.wait_starts(earlier_count + 1)
    await world.run_for(200)
    other.fault = WorkerFault.NONE
    for worker in restarted:
        worker.fault = WorkerFault.PARTITIONED
    await world.run_for(3_000)
    for worker in restarted:
        worker.fault = WorkerFault.NONE
    await world.wait_phase(plan.job_id, JobPhase.FAILED)
    assert world.checker.started_count == earlier_count + 1


@virtual_tests(World)
class TestRestartedWorkers:
    """
    Ends on a worker that restarted under its id count.

    The start reaches the new incarnation before the registry shows it.
    """

    async def test_failed_runs_count(self, world):
        """
        Guards against a task that is started again after its last attempt.
        """
        await world.wait_first_owner()
        await fail_on_restarted_workers(world)

    async def test_ends_are_not_acknowledged_unseen(self, world):
        """
        Guards against ends that are acknowledged by numbers of earlier ones.

        The owner has acknowledged more runs of the previous incarnation than
        have ended on the new one.
        """
        await world.wait_first_owner()
        shard = world.owner().local_shard()
        for state in shard.workers.values():
            state.processed_number = 9
            state.acknowledged_number = 9
        worker = world.workers['w0']
        worker.crash()
        worker.restart()
        await world.run_for(100)
        end = (task_key(0, UNKNOWN_ID), 1, RunOutcome.DONE)
        worker.ended_runs.extend(listing_of(end).ended)
        await world.run_for(1_000)
        assert worker.ended_runs


class TestRepliesOfRestartedWorkers:
    """
    Only a listing tells which incarnation of a worker replies.
    """

    async def test_a_start_reply_does_not_make_the_worker_usable(self):
        """
        Guards against starts on an incarnation that the registry has not named.
        """
        shard = shard_with(epoch=1)
        worker = add_worker(shard)
        worker.is_listed = True
        worker.is_recorded = True
        run = shard.start_run(shard.find_task(task_key(0)), worker, reason='t')
        link = WorkerLink(
            worker,
            RestartedPort(),
            shard=shard,
            listings=ListingReconciler(shard),
            timings=WorkerTimings(),
        )
        task = asyncio.create_task(link.run())
        async with asyncio.timeout(2):
            while not run.is_delivered:
                await asyncio.sleep(0)
        task.cancel()
        assert not worker.is_usable

    async def test_a_lost_start_reply_stops_acknowledgements(self):
        """
        Guards against an end that the next incarnation drops unlisted.
        """
        run, port = await self._start_as_it_restarts(LostStartPort())
        assert not run.is_delivered
        assert set(port.acknowledged_numbers) == {0}

    async def test_a_start_reply_shows_that_the_clock_began_anew(self):
        """
        Guards against numbers of ends that cover those of the next incarnation.

        It has executed a start, whose end it may number 1, too.
        """
        run, port = await self._start_as_it_restarts(RestartingPort())
        assert run.is_delivered
        assert port.acknowledged_numbers == [0, 0, 0]

    async def _start_as_it_restarts(self, port):
        shard = shard_with(epoch=1)
        worker = add_worker(shard)
        link = WorkerLink(
            worker,
            port,
            shard=shard,
            listings=ListingReconciler(shard),
            timings=WorkerTimings(),
        )
        task = asyncio.create_task(link.run())
        while len(port.acknowledged_numbers) < 2:
            await asyncio.sleep(0.02)
        run = shard.start_run(shard.find_task(task_key(1)), worker, reason='t')
        await asyncio.sleep(0.05)
        worker.acknowledged_number = worker.processed_number
        worker.acknowledged.set()
        await asyncio.sleep(0.005)
        task.cancel()
        return run, port
