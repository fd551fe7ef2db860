"""
The jobs of a shard, as its owner holds them in memory.
"""

import functools
from collections.abc import Iterator, Sequence

from hawthornpier.fleet._changed_jobs import ChangedJobs
from hawthornpier.fleet._divided_rows import DividedRows
from hawthornpier.fleet._durations import DurationEstimator
from hawthornpier.ports import Clock
from hawthornpier.steps import Job, QueuePolicy, Task, encode_task_progress


class JobIndex:
    """
    Accepted jobs, and which of them have changes to write to the store.

    Args:
        clock: The clock of this process.
        row_bytes: The largest content of a row of the store.
    """

    def __init__(self, clock: Clock, row_bytes: int) -> None:
        self.clock = clock
        self.row_bytes = row_bytes
        self.jobs: dict[str, Job] = {}
        # Those of them that were not seen to have ended.
        self._active_jobs: dict[str, Job] = {}
        # When the last successful read of the accepted jobs was requested.
        self.jobs_read_ms: float = 0
        self.durations = DurationEstimator()
        # Jobs whose progress has to be written, and jobs in a write that
        # has not succeeded yet.
        self.dirty = ChangedJobs()
        self.writing: set[str] = set()
        # The queues of the current configuration, by name.
        self.queues: dict[str, QueuePolicy] = {}
        # Cancellations of jobs that are not known, and when they were read.
        self.early_cancellations: dict[str, float] = {}
        # Rows of progress that have still to be deleted from the store, by
        # key; the other rows of these jobs are deleted already.
        self.removed_rows: list[str] = []
        # The rows that the progress of each job occupies.
        self._progress_rows: dict[str, DividedRows] = {}

    @property
    def now_ms(self) -> float:
        """
        Return the time of the owner's monotonic clock.
        """
        return self.clock.monotonic_ms()

    def find_task(self, task_key: str) -> Task | None:
        """
        Return the task with this key, or None if it is not known.
        """
        parts = task_key.split('.')
        job = self.jobs.get(parts[0])
        if job is None or len(parts) != 4:
            return None
        try:
            return job.find(int(parts[1]), int(parts[2]), int(parts[3]))
        except ValueError:
            return None

    def mark_dirty(self, task: Task) -> None:
        """
        Have the progress of a task's job stored, unless the job was removed.
        """
        job_id = task.step.job.plan.job_id
        if job_id in self.jobs:
            self.dirty.add(job_id)

    def index_job(self, job: Job) -> None:
        """
        Add a job that is not known yet.
        """
        job_id = job.plan.job_id
        self.jobs[job_id] = job
        self._active_jobs[job_id] = job

    def active_jobs(self) -> Iterator[Job]:
        """
        Yield the jobs that have neither ended nor been cancelled.

        A job that has ended stays so.  It is known for minutes, but passed over
        only once.
        """
        for job_id, job in tuple(self._active_jobs.items()):
            if job.is_terminal:
                self._active_jobs.pop(job_id, None)
            else:
                yield job

    def is_active(self, job_id: str) -> bool:
        """
        Return whether `active_jobs` yields a job unless it has ended.
        """
        return job_id in self._active_jobs

    def expired_jobs(self, retention_ms: float) -> list[str]:
        """
        Return the removable jobs that ended more than *retention_ms* ago.
        """
        oldest_ms = self.now_ms - retention_ms
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.ended_ms < oldest_ms and job.is_removable
        ]

    def expired_cancellations(self, retention_ms: float) -> list[str]:
        """
        Return the unknown jobs that were cancelled *retention_ms* ago.
        """
        oldest_ms = self.now_ms - retention_ms
        return [
            job_id
            for job_id, read_ms in self.early_cancellations.items()
            if read_ms < oldest_ms
        ]

    def remove_job(self, job_id: str) -> None:
        """
        Remove a job; the next write deletes its progress from the store.
        """
        self.jobs.pop(job_id, None)
        self._active_jobs.pop(job_id, None)
        self.dirty.discard(job_id)
        self.durations.forget_job(job_id)
        self.removed_rows.extend(self.progress_rows(job_id).keys)
        self._progress_rows.pop(job_id)

    def progress_rows(self, job_id: str) -> DividedRows:
        """
        Return the rows that the progress of a job occupies.
        """
        rows = self._progress_rows.get(job_id)
        if rows is None:
            rows = DividedRows(job_id, self.row_bytes)
            self._progress_rows[job_id] = rows
        return rows

    def changed_progress(self, job_id: str) -> list[tuple[str, bytes]]:
        """
        Return the rows of a job's progress to write, the last one first.
        """
        job = self.jobs[job_id]
        tasks = tuple(job.tasks())

        return self.progress_rows(job_id).changed(
            tasks, range(len(tasks)), functools.partial(_encode_tasks, job)
        )

    def service_of(self, job: Job) -> str:
        """
        Return the service whose workers execute a job's tasks.
        """
        queue = self.queues.get(job.plan.queue.name, job.plan.queue)
        return queue.service

    def pending_count(self, queue: str) -> int:
        """
        Return how many accepted jobs of a queue have not started.
        """
        return sum(
            1
            for job in self.active_jobs()
            if job.plan.queue.name == queue and not job.has_started
        )


def _encode_tasks(
    job: Job, members: Sequence[Task], *, is_first: bool
) -> bytes:
    return encode_task_progress(job, members, has_phase=is_first)
