"""
Tests of the simulated workers on virtual time.

G1 to G9 are the guarantees that README.md lists.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from virtual_time import VirtualClock, run_virtual

from hawthornpier import messages, ports
from hawthornpier_standin.history import Record, RecordKind
from hawthornpier_standin.workers import (
    Contention,
    MemoryWorker,
    ServiceTime,
    WorkerFaults,
    WorkerModel,
)

Resources, TaskOutcome = messages.Resources, messages.TaskOutcome
CAPACITY = Resources(processor_millis=8000, memory_bytes=100, slot_count=4)
DEMAND = Resources(processor_millis=100, memory_bytes=1, slot_count=1)
START = messages.TaskStart(
    run_id='',
    task_id='j/0',
    member='m',
    workload='plan',
    demand=DEMAND,
    lease_ms=15_000,
    work_ms=60_000,
)
QUIET = WorkerModel(
    noisy_share=0,
    quiet_coefficient=0,
    load_penalty=0,
    service_time=ServiceTime(median_ms=100, sigma=0),
)

Status, Verdict = messages.EndpointStatus, messages.StartVerdict
Action, Ended = messages.TaskAction, messages.TaskResult
NOISY = dataclasses.replace(QUIET, noisy_share=1, noisy_coefficient=90)
Scenario = Callable[[Any, 'WorkerHarness'], Awaitable[None]]


class WorkerHarness:
    """
    A worker under test, with its history records.

    The methods act as an owner whose epoch is 1.
    """

    def __init__(self, **options: Any) -> None:
        self.clock = VirtualClock()
        self.records: list[Record] = []
        self.worker = MemoryWorker(
            worker_id='w',
            capacity=CAPACITY,
            clock=self.clock,
            seed=1,
            recorder=self.records.append,
            **{'model': QUIET, **options},
        )

    async def start(self, run_id: str, **changes: Any) -> Verdict:
        """
        Start a run and return the verdict.
        """
        start = dataclasses.replace(START, run_id=run_id, **changes)
        batch = messages.StartBatch(shard='s1', epoch=1, starts=(start,))
        return (await self.worker.start(batch)).verdicts[0]

    async def outcomes(self, *acknowledged: str) -> dict[str, TaskOutcome]:
        """
        Acknowledge outcomes and return the others by run id.

        The renewal extends no lease.
        """
        reply = await self.worker.renew(renewal(acknowledged=acknowledged))
        return {outcome.run_id: outcome for outcome in reply.outcomes}

    async def control(self, run_id: str, action: Action) -> str:
        """
        Apply an action that must be accepted; return the detail of the reply.
        """
        reply = await self.worker.control(
            messages.TaskControl(
                shard='s1', epoch=1, run_id=run_id, action=action
            )
        )
        assert reply.is_accepted
        return reply.detail

    async def fence(self, epoch: int, shard: str = 's1') -> messages.FenceReply:
        """
        Send a fence with an epoch.
        """
        return await self.worker.fence(messages.Fence(shard=shard, epoch=epoch))

    def kinds(self) -> list[RecordKind]:
        """
        Return the kinds of the history records.
        """
        return [record.kind for record in self.records]


def renewal(
    *run_ids: str, acknowledged: tuple[str, ...] = ()
) -> messages.LeaseRenewal:
    """
    Return a renewal that extends the leases to 15 s from now.
    """
    return messages.LeaseRenewal(
        shard='s1',
        epoch=1,
        lease_ms=15_000,
        run_ids=run_ids,
        acknowledged_run_ids=acknowledged,
    )


def request_of(
    request_id: str, *, key: str = '', deadline_ms: int = 60_000
) -> messages.EndpointRequest:
    """
    Return a request whose body contains a multi-byte character.
    """
    return messages.EndpointRequest(
        request_id=request_id,
        service='stock',
        shard='s1',
        epoch=1,
        demand=DEMAND,
        deadline_ms=deadline_ms,
        body='{"operation": "op-ü"}',
        idempotency_key=key,
    )


def virtual(**options: Any) -> Callable[[Scenario], Callable[[Any], None]]:
    """
    Run a test on virtual time, with a worker that has these options.
    """

    def decorate(scenario: Scenario) -> Callable[[Any], None]:
        async def run(case: Any) -> None:
            await scenario(case, WorkerHarness(**options))

        def test(case: Any) -> None:
            run_virtual(run(case))

        test.__doc__ = scenario.__doc__
        return test

    return decorate


class TestFencing:
    """
    A worker accepts only the highest epoch that it has seen.
    """

    @virtual()
    async def test_an_owner_with_a_lower_epoch_is_rejected(
        self, harness: WorkerHarness
    ) -> None:
        """
        G2: after a fence, no message with a lower epoch takes effect.
        """
        worker = harness.worker
        await harness.start('1.1')
        await harness.fence(2)
        assert await harness.start('1.2') == Verdict.REFUSED_EPOCH
        assert not (await worker.renew(renewal('1.1'))).is_accepted
        control = messages.TaskControl(
            shard='s1', epoch=1, run_id='1.1', action=Action.STOP
        )
        assert not (await worker.control(control)).is_accepted
        reply = await worker.request(request_of('r1'))
        assert reply.status == Status.REFUSED_EPOCH
        lower = await harness.fence(1)
        assert (lower.is_accepted, lower.highest_epoch) == (False, 2)
        assert (await harness.fence(1, 's2')).is_accepted

    @virtual()
    async def test_a_fence_lists_runs_outcomes_and_requests(
        self, harness: WorkerHarness
    ) -> None:
        """
        A new owner gets the runs, outcomes and open requests of the old one.
        """
        await harness.start('1.1')
        await harness.start('1.2', work_ms=10)
        pending = asyncio.ensure_future(
            harness.worker.request(request_of('r1'))
        )
        await harness.clock.sleep_ms(50)
        held = await harness.fence(2)
        assert [run.run_id for run in held.running] == ['1.1']
        assert [end.run_id for end in held.outcomes] == ['1.2']
        assert [known.request_id for known in held.open_requests] == ['r1']
        assert (await pending).status == Status.ANSWERED

    @virtual()
    async def test_a_repeated_message_gets_the_first_reply(
        self, harness: WorkerHarness
    ) -> None:
        """
        G5: a run or request from before a fence is not reported as refused when
        its message is repeated after the fence.
        """
        await harness.start('1.1', work_ms=10)
        first = await harness.worker.request(request_of('r1'))
        await harness.fence(2)
        assert await harness.start('1.1') == Verdict.STARTED
        assert await harness.worker.request(request_of('r1')) == first
        assert harness.kinds().count(RecordKind.RUN_STARTED) == 1
        assert harness.kinds().count(RecordKind.EXECUTION_STARTED) == 1

    @virtual(has_guards=False)
    async def test_without_guards_everything_is_accepted(
        self, harness: WorkerHarness
    ) -> None:
        """
        A worker without guards checks neither epochs nor its capacity.

        The scheduler is also tested on such platforms.
        """
        await harness.fence(2)
        verdicts = {await harness.start(f'1.{number}') for number in range(6)}
        assert verdicts == {Verdict.STARTED}
        assert not harness.worker.charged.fits_in(CAPACITY)

    @virtual()
    async def test_a_full_worker_refuses(self, harness: WorkerHarness) -> None:
        """
        G1: runs and requests together do not exceed the slots of a worker.
        """
        for number in range(4):
            await harness.start(f'1.{number}')
        assert await harness.start('1.9') == Verdict.REFUSED_CAPACITY
        reply = await harness.worker.request(request_of('r1'))
        assert reply.status == Status.REFUSED_CAPACITY
        state = await harness.worker.get_request_status('r1')
        assert state.status == Status.NEVER_SEEN


class TestRuns:
    """
    Runs progress under leases and resume from checkpoints.
    """

    @virtual()
    async def test_an_expired_lease_ends_the_run(
        self, harness: WorkerHarness
    ) -> None:
        """
        G2: a run ends at the time at which its lease expires.
        """
        await harness.start('1.1')
        await harness.clock.sleep_ms(10_000)
        reply = await harness.worker.renew(renewal('1.1', '1.2'))
        assert reply.renewed_run_ids == ('1.1',)
        await harness.clock.sleep_ms(14_000)
        assert not await harness.outcomes()
        await harness.clock.sleep_ms(2_000)
        ended = (await harness.outcomes())['1.1']
        assert ended.result == Ended.LEASE_LAPSED
        assert harness.records[-1].at_ms - harness.records[-2].at_ms == 25_000
        assert not (await harness.worker.renew(renewal('1.1'))).renewed_run_ids

    @virtual()
    async def test_a_run_makes_no_progress_after_its_lease(
        self, harness: WorkerHarness
    ) -> None:
        """
        G2: if the worker is paused until after the end of the lease, the run
        neither continues nor can be renewed.
        """
        await harness.start('1.1', work_ms=2_000)
        await harness.clock.sleep_ms(1_000)
        harness.worker.apply_faults(WorkerFaults(is_paused=True))
        late = asyncio.ensure_future(harness.worker.renew(renewal('1.1')))
        await harness.clock.sleep_ms(30_000)
        with pytest.raises(ports.WorkerReplyLostError):
            await late
        harness.worker.apply_faults(WorkerFaults())
        ended = (await harness.outcomes())['1.1']
        assert ended.result == Ended.LEASE_LAPSED
        assert ended.progress_ms <= 1_000
        assert harness.records[-1].at_ms - harness.records[-2].at_ms == 15_000

    @virtual()
    async def test_an_evicted_run_resumes_from_its_checkpoint(
        self, harness: WorkerHarness
    ) -> None:
        """
        G3: neither the progress before a checkpoint nor an unacknowledged
        outcome is lost.
        """
        await harness.start('1.1', work_ms=10_000)
        await harness.clock.sleep_ms(8_000)
        checkpoint = await harness.control('1.1', Action.EVICT)
        assert set(await harness.outcomes()) == {'1.1'}
        ended = (await harness.outcomes())['1.1']
        assert ended.result == Ended.EVICTED
        assert ended.checkpoint == checkpoint
        assert ended.progress_ms >= 7_000
        assert not await harness.outcomes('1.1')
        await harness.start('1.2', work_ms=10_000, checkpoint=checkpoint)
        await harness.clock.sleep_ms(3_100)
        assert (await harness.outcomes())['1.2'].result == Ended.DONE

    @virtual()
    async def test_actions_apply_to_one_run(
        self, harness: WorkerHarness
    ) -> None:
        """
        Throttling slows down the named run, and stopping ends it.

        The other runs on the worker are not affected.
        """
        for run_id in ('1.1', '1.2', '1.3'):
            await harness.start(run_id, work_ms=5_000)
        await harness.control('1.1', Action.THROTTLE)
        await harness.control('1.2', Action.STOP)
        await harness.clock.sleep_ms(6_000)
        ends = await harness.outcomes()
        assert ends['1.2'].result == Ended.STOPPED
        assert ends['1.3'].result == Ended.DONE
        assert '1.1' not in ends
        await harness.control('1.1', Action.RESUME)
        await harness.clock.sleep_ms(5_000)
        assert (await harness.outcomes())['1.1'].result == Ended.DONE


class TestRequests:
    """
    A request is served at most once, and its reply can be requested again.
    """

    @virtual()
    async def test_an_idempotency_key_is_served_once(
        self, harness: WorkerHarness
    ) -> None:
        """
        G6: a request with a repeated idempotency key gets the first reply, even
        while the first request is being served.
        """
        replies: list[messages.EndpointReply] = await asyncio.gather(
            harness.worker.request(request_of('r1', key='k')),
            harness.worker.request(request_of('r2', key='k')),
            harness.worker.request(request_of('r1', key='k')),
        )
        ids = [reply.request_id for reply in replies]
        assert ids == ['r1', 'r2', 'r1']
        assert len({reply.body for reply in replies}) == 1
        assert harness.kinds().count(RecordKind.EXECUTION_STARTED) == 1
        assert harness.records[-1].operation == 'op-ü'

    @virtual()
    async def test_the_status_is_available_after_the_deadline(
        self, harness: WorkerHarness
    ) -> None:
        """
        G5: after the deadline of a request, its status shows whether it is
        running or has ended.
        """
        with pytest.raises(ports.WorkerReplyLostError):
            await harness.worker.request(request_of('r1', deadline_ms=10))
        state = await harness.worker.get_request_status('r1')
        assert state.status == Status.RUNNING
        await harness.clock.sleep_ms(100)
        state = await harness.worker.get_request_status('r1')
        assert state.status == Status.ANSWERED
        await harness.clock.sleep_ms(QUIET.reply_retention_ms + 1)
        await harness.worker.request(request_of('r2'))
        state = await harness.worker.get_request_status('r1')
        assert state.status == Status.FAILED

    @virtual()
    async def test_wrong_replies_are_detectable(
        self, harness: WorkerHarness
    ) -> None:
        """
        G4: the request id and the length field reveal a wrong reply.
        """
        await harness.worker.request(request_of('r1'))
        harness.worker.apply_faults(
            WorkerFaults(stale_reply_count=1, truncated_reply_count=1)
        )
        stale = await harness.worker.request(request_of('r2'))
        assert stale.request_id == 'r1'
        truncated = await harness.worker.request(request_of('r3'))
        assert len(truncated.body.encode()) < truncated.body_bytes


class TestFaults:
    """
    Faults have their documented effects.
    """

    @virtual()
    async def test_a_dead_worker_loses_its_work(
        self, harness: WorkerHarness
    ) -> None:
        """
        The replies of open calls are lost, and later calls are not sent.
        """
        await harness.start('1.1')
        pending = asyncio.ensure_future(
            harness.worker.request(request_of('r1'))
        )
        await harness.clock.sleep_ms(10)
        harness.worker.apply_faults(WorkerFaults(is_dead=True))
        with pytest.raises(ports.WorkerReplyLostError):
            await pending
        with pytest.raises(ports.WorkerUnreachableError):
            await harness.worker.report()
        with pytest.raises(ValueError, match='stays dead'):
            harness.worker.apply_faults(WorkerFaults())
        ends = [RecordKind.RUN_ENDED, RecordKind.EXECUTION_ENDED]
        assert harness.kinds()[-3:] == [*ends, RecordKind.PROCESS_EXITED]

    @virtual()
    async def test_a_leaving_worker_rejects_new_work(
        self, harness: WorkerHarness
    ) -> None:
        """
        G7: a leaving worker rejects new runs and requests and states why.
        """
        harness.worker.apply_faults(WorkerFaults(is_leaving=True))
        assert await harness.start('1.1') == Verdict.REFUSED_LEAVING
        reply = await harness.worker.request(request_of('r1'))
        assert reply.status == Status.LEAVING
        assert (await harness.worker.report()).is_leaving
        assert RecordKind.ENDPOINT_LEAVING in harness.kinds()
        # Otherwise, the checker of G7 counts allowed work as a violation.
        with pytest.raises(ValueError, match='stays leaving'):
            harness.worker.apply_faults(WorkerFaults(is_silent=True))

    @virtual()
    async def test_failing_runs_and_requests_are_reported(
        self, harness: WorkerHarness
    ) -> None:
        """
        Runs and requests that start on a failing worker fail.

        A run that started before the fault continues. From the outcomes, the
        owner can distinguish a failing worker from a failing job.
        """
        await harness.start('1.1')
        harness.worker.apply_faults(WorkerFaults(fails_all=True))
        await harness.start('1.2')
        reply = await harness.worker.request(request_of('r1'))
        assert reply.status == Status.FAILED
        assert set(await harness.outcomes()) == {'1.2'}
        await harness.start('1.3', checkpoint='no checkpoint')
        await harness.clock.sleep_ms(100)
        assert '1.3' in await harness.outcomes()

    @virtual()
    async def test_a_delayed_start_is_rejected_after_a_fence(
        self, harness: WorkerHarness
    ) -> None:
        """
        G2: a start that its owner has given up arrives after a fence and has no
        effect.
        """
        harness.worker.apply_faults(WorkerFaults(delivery_delay_ms=5_000))
        with pytest.raises(ports.WorkerReplyLostError):
            await harness.start('1.1')
        harness.worker.apply_faults(WorkerFaults())
        await harness.fence(2)
        await harness.clock.sleep_ms(5_000)
        assert RecordKind.RUN_STARTED not in harness.kinds()


class TestContention:
    """
    Workloads on one worker slow down by interference and by load.
    """

    def test_pairs_differ_and_are_the_same_on_all_workers(self) -> None:
        """
        Two workloads interfere equally on all workers; some pairs, but fewer
        than half, interfere strongly.

        Otherwise, what the scheduler learns on one worker would not apply to
        the others.
        """
        model = WorkerModel(seed=7)
        pairs = [('stock', f'plan-{number}') for number in range(40)]
        both = [Contention(model=model, capacity=CAPACITY) for _ in range(2)]
        first, second = (
            [contention.coefficient(*pair) for pair in pairs]
            for contention in both
        )
        assert first == second
        noisy = sum(found == model.noisy_coefficient for found in first)
        assert 0 < noisy < len(pairs) / 2

    @virtual(model=NOISY)
    async def test_reports_show_interference_with_a_delay(
        self, harness: WorkerHarness
    ) -> None:
        """
        The scheduler gets latency samples only after the delay of the reports.
        """
        await harness.worker.request(request_of('r1'))
        await harness.start('1.1')
        await harness.worker.request(request_of('r2'))
        assert not (await harness.worker.report()).samples
        await harness.clock.sleep_ms(NOISY.report_lag_ms)
        report = await harness.worker.report()
        alone, beside = (sample.duration_ms for sample in report.samples)
        assert alone == pytest.approx(100, abs=2)
        assert beside > 120
        assert report.run_ids == ('1.1',)
        assert report.usage.processor_millis
