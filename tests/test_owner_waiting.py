"""
Tests that accepted tasks start once a worker can run them.
"""

import asyncio

import pytest
from owner_harness import OwnerHarness, job_of, request_of
from virtual_time import run_virtual

from hawthornpier.messages import Answer, TaskState
from hawthornpier.owner import ShardOwner
from hawthornpier_standin.workers import WorkerFaults


async def _job_states(
    harness: OwnerHarness,
    owner: ShardOwner,
    wait_ms: int,
) -> set[TaskState]:
    """
    Return the states of the tasks of job j after *wait_ms*.
    """
    await harness.clock.sleep_ms(wait_ms)
    view = owner.jobs.view('j')
    assert view is not None
    return {task.state for task in view.tasks}


class TestWaitingTasks:
    """
    Tasks of a shard with one worker, which recovers from a fault.
    """

    def test_ejected_endpoint_does_not_stop_batch_work(self) -> None:
        """
        Tasks start on a worker whose endpoint is ejected.

        Guards against batch work that waits for a request to end the ejection,
        which may never come.
        """

        async def scenario() -> set[TaskState]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(fails_all=True))
            for index in range(5):
                outcome = await owner.serve(request_of(f'op-{index}'))
                assert not isinstance(outcome, Answer)
            worker.apply_faults(WorkerFaults())
            await owner.submit_job('j', job_of(2, work_ms=1_000))
            return await _job_states(harness, owner, 20_000)

        assert run_virtual(scenario()) == {TaskState.DONE}

    def test_unsent_starts_do_not_mark_a_worker_as_leaving(self) -> None:
        """
        A worker that did not reply for some seconds gets work again.

        Guards against starts that were never sent and count as refused by a
        leaving worker, which excludes it for as long as the owner lives.
        """

        async def scenario() -> set[TaskState]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(is_paused=True))
            await owner.submit_job('i', job_of(2))
            await harness.clock.sleep_ms(2_500)
            await owner.submit_job('j', job_of(2))
            await harness.clock.sleep_ms(6_000)
            worker.apply_faults(WorkerFaults())
            return await _job_states(harness, owner, 20_000)

        assert run_virtual(scenario()) == {TaskState.DONE}

    def test_task_that_failed_on_every_worker_runs_again(self) -> None:
        """
        A task that failed on the only worker is repeated there.

        Guards against tasks that wait without end for another worker, and are
        not given up either.
        """

        async def scenario() -> set[TaskState]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            worker.apply_faults(WorkerFaults(fails_all=True))
            await owner.submit_job('j', job_of(2, work_ms=1_000))
            await harness.clock.sleep_ms(2_000)
            worker.apply_faults(WorkerFaults())
            return await _job_states(harness, owner, 40_000)

        assert run_virtual(scenario()) == {TaskState.DONE}


class TestUnexpectedErrors:
    """
    Errors in the background tasks of an owner with one worker.
    """

    @pytest.mark.parametrize('method', ['renew', 'report', 'start'])
    @pytest.mark.parametrize(
        'error', [RuntimeError('x'), asyncio.CancelledError()]
    )
    def test_worker_is_used_after_an_error(
        self,
        method: str,
        error: BaseException,
    ) -> None:
        """
        Guards against one error that ends all exchange with a worker.
        """

        async def scenario() -> set[TaskState]:
            harness = OwnerHarness(worker_count=1)
            owner = await harness.new_owner()
            worker = harness.workers['w0']
            call = getattr(worker, method)
            errors = [error]

            async def fail_once(*arguments: object) -> object:
                if errors:
                    raise errors.pop()
                return await call(*arguments)

            setattr(worker, method, fail_once)
            await owner.submit_job('j', job_of(2, work_ms=1_000))
            states = await _job_states(harness, owner, 30_000)
            assert not errors
            return states

        assert run_virtual(scenario()) == {TaskState.DONE}
