"""
Tests of how a shard's owner runs batch jobs.

G1 to G6 are the guarantees listed in README.md.
"""

import asyncio
import itertools

from owner_harness import TASK_DEMAND, OwnerHarness, job_of, request_of
from virtual_time import run_virtual

from hawthornpier.messages import (
    Answer,
    EventKind,
    JobView,
    RowPut,
    TaskState,
    Transaction,
)
from hawthornpier.owner import OwnerError, ShardOwner, newest_job_ids
from hawthornpier.owner._job_state import new_run_id
from hawthornpier.policy import EvictTask
from hawthornpier.ports import WorkerReplyLostError
from hawthornpier_standin.history import (
    Guarantee,
    Record,
    RecordKind,
    check_history,
)
from hawthornpier_standin.platform import StoreFaults
from hawthornpier_standin.workers import WorkerFaults

_CHECKED_GUARANTEES = frozenset(
    (
        Guarantee.CAPACITY,
        Guarantee.SINGLE_PLACEMENT,
        Guarantee.RESUME_ONCE,
    )
)


def _states(view: JobView | None) -> set[TaskState]:
    assert view is not None
    return {task.state for task in view.tasks}


def _violations(harness: OwnerHarness) -> list[str]:
    """
    Return the violations of the checked guarantees in the history.
    """
    report = check_history(harness.history)
    return [
        str(violation)
        for violation in report.violations
        if violation.guarantee in _CHECKED_GUARANTEES
    ]


def _count_starts(history: list[Record]) -> int:
    return sum(record.kind is RecordKind.RUN_STARTED for record in history)


async def _wait_for_job_end(
    harness: OwnerHarness,
    owner: ShardOwner,
    job_id: str = 'j',
    limit_ms: int = 120_000,
) -> JobView:
    """
    Wait until every task of the job has ended.
    """
    for _ in range(limit_ms // 100):
        view = owner.jobs.view(job_id)
        if view and _states(view) <= {
            TaskState.DONE,
            TaskState.FAILED,
            TaskState.CANCELLED,
            TaskState.UNKNOWN,
        }:
            return view
        await harness.clock.sleep_ms(100)
    raise AssertionError(f'the job did not end: {owner.jobs.view(job_id)}')


async def _inject_fault(
    harness: OwnerHarness,
    owner: ShardOwner,
    number: int,
) -> ShardOwner:
    """
    Inject one of four faults; return the owner that serves the shard then.
    """
    kind = number % 4
    if kind == 0:
        await owner.close()
        return await harness.new_owner()
    if kind == 1:
        worker = harness.workers[f'w{number % 3}']
        worker.apply_faults(WorkerFaults(is_silent=True))
    elif kind == 2:
        harness.store.apply_faults(StoreFaults(lost_answer_count=3))
    else:
        harness.set_store_outage(is_out=True)
        await harness.clock.sleep_ms(2_000)
        harness.set_store_outage(is_out=False)
    return owner


class TestJobs:
    """
    Jobs without faults.
    """

    def test_more_tasks_than_slots_all_end(self) -> None:
        """
        Every task of a job ends once, and requests are answered meanwhile.
        """

        async def scenario() -> tuple[OwnerHarness, JobView, object]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(40, work_ms=2_000))
            outcome = await owner.serve(request_of('op'))
            return harness, await _wait_for_job_end(harness, owner), outcome

        harness, view, outcome = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        evictions = sum(task.eviction_count for task in view.tasks)
        assert _count_starts(harness.history) == 40 + evictions
        assert isinstance(outcome, Answer)

    def test_repeated_submission_is_one_job(self) -> None:
        """
        A submission whose reply was lost can be repeated; the same job id
        creates no second job.
        """

        async def scenario() -> tuple[OwnerHarness, int]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await asyncio.gather(
                owner.submit_job('j', job_of(2, work_ms=500)),
                owner.submit_job('j', job_of(2, work_ms=500)),
            )
            await _wait_for_job_end(harness, owner)
            return harness, len(owner.jobs.views())

        harness, job_count = run_virtual(scenario())
        assert job_count == 1
        assert _count_starts(harness.history) == 2

    def test_cancelled_job_has_no_running_tasks(self) -> None:
        """
        All running and queued tasks of a cancelled job end.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(40, work_ms=60_000))
            await harness.clock.sleep_ms(2_000)
            await owner.cancel_job('j')
            view = await _wait_for_job_end(harness, owner, limit_ms=10_000)
            return harness, view

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.CANCELLED}
        charged = [worker.charged for worker in harness.workers.values()]
        assert all(amount.slot_count == 0 for amount in charged)


class TestEviction:
    """
    Evicted tasks are resumed exactly once.
    """

    def test_eviction_resumes_from_its_checkpoint(self) -> None:
        """
        G3: an evicted task resumes from its checkpoint exactly once.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(1, work_ms=5_000))
            await harness.clock.sleep_ms(2_000)
            task = owner.jobs.view('j').tasks[0]
            owner.jobs.runner.evict(
                EvictTask(
                    task_id=task.task_id,
                    worker_id=task.worker_id,
                    reason='test',
                ),
            )
            return harness, await _wait_for_job_end(harness, owner)

        harness, view = run_virtual(scenario())
        started = [
            record
            for record in harness.history
            if record.kind is RecordKind.RUN_STARTED
        ]
        assert _states(view) == {TaskState.DONE}
        assert view.tasks[0].eviction_count == 1
        assert len(started) == 2
        assert started[1].checkpoint

    def test_owner_killed_after_eviction_resumes_once(self) -> None:
        """
        G3: if the owner dies before it records an eviction, the next owner
        gets the outcome from the worker.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(1, work_ms=5_000))
            await harness.clock.sleep_ms(2_000)
            harness.set_store_outage(is_out=True)
            task = owner.jobs.view('j').tasks[0]
            owner.jobs.runner.evict(
                EvictTask(
                    task_id=task.task_id,
                    worker_id=task.worker_id,
                    reason='test',
                ),
            )
            await harness.clock.sleep_ms(2_000)
            await owner.close()
            harness.set_store_outage(is_out=False)
            successor = await harness.new_owner()
            return harness, await _wait_for_job_end(harness, successor)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert _count_starts(harness.history) == 2
        assert not _violations(harness)


class TestOwnerChange:
    """
    A new owner adopts the runs on the workers.
    """

    def test_running_tasks_are_adopted(self) -> None:
        """
        G2: tasks that are running when the owner dies are not started again.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(30, work_ms=8_000))
            await harness.clock.sleep_ms(3_000)
            await owner.close()
            successor = await harness.new_owner()
            return harness, await _wait_for_job_end(harness, successor)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert _count_starts(harness.history) == 30
        assert not _violations(harness)

    def test_resumed_deposed_owner_starts_nothing(self) -> None:
        """
        G2: if an owner was paused past its lease and then continues, all
        workers that its successor has fenced reject its messages.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            deposed_owner = await harness.new_owner()
            await deposed_owner.submit_job('j', job_of(30, work_ms=4_000))
            await harness.clock.sleep_ms(3_000)
            successor = await harness.new_owner()
            view = await _wait_for_job_end(harness, successor)
            await deposed_owner.close()
            return harness, view

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert not _violations(harness)
        assert _count_starts(harness.history) == 30

    def test_worker_unreachable_during_owner_change(self) -> None:
        """
        G2: tasks that may be running on an unreachable worker start elsewhere
        only after the worker's leases have expired.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(20, work_ms=30_000))
            await harness.clock.sleep_ms(3_000)
            await owner.close()
            harness.workers['w0'].apply_faults(WorkerFaults(is_silent=True))
            successor = await harness.new_owner()
            return harness, await _wait_for_job_end(harness, successor)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert not _violations(harness)

    def test_paused_worker_resumes_after_its_tasks_moved(self) -> None:
        """
        G2: a worker that was paused until its leases expired does not
        continue tasks that have been started elsewhere.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(20, work_ms=30_000))
            await harness.clock.sleep_ms(3_000)
            harness.workers['w0'].apply_faults(WorkerFaults(is_paused=True))
            await harness.clock.sleep_ms(40_000)
            harness.workers['w0'].apply_faults(WorkerFaults())
            return harness, await _wait_for_job_end(harness, owner)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert not _violations(harness)

    def test_nothing_is_sent_to_a_worker_that_was_leaving(self) -> None:
        """
        Guards against a new owner that uses a worker until its first report.
        """

        async def scenario() -> tuple[list[str], JobView]:
            harness = OwnerHarness(worker_count=2)
            leaving = harness.workers['w0']
            leaving.apply_faults(WorkerFaults(is_leaving=True))
            sent = []

            async def record(message: object) -> object:
                sent.append(str(message))
                raise WorkerReplyLostError('not expected')

            leaving.start = record
            leaving.request = record
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(2))
            requests = [request_of(f'o{index}') for index in range(9)]
            outcomes = await asyncio.gather(*map(owner.serve, requests))
            assert all(isinstance(each, Answer) for each in outcomes)
            return sent, await _wait_for_job_end(harness, owner)

        sent, view = run_virtual(scenario())
        assert not sent
        assert _states(view) == {TaskState.DONE}


class TestUnreadableRecords:
    """
    A record that the next owner cannot read.
    """

    def test_owner_opens_once_the_row_is_repaired(self) -> None:
        """
        Guards against a shard that stays closed for no visible reason.
        """

        async def scenario() -> tuple[object, list[EventKind], list[str]]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(2))
            await owner.close()
            row = (await harness.store.scan('job/'))[0]
            await _write(harness, RowPut(key=row.key, text='{'))
            opening = asyncio.ensure_future(harness.new_owner())
            await harness.clock.sleep_ms(2_000)
            listed = newest_job_ids(await harness.store.scan('job/'), 'm')
            await _write(harness, RowPut(key=row.key, text=row.text))
            successor = await asyncio.wait_for(opening, 2)
            return successor.jobs.view('j'), harness.events.kinds, listed

        view, kinds, listed = run_virtual(scenario())
        assert view is not None
        assert kinds.count(EventKind.ROW_UNREADABLE) == 1
        assert not listed


async def _write(harness: OwnerHarness, row: RowPut) -> None:
    await harness.store.transact(
        Transaction(transaction_id=f'test.{row.text}', puts=(row,)),
    )


class TestNonIdempotentTasks:
    """
    Tasks that run at most once.
    """

    def test_lost_worker_makes_state_unknown(self) -> None:
        """
        G6: a task that is not idempotent is not started again after its
        worker was lost.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job(
                'j',
                job_of(1, work_ms=5_000, is_idempotent=False),
            )
            await harness.clock.sleep_ms(2_000)
            worker_id = owner.jobs.view('j').tasks[0].worker_id
            harness.workers[worker_id].apply_faults(
                WorkerFaults(is_dead=True),
            )
            return harness, await _wait_for_job_end(harness, owner)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.UNKNOWN}
        assert _count_starts(harness.history) == 1

    def test_new_owner_does_not_start_task_again(self) -> None:
        """
        G6: a task that is not idempotent runs once across a change of owner.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job(
                'j',
                job_of(6, work_ms=4_000, is_idempotent=False),
            )
            await harness.clock.sleep_ms(1_000)
            await owner.close()
            successor = await harness.new_owner()
            return harness, await _wait_for_job_end(harness, successor)

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.DONE}
        assert _count_starts(harness.history) == 6


class TestCrashingTask:
    """
    A task that crashes each worker that starts it.
    """

    def test_it_does_not_crash_worker_after_worker(self) -> None:
        """
        Guards against unlimited starts of a task that crashes its workers.
        """

        async def scenario() -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness(worker_count=8)
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(1, work_ms=5_000))
            for _ in range(1_500):
                await harness.clock.sleep_ms(100)
                worker_id = owner.jobs.view('j').tasks[0].worker_id
                if worker_id:
                    harness.workers[worker_id].apply_faults(
                        WorkerFaults(is_dead=True),
                    )
            return harness, owner.jobs.view('j')

        harness, view = run_virtual(scenario())
        assert _states(view) == {TaskState.FAILED}
        assert _count_starts(harness.history) <= 5


class TestCombinedFaults:
    """
    Sequences of faults that are derived from a seed.
    """

    def test_no_task_is_lost_or_duplicated(self) -> None:
        """
        G2, G3: while owners, workers and the store fail in turn, every task
        ends once and never runs on two workers at the same time.
        """

        async def scenario(seed: int) -> tuple[OwnerHarness, JobView]:
            harness = OwnerHarness(seed=seed)
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(24, work_ms=9_000))
            for step in range(4):
                await harness.clock.sleep_ms(1_500 + 400 * seed)
                owner = await _inject_fault(harness, owner, seed + step)
            for worker in harness.workers.values():
                worker.apply_faults(WorkerFaults())
            return harness, await _wait_for_job_end(harness, owner)

        for seed in range(8):
            harness, view = run_virtual(scenario(seed))
            assert _states(view) == {TaskState.DONE}, seed
            assert not _violations(harness), seed

    def test_job_is_rejected_during_store_outage(self) -> None:
        """
        A job that could not be recorded is not accepted.
        """

        async def scenario() -> bool:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            harness.set_store_outage(is_out=True)
            try:
                await owner.submit_job('j', job_of(1))
            except OwnerError:
                return owner.jobs.view('j') is None
            return False

        assert run_virtual(scenario())


class TestRunIds:
    """
    Uniqueness of run ids.
    """

    def test_shards_never_share_a_run_id(self) -> None:
        """
        G2: run ids of two shards with the same epoch differ, so that neither
        workers nor checkers confuse their runs.
        """
        run_ids = {
            new_run_id(shard, epoch, count)
            for shard in ('ipoh/0', 'ipoh/1', 'kuching/0')
            for epoch, count in ((1, 1), (1, 11), (11, 1), (11, 11))
        }
        assert len(run_ids) == 12


class TestDemand:
    """
    Resources reserved for tasks.
    """

    def test_charges_never_exceed_a_worker(self) -> None:
        """
        G1: the runs on a worker never exceed its processors.
        """

        async def scenario() -> list[Record]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            await owner.submit_job('j', job_of(60, work_ms=1_000))
            await _wait_for_job_end(harness, owner)
            return harness.history

        history = run_virtual(scenario())
        deltas = {RecordKind.RUN_STARTED: 1, RecordKind.RUN_ENDED: -1}
        for worker_id in ('w0', 'w1', 'w2'):
            held = itertools.accumulate(
                deltas.get(record.kind, 0)
                for record in history
                if record.worker_id == worker_id
            )
            limit = 32_000 // TASK_DEMAND.processor_millis
            assert max(held) <= limit
