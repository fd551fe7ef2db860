"""
Runs of batch tasks: starting, controlling and ending them.
"""

from dataclasses import replace

from hawthornpier.messages import (
    EventKind,
    TaskAction,
    TaskOutcome,
    TaskResult,
    TaskStart,
    TaskState,
)
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._errors import OwnerError
from hawthornpier.owner._job_state import (
    JobTable,
    TaskEntry,
    new_run_id,
    with_slot,
)
from hawthornpier.owner._link import LeasedRun, WorkerLink
from hawthornpier.policy import (
    EvictTask,
    PlaceTask,
    RejectTask,
    ThrottleTask,
)


class TaskRunner:
    """
    Starts runs as the policy decides and records their outcomes.
    """

    def __init__(self, context: ShardContext, table: JobTable) -> None:
        self._context = context
        self._table = table
        self._run_count = 0
        self._is_closed = False

    def close(self) -> None:
        """
        Start no more runs; current runs continue under their leases.
        """
        self._is_closed = True

    # Decisions of the policy.

    def place(self, decision: PlaceTask) -> None:
        """
        Start a task on the worker that the policy chose.
        """
        task = self._require_task(decision.task_id)
        task.is_queued = False
        self._run_count += 1
        task.run_id = new_run_id(
            self._context.shard,
            self._context.epoch,
            self._run_count,
        )
        task.worker_id = decision.worker_id
        if self._is_closed:
            self._requeue(task, TaskResult.STOPPED)
        elif task.job.is_idempotent:
            self._start(task)
        else:
            self._context.tasks.spawn(self._start_at_most_once(task))

    def throttle(self, decision: ThrottleTask) -> None:
        """
        Throttle a running task or remove its throttle.
        """
        action = (
            TaskAction.THROTTLE if decision.is_throttled else TaskAction.RESUME
        )
        task = self._require_task(decision.task_id)
        self.control(task, action)
        self._record(EventKind.TASK_THROTTLED, task, action.value)

    def evict(self, decision: EvictTask) -> None:
        """
        Have the worker take a checkpoint and end the run of a task.
        """
        task = self._require_task(decision.task_id)
        self.control(task, TaskAction.EVICT)
        self._record(EventKind.TASK_EVICTED, task, decision.reason)

    def reject(self, decision: RejectTask) -> None:
        """
        End a task that can never run as failed.
        """
        task = self._require_task(decision.task_id)
        self.end(task, TaskState.FAILED, decision.reason)

    # Events reported by the links.

    def handle_refused_start(self, run: LeasedRun) -> None:
        """
        Queue a task again after its run failed to start.
        """
        task = self._table.task_of_run(run.task_id, run.run_id)
        if task is not None:
            self._requeue(task, TaskResult.STOPPED)

    def handle_missing_run(self, run: LeasedRun) -> None:
        """
        Handle a run that has ended without a known outcome.

        An idempotent task is queued again, unless this has happened too often:
        it may crash each worker that starts it.  Any other task ends as
        unknown.
        """
        task = self._table.task_of_run(run.task_id, run.run_id)
        if task is None:
            return
        if not task.job.is_idempotent:
            self.end(
                task, TaskState.UNKNOWN, 'the run ended without a known outcome'
            )
            return
        duration_ms = self._context.now_ms() - run.sent_ms
        timing = self._context.timing
        count = task.count_interruption(
            is_early=duration_ms < timing.interruption_window_ms,
        )
        if count >= timing.max_interruptions:
            self.end(
                task,
                TaskState.FAILED,
                f'{count} runs in succession ended with or on their worker',
            )
            return
        row = task.chunk_put(self._context.shard)
        self._context.tasks.spawn(self._context.commit_with_retries(row))
        self._requeue(task, TaskResult.LEASE_LAPSED)

    def handle_run_end(self, link: WorkerLink, outcome: TaskOutcome) -> None:
        """
        Record the outcome of a run, then acknowledge it to the worker.
        """
        task = self._table.task_of_run(outcome.task_id, outcome.run_id)
        if task is None:
            task = self._adopt_ended_run(link, outcome)
        if task is None:
            # The outcome is already on record, or it is obsolete because
            # the task has ended or has a later run.
            link.acknowledge(outcome.run_id)
            return
        self._record(
            EventKind.TASK_ENDED,
            task,
            f'{outcome.run_id} {outcome.result.value}',
        )
        self._context.policy.end_task(
            task.task_id,
            outcome.result,
            self._context.now_ms(),
        )
        task.apply(
            outcome,
            max_attempts=self._context.timing.max_task_attempts,
        )
        self._context.tasks.spawn(self._record_end(task, link, outcome.run_id))

    # Other changes to a task.

    def queue(self, task: TaskEntry) -> None:
        """
        Add the task to the policy's queue unless it is already there.
        """
        if task.is_queued:
            return
        task.is_queued = True
        self._context.policy.add_task(task.demand(), self._context.now_ms())

    def cancel(self, task: TaskEntry) -> None:
        """
        Stop or end a task of a cancelled job.
        """
        if task.is_finished:
            return
        if task.run_id:
            self.control(task, TaskAction.STOP)
        else:
            self.end(task, TaskState.CANCELLED, '')

    def end(self, task: TaskEntry, state: TaskState, detail: str) -> None:
        """
        End a task that no worker is running and record its final state.
        """
        now_ms = self._context.now_ms()
        if task.run_id:
            self._context.policy.end_task(
                task.task_id,
                TaskResult.STOPPED,
                now_ms,
            )
        self._context.policy.cancel_task(task.task_id, now_ms)
        task.is_queued = False
        task.run_id = ''
        task.record = replace(task.record, state=state, detail=detail)
        row = task.chunk_put(self._context.shard)
        self._context.tasks.spawn(self._context.commit_with_retries(row))

    def control(self, task: TaskEntry, action: TaskAction) -> None:
        """
        Have the task's worker apply *action* to the current run, if any.
        """
        link = self._context.links.get(task.worker_id)
        if link is not None and task.run_id:
            link.control(task.run_id, action)

    def _require_task(self, task_id: str) -> TaskEntry:
        task = self._table.task(task_id)
        if task is None:
            raise KeyError(
                f'the policy made a decision on unknown task {task_id}'
            )
        return task

    def _adopt_ended_run(
        self,
        link: WorkerLink,
        outcome: TaskOutcome,
    ) -> TaskEntry | None:
        """
        Adopt a run of an earlier owner that has ended with *outcome*.

        Returns:
            The task, or None if the outcome is obsolete or on record.
        """
        task = self._table.task(outcome.task_id)
        if task is None or not task.is_waiting:
            return None
        if not task.is_new_outcome(outcome):
            return None
        self._context.policy.cancel_task(task.task_id, self._context.now_ms())
        task.is_queued = False
        task.run_id = outcome.run_id
        task.worker_id = link.worker_id
        return task

    async def _record_end(
        self,
        task: TaskEntry,
        link: WorkerLink,
        run_id: str,
    ) -> None:
        """
        Make the outcome of a run durable, then queue an unfinished task.
        """
        row = task.chunk_put(self._context.shard)
        if not await self._context.commit_with_retries(row):
            return
        link.acknowledge(run_id)
        task.run_id = ''
        task.worker_id = ''
        if not task.is_finished:
            self._queue_or_cancel(task)

    def _queue_or_cancel(self, task: TaskEntry) -> None:
        if task.job.is_cancelled:
            self.end(task, TaskState.CANCELLED, '')
        else:
            self.queue(task)

    def _requeue(self, task: TaskEntry, result: TaskResult) -> None:
        self._context.policy.end_task(
            task.task_id,
            result,
            self._context.now_ms(),
        )
        task.run_id = ''
        task.worker_id = ''
        task.clear_start_intent()
        self._context.tasks.spawn(self._queue_after_delay(task))

    async def _queue_after_delay(self, task: TaskEntry) -> None:
        # The delay keeps a worker that rejects starts from getting the same
        # task again immediately.
        await self._context.clock.sleep_ms(
            self._context.timing.status_poll_interval_ms,
        )
        if task.is_waiting:
            self._queue_or_cancel(task)

    async def _start_at_most_once(self, task: TaskEntry) -> None:
        """
        Start a task that is not idempotent after recording the intent.
        """
        task.record = replace(
            task.record,
            state=TaskState.RUNNING,
            run_id=task.run_id,
            worker_id=task.worker_id,
        )
        try:
            await self._context.commit(task.chunk_put(self._context.shard))
        except OwnerError:
            # No start was sent, so the task can be queued again even if the
            # intent was recorded.
            self._requeue(task, TaskResult.STOPPED)
            return
        if task.job.is_cancelled:
            self._requeue(task, TaskResult.STOPPED)
            return
        self._start(task)

    def _start(self, task: TaskEntry) -> None:
        spec = task.job.job_record.spec
        self._context.links[task.worker_id].start(
            TaskStart(
                run_id=task.run_id,
                task_id=task.task_id,
                member=spec.member,
                workload=spec.workload,
                demand=with_slot(spec.demand),
                lease_ms=self._context.timing.task_lease_ms,
                work_ms=spec.work_ms or spec.declared_work_ms,
                checkpoint=task.record.checkpoint,
            ),
        )
        self._record(EventKind.TASK_STARTED, task, task.run_id)

    def _record(self, kind: EventKind, task: TaskEntry, detail: str) -> None:
        self._context.events.record(
            kind,
            shard=self._context.shard,
            worker_id=task.worker_id,
            task_id=task.task_id,
            member=task.job.job_record.spec.member,
            detail=detail,
        )
