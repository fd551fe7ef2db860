"""
Tests of how a shard's owner serves callers' requests.

G1 to G6 are the guarantees listed in README.md.
"""

import asyncio

import pytest
from owner_harness import OwnerHarness, job_of, request_of
from virtual_time import run_virtual

from hawthornpier.messages import Answer, NotRun, Unknown
from hawthornpier.owner import OwnerTiming, ShardClosedError
from hawthornpier.ports import StoreError
from hawthornpier_standin.history import RecordKind
from hawthornpier_standin.platform import StoreFaults
from hawthornpier_standin.workers import WorkerFaults


def _count_executions(harness: OwnerHarness, key: str = '') -> int:
    return sum(
        record.kind is RecordKind.EXECUTION_STARTED
        and record.idempotency_key == key
        for record in harness.history
    )


class TestIdempotentRequests:
    """
    Requests without an idempotency key.
    """

    def test_answer_belongs_to_the_request(self) -> None:
        """
        G4: concurrent callers get the answers to their own requests.
        """

        async def scenario() -> list[Answer]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            outcomes = await asyncio.gather(
                *(owner.serve(request_of(f'op-{index}')) for index in range(9)),
            )
            return list(outcomes)

        outcomes = run_virtual(scenario())
        assert all(
            isinstance(outcome, Answer) and f'op-{index}' in outcome.body
            for index, outcome in enumerate(outcomes)
        )

    def test_stale_and_truncated_replies_are_not_returned(self) -> None:
        """
        G4: a reply to another request or a truncated one is never returned.
        """

        async def scenario() -> list[object]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            await owner.serve(request_of('first'))
            harness.workers['w0'].apply_faults(
                WorkerFaults(stale_reply_count=1, truncated_reply_count=1),
            )
            return [
                await owner.serve(request_of(f'op-{name}')) for name in 'abc'
            ]

        outcomes = run_virtual(scenario())
        for name, outcome in zip('abc', outcomes, strict=True):
            assert not isinstance(outcome, Answer) or (
                f'op-{name}' in outcome.body
            )
        assert any(isinstance(outcome, Answer) for outcome in outcomes)

    def test_lost_reply_keeps_the_slot_charged(self) -> None:
        """
        G1: the slot of a request whose reply was lost stays reserved, so that
        the worker is not overcommitted.
        """

        async def scenario() -> tuple[int, object]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            harness.workers['w0'].apply_faults(WorkerFaults(is_silent=True))
            outcome = await owner.serve(
                request_of('lost', remaining_ms=500),
            )
            return owner.load().free_slot_count, outcome

        free_slot_count, outcome = run_virtual(scenario())
        assert free_slot_count < 8
        assert isinstance(outcome, Unknown)

    def test_unreachable_worker_causes_retry_on_another(self) -> None:
        """
        An idempotent request is retried when its worker is unreachable.
        """

        async def scenario() -> object:
            harness = OwnerHarness(worker_count=2)
            owner = await harness.new_owner()
            harness.workers['w0'].apply_faults(WorkerFaults(is_dead=True))
            return [
                await owner.serve(request_of(f'op-{index}'))
                for index in range(4)
            ]

        assert all(
            isinstance(outcome, Answer) for outcome in run_virtual(scenario())
        )

    def test_request_refused_after_the_owner_closed_ends(self) -> None:
        """
        Guards against a retry that waits in the queue of a closed owner.
        """

        async def scenario() -> object:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(delivery_delay_ms=500))
            pending = asyncio.ensure_future(owner.serve(request_of('a')))
            await harness.clock.sleep_ms(100)
            worker.apply_faults(WorkerFaults())
            await harness.new_owner()
            await owner.close()
            return await asyncio.wait_for(pending, 5)

        assert isinstance(run_virtual(scenario()), NotRun)

    def test_closed_owner_polls_no_worker(self) -> None:
        """
        Guards against polls without end after the loss of a shard.
        """

        async def scenario() -> set[asyncio.Task[object]]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(is_silent=True))
            pending = asyncio.ensure_future(owner.serve(request_of('a')))
            await harness.clock.sleep_ms(100)
            await owner.close()
            assert isinstance(await pending, Unknown)
            worker.apply_faults(WorkerFaults(is_dead=True))
            await harness.clock.sleep_ms(60_000)
            return asyncio.all_tasks() - {asyncio.current_task()}

        assert not run_virtual(scenario())


class TestKeyedRequests:
    """
    Requests with an idempotency key.
    """

    def test_repeat_gets_the_first_outcome(self) -> None:
        """
        G6: concurrent and later repeats of a key run once and agree.
        """

        async def scenario() -> tuple[set[str], int]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            outcomes = list(
                await asyncio.gather(
                    *(owner.serve(request_of('o', key='k')) for _ in range(5)),
                ),
            )
            outcomes.append(await owner.serve(request_of('o', key='k')))
            return (
                {outcome.body for outcome in outcomes},
                _count_executions(harness, 'k'),
            )

        bodies, executions = run_virtual(scenario())
        assert len(bodies) == 1
        assert executions == 1

    def test_store_outage_rejects_before_sending(self) -> None:
        """
        G5, G6: if the intent cannot be recorded, the request is not sent and
        its outcome is `NotRun`.
        """

        async def scenario() -> tuple[object, int, object]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            harness.set_store_outage(is_out=True)
            refused = await owner.serve(request_of('o', key='k'))
            executions = _count_executions(harness, 'k')
            harness.set_store_outage(is_out=False)
            return (
                refused,
                executions,
                await owner.serve(
                    request_of('o', key='k'),
                ),
            )

        refused, executions, repeated = run_virtual(scenario())
        assert isinstance(refused, NotRun)
        assert executions == 0
        assert isinstance(repeated, Answer)

    def test_next_owner_returns_the_first_outcome(self) -> None:
        """
        G6: a later owner returns the outcome that an earlier one recorded.
        """

        async def scenario() -> tuple[Answer, Answer, int]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            first = await owner.serve(request_of('o', key='k'))
            await owner.close()
            successor = await harness.new_owner()
            second = await successor.serve(request_of('o', key='k'))
            return first, second, _count_executions(harness, 'k')

        first, second, executions = run_virtual(scenario())
        assert first.body == second.body
        assert executions == 1

    def test_service_that_is_missing_in_the_owners_table(self) -> None:
        """
        Guards against a key without an outcome after a change of the table.
        """

        async def scenario() -> object:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            request = request_of('o', key='k')
            harness.catalog.is_empty = True
            with pytest.raises(ShardClosedError):
                await owner.serve(request)
            harness.catalog.is_empty = False
            pending = asyncio.ensure_future(owner.serve(request))
            await asyncio.sleep(0)
            harness.catalog.is_empty = True
            return await pending

        assert isinstance(run_virtual(scenario()), Answer)

    def test_owner_killed_between_intent_and_outcome(self) -> None:
        """
        G6: the next owner gets the outcome from the worker and does not run
        the request again.
        """

        async def scenario() -> tuple[object, int]:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            harness.store.apply_faults(StoreFaults(added_delay_ms=1))
            serving = asyncio.ensure_future(
                owner.serve(request_of('o', key='k')),
            )
            while not _count_executions(harness, 'k'):
                await harness.clock.sleep_ms(1)
            await owner.close()
            serving.cancel()
            successor = await harness.new_owner()
            outcome = await successor.serve(
                request_of('o', key='k', remaining_ms=10_000),
            )
            return outcome, _count_executions(harness, 'k')

        outcome, executions = run_virtual(scenario())
        assert isinstance(outcome, Answer)
        assert executions == 1

    def test_deposed_owner_sends_nothing(self) -> None:
        """
        G6: an owner that has lost the shard without detecting it cannot
        record an intent, so it does not run a request that its successor may
        run.
        """

        async def scenario() -> tuple[object, int]:
            harness = OwnerHarness()
            deposed_owner = await harness.new_owner()
            await harness.new_owner()
            outcome = await deposed_owner.serve(request_of('o', key='k'))
            return outcome, _count_executions(harness, 'k')

        outcome, executions = run_virtual(scenario())
        assert isinstance(outcome, NotRun)
        assert executions == 0

    def test_lost_reply_is_resolved_later(self) -> None:
        """
        G6: the outcome of a request whose reply was lost is unknown until the
        worker reports it; the request is not executed a second time.
        """

        async def scenario() -> tuple[object, object, int]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(is_silent=True))
            lost = await owner.serve(
                request_of('o', key='k', remaining_ms=1_000),
            )
            worker.apply_faults(WorkerFaults())
            later = await owner.serve(
                request_of('o', key='k', remaining_ms=10_000),
            )
            return lost, later, _count_executions(harness, 'k')

        lost, later, executions = run_virtual(scenario())
        assert isinstance(lost, Unknown)
        assert isinstance(later, Answer)
        assert executions == 1


class TestStoreErrors:
    """
    Errors of the store during a request.
    """

    def test_store_errors_are_not_raised(self) -> None:
        """
        An error of the store becomes an outcome and is not raised.
        """

        async def scenario() -> object:
            harness = OwnerHarness()
            owner = await harness.new_owner()
            harness.store.apply_faults(StoreFaults(lost_answer_count=1))
            try:
                return await owner.serve(request_of('o', key='k'))
            except StoreError as error:
                return error

        assert isinstance(run_virtual(scenario()), NotRun)


class TestRetention:
    """
    Deletion of ended work after the retention time.
    """

    def test_rows_and_memory_stay_bounded(self) -> None:
        """
        Outcomes and finished jobs past the retention time are deleted; a
        later outcome is still returned to a repeated request.
        """

        async def scenario() -> tuple[set[str], object, int]:
            harness = OwnerHarness()
            owner = await harness.new_owner(
                OwnerTiming(retention_ms=120_000, purge_interval_ms=10_000),
            )
            await owner.serve(request_of('old', key='old'))
            await owner.submit_job('j', job_of(2, work_ms=500))
            await harness.clock.sleep_ms(100_000)
            await owner.serve(request_of('young', key='young'))
            await harness.clock.sleep_ms(50_000)
            repeated = await owner.serve(request_of('again', key='young'))
            rows = await harness.store.scan('')
            kinds = {row.key.partition('/')[0] for row in rows}
            return kinds, repeated, _count_executions(harness, 'young')

        kinds, repeated, executions = run_virtual(scenario())
        assert kinds == {'owner', 'workers', 'intent'}
        assert isinstance(repeated, Answer)
        assert executions == 1
