"""
In-memory state of the jobs and tasks of a shard.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from hawthornpier.messages import (
    Resources,
    RowPut,
    TaskOutcome,
    TaskResult,
    TaskState,
    TaskView,
)
from hawthornpier.owner._records import (
    TASKS_PER_CHUNK,
    JobRecord,
    TaskChunk,
    TaskRecord,
    chunk_key,
    put,
)
from hawthornpier.policy import TaskDemand

_FINISHED = frozenset(
    (
        TaskState.DONE,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.UNKNOWN,
    )
)

_STATE_BY_RESULT: Mapping[TaskResult, TaskState] = MappingProxyType(
    {
        TaskResult.DONE: TaskState.DONE,
        TaskResult.FAILED: TaskState.FAILED,
        TaskResult.EVICTED: TaskState.EVICTED,
        TaskResult.STOPPED: TaskState.CANCELLED,
        TaskResult.LEASE_LAPSED: TaskState.QUEUED,
    }
)


@dataclass(slots=True)
class JobEntry:
    """
    A job and its tasks.
    """

    job_record: JobRecord
    tasks: 'list[TaskEntry]' = field(default_factory=list)

    @property
    def job_id(self) -> str:
        """
        Return the id of the job.
        """
        return self.job_record.job_id

    @property
    def is_finished(self) -> bool:
        """
        Return whether no task of the job is running or will run again.
        """
        return all(task.is_finished and not task.run_id for task in self.tasks)

    @property
    def is_cancelled(self) -> bool:
        """
        Return whether the job was cancelled.
        """
        return self.job_record.is_cancelled

    @property
    def is_idempotent(self) -> bool:
        """
        Return whether a task of the job may be run more than once.
        """
        return self.job_record.spec.is_idempotent


@dataclass(slots=True)
class TaskEntry:
    """
    A task: its durable record and its current run, if any.

    *is_queued* is true while the task is in the policy's queue and prevents a
    second insertion.  *run_id* is empty if the task has no current run.
    """

    job: JobEntry
    index: int
    record: TaskRecord = TaskRecord()
    worker_id: str = ''
    run_id: str = ''
    is_queued: bool = False

    @property
    def task_id(self) -> str:
        """
        Return the id of the task.

        The policy extracts the job id from it.
        """
        return f'{self.job.job_id}/{self.index}'

    @property
    def is_finished(self) -> bool:
        """
        Return whether the task has ended for good.
        """
        return self.record.state in _FINISHED

    @property
    def is_waiting(self) -> bool:
        """
        Return whether the task has no current run and has yet to end.
        """
        return not self.run_id and not self.is_finished

    def demand(self) -> TaskDemand:
        """
        Return the description of the task for the policy.
        """
        spec = self.job.job_record.spec
        return TaskDemand(
            task_id=self.task_id,
            member=spec.member,
            workload=spec.workload,
            demand=with_slot(spec.demand),
            declared_work_ms=spec.declared_work_ms,
            done_work_ms=self.record.progress_ms,
            eviction_count=self.record.eviction_count,
            is_urgent=spec.is_urgent,
        )

    def view(self) -> TaskView:
        """
        Return the description of the task for operators.
        """
        state = self.record.state
        if self.run_id and not self.is_finished:
            state = TaskState.RUNNING
        return TaskView(
            task_id=self.task_id,
            state=state,
            worker_id=self.worker_id,
            run_id=self.run_id,
            eviction_count=self.record.eviction_count,
            detail=self.record.detail,
        )

    def chunk_put(self, shard: str) -> RowPut:
        """
        Return the write of the row that holds the task.
        """
        first_index = self.index - self.index % TASKS_PER_CHUNK
        chunk_tasks = self.job.tasks[
            first_index : first_index + TASKS_PER_CHUNK
        ]
        chunk = TaskChunk(
            job_id=self.job.job_id,
            first_index=first_index,
            tasks=tuple(task.record for task in chunk_tasks),
        )
        return put(chunk_key(shard, self.job.job_id, first_index), chunk)

    def clear_start_intent(self) -> None:
        """
        Clear the recorded intent to start a run that did not start.
        """
        if self.record.state is TaskState.RUNNING:
            has_checkpoint = bool(self.record.checkpoint)
            state = TaskState.EVICTED if has_checkpoint else TaskState.QUEUED
            self.record = replace(self.record, state=state)

    def count_interruption(self, *, is_early: bool) -> int:
        """
        Count a run that has ended without a known outcome.

        Args:
            is_early: Whether it ended soon after its start.

        Returns:
            How many runs in succession have ended so.
        """
        count = self.record.interruption_count + 1 if is_early else 0
        self.record = replace(self.record, interruption_count=count)
        return count

    def is_new_outcome(self, outcome: TaskOutcome) -> bool:
        """
        Return whether neither *outcome* nor a later run is on record.
        """
        if not self.record.run_id:
            return True
        if self.record.run_id == outcome.run_id:
            # The state is RUNNING if only the intent to start the run was
            # recorded, not its outcome.
            return self.record.state is TaskState.RUNNING
        return _run_sort_key(outcome.run_id) > _run_sort_key(self.record.run_id)

    def apply(self, outcome: TaskOutcome, *, max_attempts: int) -> None:
        """
        Update the record with the outcome of a run.

        A failed task is not retried if *max_attempts* runs have failed.
        """
        is_failure = outcome.result is TaskResult.FAILED
        is_eviction = outcome.result is TaskResult.EVICTED
        attempt_count = self.record.attempt_count + int(is_failure)
        self.record = replace(
            self.record,
            state=self._next_state(outcome, attempt_count >= max_attempts),
            checkpoint=outcome.checkpoint or self.record.checkpoint,
            progress_ms=max(self.record.progress_ms, outcome.progress_ms),
            eviction_count=self.record.eviction_count + int(is_eviction),
            attempt_count=attempt_count,
            run_id=outcome.run_id,
            detail=outcome.detail,
        )

    def _next_state(self, outcome: TaskOutcome, is_last: bool) -> TaskState:
        state = _STATE_BY_RESULT[outcome.result]
        is_idempotent = self.job.is_idempotent
        if outcome.result is TaskResult.FAILED:
            is_final = is_last or not is_idempotent
            state = TaskState.FAILED if is_final else TaskState.QUEUED
        if outcome.result is TaskResult.LEASE_LAPSED and not is_idempotent:
            state = TaskState.UNKNOWN
        if self.job.is_cancelled and state not in _FINISHED:
            return TaskState.CANCELLED
        return state


class JobTable:
    """
    An index of jobs and tasks by id.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, JobEntry] = {}
        self._tasks: dict[str, TaskEntry] = {}

    def add(self, job_record: JobRecord) -> JobEntry:
        """
        Add a job and create its tasks, none of which has run.
        """
        job = JobEntry(job_record)
        for index in range(job_record.spec.task_count):
            task = TaskEntry(job, index)
            job.tasks.append(task)
            self._tasks[task.task_id] = task
        self._jobs[job.job_id] = job
        return job

    def remove(self, job: JobEntry) -> None:
        """
        Remove a job and its tasks.
        """
        self._jobs.pop(job.job_id, None)
        for task in job.tasks:
            self._tasks.pop(task.task_id, None)

    def job(self, job_id: str) -> JobEntry | None:
        """
        Return the job, or None if its id is unknown.
        """
        return self._jobs.get(job_id)

    def task(self, task_id: str) -> TaskEntry | None:
        """
        Return the task, or None if its id is unknown.
        """
        return self._tasks.get(task_id)

    def task_of_run(self, task_id: str, run_id: str) -> TaskEntry | None:
        """
        Return the task, or None if *run_id* is not its current run.
        """
        task = self._tasks.get(task_id)
        if task is None or task.run_id != run_id:
            return None
        return task

    def jobs(self) -> Iterator[JobEntry]:
        """
        Iterate over all jobs.
        """
        return iter(self._jobs.values())

    def tasks(self) -> Iterator[TaskEntry]:
        """
        Iterate over the tasks of all jobs.
        """
        return iter(self._tasks.values())


def with_slot(demand: Resources) -> Resources:
    """
    Return *demand* with at least the one slot that each task occupies.
    """
    return replace(demand, slot_count=max(1, demand.slot_count))


def new_run_id(shard: str, epoch: int, run_count: int) -> str:
    """
    Return a run id that is unique across all shards and epochs.

    The id becomes part of URL paths, so the slash in the shard is replaced.
    """
    return f'{epoch}.{run_count}.{shard.replace("/", "~")}'


def _run_sort_key(run_id: str) -> tuple[int, int]:
    epoch, run_count, _shard = run_id.split('.', 2)
    return int(epoch), int(run_count)
