"""
Detection of faulty workers and faulty jobs.
"""

from dataclasses import dataclass, field
from typing import Any

from hawthornpier.policy._settings import Health

# Number of distinct jobs that must fail on a worker, without a success in
# between, before the worker is quarantined.
_QUARANTINE_JOB_COUNT = 5
# Number of distinct healthy workers on which a task must fail before it is
# considered faulty, and with it the whole job if none of its tasks succeeded.
_FAULTY_TASK_WORKER_COUNT = 3
# Limit on the records kept of each kind: workers, failed tasks, faulty jobs and
# succeeded jobs.  The oldest record is dropped first.
_MAX_RECORD_COUNT = 25_000
# First and longest quarantine of a worker.
_PROBATION_MS = 30_000
_MAX_PROBATION_MS = 3_600_000
# Number of consecutive failed requests before an endpoint is ejected.
_EJECT_REQUEST_COUNT = 5
# First and longest ejection of an endpoint.
_EJECT_MS = 5_000
_MAX_EJECT_MS = 300_000
# A task that has failed on every worker is tried again on one of them after
# this time, in which a failing worker shows by the tasks of other jobs.
_REPEAT_MS = 30_000
# A worker that refuses a request is sent no other requests for this long.
_REFUSAL_PAUSE_MS = 250


@dataclass(slots=True)
class _Probation:
    """
    Exclusion of a worker from placement, as by a circuit breaker.

    After the exclusion, single probes are placed on the worker.  A failed probe
    starts a longer exclusion; a successful one ends the probation.
    """

    base_ms: int
    max_ms: int
    backoff_exponent: int = 0
    until_ms: int = 0
    is_active: bool = False
    is_probing: bool = False

    def start(self, now_ms: int) -> None:
        """
        Exclude the worker from placement.

        Each repetition doubles the time, up to the maximum.
        """
        exclusion_ms = min(self.base_ms * 2**self.backoff_exponent, self.max_ms)
        self.backoff_exponent = min(self.backoff_exponent + 1, 16)
        self.until_ms = now_ms + exclusion_ms
        self.is_active = True
        self.is_probing = False

    def allows(self, now_ms: int) -> bool:
        """
        Return whether work may be placed on the worker now.

        Once the exclusion is over, one probe is allowed at a time.
        """
        if not self.is_active:
            return True
        return now_ms >= self.until_ms and not self.is_probing

    def clear(self) -> None:
        """
        End the probation after a success.

        Each success also halves the time of the next exclusion, down to the
        minimum.
        """
        self.is_active = False
        self.is_probing = False
        self.backoff_exponent = max(self.backoff_exponent - 1, 0)


@dataclass(slots=True)
class _WorkerRecord:
    """
    Recent failures on one worker, and its probation.

    A worker on probation for tasks is quarantined.  The endpoint of a worker on
    probation for requests is ejected.
    """

    failed_jobs: set[str] = field(default_factory=set)
    failed_request_count: int = 0
    refused_until_ms: int = 0
    task_probation: _Probation = field(
        default_factory=lambda: _Probation(_PROBATION_MS, _MAX_PROBATION_MS),
    )
    request_probation: _Probation = field(
        default_factory=lambda: _Probation(_EJECT_MS, _MAX_EJECT_MS),
    )


def job_of(task_id: str) -> str:
    """
    Return the id of a task's job: the task id up to its last slash.
    """
    job_id, _, index = task_id.rpartition('/')
    return job_id or index


class HealthTracker:
    """
    Attributes failures to workers or to jobs.

    A worker on which distinct jobs fail is quarantined, and the endpoint of one
    on which successive requests fail is ejected.  A task that fails on distinct
    healthy workers is reported as faulty.

    Args:
        choice: Whether failures have any effect on placement.
    """

    def __init__(self, *, choice: Health) -> None:
        self._is_enabled = choice is Health.QUARANTINE
        self._workers: dict[str, _WorkerRecord] = {}
        self._unusable: dict[str, None] = {}
        # By task, when it last failed on each worker.
        self._failed_workers: dict[str, dict[str, int]] = {}
        self._faulty_jobs: dict[str, None] = {}
        self._succeeded_jobs: dict[str, None] = {}

    def remove_worker(self, worker_id: str) -> None:
        """
        Discard the probes in flight on a worker that was removed.

        Its failures stay on record in case the worker comes back.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.task_probation.is_probing = False
            record.request_probation.is_probing = False

    def unusable_workers(self) -> tuple[str, ...]:
        """
        Return the workers on probation for tasks or for requests.
        """
        return tuple(self._unusable) if self._is_enabled else ()

    def is_healthy(self, worker_id: str) -> bool:
        """
        Return whether the worker is on no probation.
        """
        return not self._is_enabled or worker_id not in self._unusable

    def allows_task(self, worker_id: str, task_id: str, now_ms: int) -> bool:
        """
        Return whether the task may be placed on the worker.

        A task is not placed again on a worker on which it failed.
        """
        return self.accepts_tasks(worker_id, now_ms) and not self.has_failed_on(
            task_id,
            worker_id,
        )

    def accepts_tasks(self, worker_id: str, now_ms: int) -> bool:
        """
        Return whether the worker takes tasks, or a probe if quarantined.
        """
        record = self._workers.get(worker_id)
        if record is None or not self._is_enabled:
            return True
        return record.task_probation.allows(now_ms)

    def has_failed(self, task_id: str) -> bool:
        """
        Return whether the task has failed and may not run on every worker.
        """
        return self._is_enabled and task_id in self._failed_workers

    def has_failed_on(self, task_id: str, worker_id: str) -> bool:
        """
        Return whether the task has failed on the worker.
        """
        return self._is_enabled and worker_id in self._failed_workers.get(
            task_id, ()
        )

    def may_repeat(self, task_id: str, worker_id: str, now_ms: int) -> bool:
        """
        Return whether the task may run again on the worker it failed on.

        Call this only if the task could run on no other worker.
        """
        failed_ms = self._failed_workers[task_id][worker_id]
        return now_ms - failed_ms >= _REPEAT_MS

    def allows_request(self, worker_id: str, now_ms: int) -> bool:
        """
        Return whether a request may be placed on the worker.
        """
        record = self._workers.get(worker_id)
        if record is None or not self._is_enabled:
            return True
        return (
            record.refused_until_ms <= now_ms
            and record.request_probation.allows(
                now_ms,
            )
        )

    def is_quarantined(self, worker_id: str) -> bool:
        """
        Return whether the worker is on probation for tasks.
        """
        record = self._workers.get(worker_id)
        return (
            self._is_enabled
            and record is not None
            and record.task_probation.is_active
        )

    def fault_reason(self, task_id: str) -> str:
        """
        Return why a task is considered faulty, or '' if it is not.
        """
        if not self._is_enabled:
            return ''
        job_id = job_of(task_id)
        if job_id in self._faulty_jobs:
            return f'job {job_id} failed on several healthy workers'
        worker_count = self._healthy_worker_count(task_id)
        if worker_count < _FAULTY_TASK_WORKER_COUNT:
            return ''
        return f'the task failed on {worker_count} healthy workers'

    def record_task_placement(self, worker_id: str) -> None:
        """
        Record the placement of a task.

        A task placed on a quarantined worker is its probe.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.task_probation.is_probing = record.task_probation.is_active

    def record_request_placement(self, worker_id: str) -> None:
        """
        Record the placement of a request.

        A request placed on an ejected endpoint is its probe.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.request_probation.is_probing = (
                record.request_probation.is_active
            )

    def end_task(
        self,
        worker_id: str,
        task_id: str,
        now_ms: int,
        *,
        is_done: bool,
        is_failed: bool,
    ) -> None:
        """
        Record how a run of a task ended.

        Args:
            worker_id: The worker of the run.
            task_id: The task.
            now_ms: Monotonic time.
            is_done: Whether the task completed.
            is_failed: Whether the task failed.  A run that neither completed
                nor failed, such as an evicted one, only ends a probe.
        """
        record = self._get_or_create_record(worker_id)
        record.task_probation.is_probing = False
        if is_done:
            _add_bounded(self._succeeded_jobs, job_of(task_id))
            self._failed_workers.pop(task_id, None)
            record.failed_jobs.clear()
            record.task_probation.clear()
        if is_failed:
            self._record_task_failure(record, worker_id, task_id, now_ms)
            self._quarantine_if_failing(record, now_ms)
        self._update_unusable(worker_id, record)

    def forget_task(self, task_id: str) -> None:
        """
        Discard the failures of a task that will not run again.
        """
        self._failed_workers.pop(task_id, None)

    def end_request(
        self,
        worker_id: str,
        now_ms: int,
        *,
        is_answered: bool,
        is_refused: bool,
    ) -> None:
        """
        Record how a placed request ended.

        Args:
            worker_id: The worker of the request.
            now_ms: Monotonic time.
            is_answered: Whether the endpoint replied successfully.
            is_refused: Whether the worker refused the request, which does not
                count as a failure.
        """
        record = self._get_or_create_record(worker_id)
        record.request_probation.is_probing = False
        if is_answered:
            record.failed_request_count = 0
            record.request_probation.clear()
        elif is_refused:
            record.refused_until_ms = now_ms + _REFUSAL_PAUSE_MS
        else:
            record.failed_request_count += 1
            is_on_probation = record.request_probation.is_active
            is_threshold_reached = (
                record.failed_request_count >= _EJECT_REQUEST_COUNT
            )
            if (
                is_threshold_reached or is_on_probation
            ) and now_ms >= record.request_probation.until_ms:
                record.request_probation.start(now_ms)
        self._update_unusable(worker_id, record)

    def _get_or_create_record(self, worker_id: str) -> _WorkerRecord:
        if worker_id not in self._workers:
            _drop_oldest_if_full(self._workers)
            self._workers[worker_id] = _WorkerRecord()
        return self._workers[worker_id]

    def _update_unusable(self, worker_id: str, record: _WorkerRecord) -> None:
        if (
            record.task_probation.is_active
            or record.request_probation.is_active
        ):
            self._unusable[worker_id] = None
        else:
            self._unusable.pop(worker_id, None)

    def _record_task_failure(
        self,
        record: _WorkerRecord,
        worker_id: str,
        task_id: str,
        now_ms: int,
    ) -> None:
        job_id = job_of(task_id)
        record.failed_jobs.add(job_id)
        if task_id not in self._failed_workers:
            _drop_oldest_if_full(self._failed_workers)
            self._failed_workers[task_id] = {}
        self._failed_workers[task_id][worker_id] = now_ms
        worker_count = self._healthy_worker_count(task_id)
        has_succeeded = job_id in self._succeeded_jobs
        if worker_count >= _FAULTY_TASK_WORKER_COUNT and not has_succeeded:
            _add_bounded(self._faulty_jobs, job_id)

    def _healthy_worker_count(self, task_id: str) -> int:
        return sum(
            not self.is_quarantined(worker_id)
            for worker_id in self._failed_workers.get(task_id, ())
        )

    def _quarantine_if_failing(
        self, record: _WorkerRecord, now_ms: int
    ) -> None:
        # Failures of faulty jobs do not count against the worker.
        failed_job_count = len(record.failed_jobs.difference(self._faulty_jobs))
        is_on_probation = record.task_probation.is_active
        is_threshold_reached = failed_job_count >= _QUARANTINE_JOB_COUNT
        if (
            is_threshold_reached or is_on_probation
        ) and now_ms >= record.task_probation.until_ms:
            record.task_probation.start(now_ms)


def _add_bounded(names: dict[str, None], name: str) -> None:
    _drop_oldest_if_full(names)
    names[name] = None


def _drop_oldest_if_full(names: dict[str, Any]) -> None:
    if len(names) >= _MAX_RECORD_COUNT:
        names.pop(next(iter(names)))
