"""
The batch jobs of a shard: acceptance, cancellation and recovery.
"""

from collections.abc import Iterable
from dataclasses import replace

from hawthornpier.messages import EventKind, JobSpec, JobView, TaskState
from hawthornpier.owner._context import ShardContext
from hawthornpier.owner._job_state import JobEntry, JobTable, TaskEntry
from hawthornpier.owner._link import WorkerLink
from hawthornpier.owner._records import (
    TASKS_PER_CHUNK,
    JobRecord,
    TaskChunk,
    chunk_key,
    job_key,
    put,
)
from hawthornpier.owner._runs import TaskRunner


class JobRegistry:
    """
    Holds the jobs of the shard and the state of their tasks.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._table = JobTable()
        self.runner = TaskRunner(context, self._table)

    def load(
        self,
        jobs: Iterable[JobRecord],
        chunks: Iterable[TaskChunk],
    ) -> None:
        """
        Load the jobs that earlier owners recorded, without queueing tasks.
        """
        for job_record in jobs:
            self._table.add(job_record)
        for chunk in chunks:
            job = self._table.job(chunk.job_id)
            if job is None:
                continue
            for offset, task_record in enumerate(chunk.tasks):
                job.tasks[chunk.first_index + offset].record = task_record

    async def submit(self, job_id: str, spec: JobSpec) -> JobView:
        """
        Accept a job durably; return the accepted job if *job_id* is known.

        Raises:
            OwnerError: The job was not accepted, or it is unknown whether it
                was.
        """
        job = self._table.job(job_id)
        if job is None:
            job_record = JobRecord(
                job_id=job_id,
                spec=spec,
                accepted_wall_ms=self._context.clock.wall_ms(),
            )
            row = put(job_key(self._context.shard, job_id), job_record)
            await self._context.commit(row)
            # A concurrent submission with the same id may have been accepted
            # during the commit.
            job = self._table.job(job_id) or self._accept(job_record)
        return self._view(job)

    async def cancel(self, job_id: str) -> JobView | None:
        """
        Cancel a job durably and stop its running tasks.

        Returns:
            The job, or None if its id is unknown.

        Raises:
            OwnerError: The cancellation was not recorded, or it is unknown
                whether it was.
        """
        job = self._table.job(job_id)
        if job is None:
            return None
        if not job.is_cancelled:
            cancelled = replace(job.job_record, is_cancelled=True)
            row = put(job_key(self._context.shard, job_id), cancelled)
            await self._context.commit(row)
            job.job_record = cancelled
            self._record(EventKind.JOB_CANCELLED, job)
            for task in job.tasks:
                self.runner.cancel(task)
        return self._view(job)

    def view(self, job_id: str) -> JobView | None:
        """
        Return the job's description for operators, or None if unknown.
        """
        job = self._table.job(job_id)
        return None if job is None else self._view(job)

    def views(self) -> tuple[JobView, ...]:
        """
        Return the descriptions of all jobs.
        """
        return tuple(self._view(job) for job in self._table.jobs())

    def adopt_run(self, link: WorkerLink, run_id: str, task_id: str) -> bool:
        """
        Adopt a run that a worker reported after the fence.

        Returns:
            False if the run belongs to no task that may run; the caller must
            stop it.
        """
        task = self._table.task(task_id)
        if task is None:
            return False
        if task.run_id == run_id:
            return True
        if task.job.is_cancelled or not task.is_waiting:
            return False
        task.is_queued = False
        task.run_id = run_id
        task.worker_id = link.worker_id
        self._context.policy.cancel_task(task_id, self._context.now_ms())
        self._context.policy.adopt_task(
            task.demand(),
            link.worker_id,
            self._context.now_ms(),
        )
        link.adopt_run(run_id, task_id)
        self._context.events.record(
            EventKind.TASK_ADOPTED,
            shard=self._context.shard,
            worker_id=link.worker_id,
            task_id=task_id,
            detail=run_id,
        )
        return True

    async def purge(self) -> None:
        """
        Delete finished jobs that were accepted before the retention cutoff.

        Raises:
            OwnerError: A job was not deleted, or it is unknown whether it was;
                the remaining jobs are kept.
        """
        cutoff_ms = self._context.retention_cutoff_ms()
        for job in tuple(self._table.jobs()):
            is_old = job.job_record.accepted_wall_ms < cutoff_ms
            if not (is_old and job.is_finished):
                continue
            shard = self._context.shard
            chunks = range(0, len(job.tasks), TASKS_PER_CHUNK)
            await self._context.commit(
                deletes=(
                    job_key(shard, job.job_id),
                    *(chunk_key(shard, job.job_id, first) for first in chunks),
                ),
            )
            self._table.remove(job)

    def queue_waiting_tasks(self) -> None:
        """
        Queue or end the tasks without a run after recovery.

        Call this only when no worker can still hold an unreported run.
        """
        for task in self._table.tasks():
            if task.is_waiting:
                self._queue_recovered(task)

    def _queue_recovered(self, task: TaskEntry) -> None:
        if task.job.is_cancelled:
            self.runner.end(task, TaskState.CANCELLED, '')
        elif task.record.state is TaskState.RUNNING:
            # Only a task that is not idempotent has a recorded start intent.
            # No worker holds the run or its outcome, so it may have run.
            self.runner.end(
                task,
                TaskState.UNKNOWN,
                'no worker holds the run or its outcome',
            )
        else:
            self.runner.queue(task)

    def _accept(self, job_record: JobRecord) -> JobEntry:
        job = self._table.add(job_record)
        self._record(EventKind.JOB_ACCEPTED, job)
        for task in job.tasks:
            self.runner.queue(task)
        return job

    def _view(self, job: JobEntry) -> JobView:
        waiting = next((task for task in job.tasks if task.is_waiting), None)
        return JobView(
            job_id=job.job_id,
            spec=job.job_record.spec,
            is_cancelled=job.is_cancelled,
            tasks=tuple(task.view() for task in job.tasks),
            waits_for=(
                self._context.policy.explain(waiting.task_id) if waiting else ''
            ),
        )

    def _record(self, kind: EventKind, job: JobEntry) -> None:
        self._context.events.record(
            kind,
            shard=self._context.shard,
            member=job.job_record.spec.member,
            detail=job.job_id,
        )
