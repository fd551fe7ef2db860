"""
Workers that fail everything, and jobs that fail everywhere.
"""

from dataclasses import dataclass, field
from typing import Any

from hawthornpier.policy._settings import Health

# Distinct jobs that fail on a worker before it is quarantined.
_QUARANTINE_JOB_COUNT = 5
# Distinct healthy workers on which one task fails before the task, or its job
# if none of its tasks ever ended, is held to be at fault.
_FAULTY_TASK_WORKER_COUNT = 3
# Failures of this many tasks and workers, and ends of this many jobs, are
# remembered.
_MAX_RECORD_COUNT = 25_000
_PROBATION_MS = 30_000
_MAX_PROBATION_MS = 3_600_000
# Requests that fail in a row before an endpoint is ejected.
_EJECT_REQUEST_COUNT = 5
_EJECT_MS = 5_000
_MAX_EJECT_MS = 300_000
# A worker that refuses a request is passed over for this long.
_REFUSAL_PAUSE_MS = 250


@dataclass(slots=True)
class _Probation:
    """
    How long a worker is out of use, growing with each relapse.
    """

    base_ms: int
    max_ms: int
    backoff_exponent: int = 0
    until_ms: int = 0
    is_active: bool = False
    is_probing: bool = False

    def start(self, now_ms: int) -> None:
        """
        Put the worker out of use.
        """
        span_ms = min(self.base_ms * 2**self.backoff_exponent, self.max_ms)
        self.backoff_exponent = min(self.backoff_exponent + 1, 16)
        self.until_ms = now_ms + span_ms
        self.is_active = True
        self.is_probing = False

    def allows(self, now_ms: int) -> bool:
        """
        Tell whether work may be placed: after probation one probe at a time.
        """
        if not self.is_active:
            return True
        return now_ms >= self.until_ms and not self.is_probing

    def clear(self) -> None:
        """
        Put the worker back into use after a success.
        """
        self.is_active = False
        self.is_probing = False
        self.backoff_exponent = max(self.backoff_exponent - 1, 0)


@dataclass(slots=True)
class _WorkerRecord:
    """
    Recent failures of one worker.
    """

    failed_jobs: set[str] = field(default_factory=set)
    failed_request_count: int = 0
    refused_until_ms: int = 0
    tasks: _Probation = field(
        default_factory=lambda: _Probation(_PROBATION_MS, _MAX_PROBATION_MS),
    )
    requests: _Probation = field(
        default_factory=lambda: _Probation(_EJECT_MS, _MAX_EJECT_MS),
    )


def job_of(task_id: str) -> str:
    """
    Return the job that a task belongs to: the id up to the last slash.
    """
    job_id, _, index = task_id.rpartition('/')
    return job_id or index


class HealthTracker:
    """
    Separates faults of workers from faults of jobs.

    Args:
        choice: Whether anything is put out of use.
    """

    def __init__(self, *, choice: Health) -> None:
        self._is_enabled = choice is Health.QUARANTINE
        self._workers: dict[str, _WorkerRecord] = {}
        self._unusable: dict[str, None] = {}
        self._failed_workers: dict[str, set[str]] = {}
        self._faulty_jobs: dict[str, None] = {}
        self._succeeded_jobs: dict[str, None] = {}

    def remove_worker(self, worker_id: str) -> None:
        """
        Forget the probes of a worker; its record holds if it comes back.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.tasks.is_probing = False
            record.requests.is_probing = False

    def unusable_workers(self) -> tuple[str, ...]:
        """
        Return the workers that are out of use for tasks or for requests.
        """
        return tuple(self._unusable) if self._is_enabled else ()

    def allows_task(self, worker_id: str, task_id: str, now_ms: int) -> bool:
        """
        Tell whether the task may be placed on the worker.
        """
        record = self._workers.get(worker_id)
        if record is None or not self._is_enabled:
            return True
        if worker_id in self._failed_workers.get(task_id, ()):
            return False
        return record.tasks.allows(now_ms)

    def allows_request(self, worker_id: str, now_ms: int) -> bool:
        """
        Tell whether a request may be placed on the worker.
        """
        record = self._workers.get(worker_id)
        if record is None or not self._is_enabled:
            return True
        return record.refused_until_ms <= now_ms and record.requests.allows(
            now_ms,
        )

    def is_quarantined(self, worker_id: str) -> bool:
        """
        Tell whether the worker is out of use for tasks.
        """
        record = self._workers.get(worker_id)
        return (
            self._is_enabled and record is not None and record.tasks.is_active
        )

    def fault_reason(self, task_id: str) -> str:
        """
        Tell why a task is held to be at fault itself, or return ''.
        """
        if not self._is_enabled:
            return ''
        job_id = job_of(task_id)
        if job_id in self._faulty_jobs:
            return f'job {job_id} failed on several healthy workers'
        blamed = self._healthy_worker_count(task_id)
        if blamed < _FAULTY_TASK_WORKER_COUNT:
            return ''
        return f'the task failed on {blamed} healthy workers'

    def record_task_placement(self, worker_id: str) -> None:
        """
        Note a placement: on a worker under probation it is the probe.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.tasks.is_probing = record.tasks.is_active

    def record_request_placement(self, worker_id: str) -> None:
        """
        Note a placement: on an ejected endpoint it is the probe.
        """
        record = self._workers.get(worker_id)
        if record is not None:
            record.requests.is_probing = record.requests.is_active

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
        Learn from the end of a run.
        """
        record = self._get_or_create_record(worker_id)
        record.tasks.is_probing = False
        if is_done:
            _add_bounded(self._succeeded_jobs, job_of(task_id))
            self._failed_workers.pop(task_id, None)
            record.failed_jobs.clear()
            record.tasks.clear()
        if is_failed:
            self._record_task_failure(record, worker_id, task_id)
            self._quarantine_if_failing(record, now_ms)
        self._update_unusable(worker_id, record)

    def forget_task(self, task_id: str) -> None:
        """
        Forget the failures of a task that was rejected or cancelled.
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
        Learn from the end of a request.
        """
        record = self._get_or_create_record(worker_id)
        record.requests.is_probing = False
        if is_answered:
            record.failed_request_count = 0
            record.requests.clear()
        elif is_refused:
            record.refused_until_ms = now_ms + _REFUSAL_PAUSE_MS
        else:
            record.failed_request_count += 1
            is_on_probation = record.requests.is_active
            is_threshold_reached = (
                record.failed_request_count >= _EJECT_REQUEST_COUNT
            )
            if (
                is_threshold_reached or is_on_probation
            ) and now_ms >= record.requests.until_ms:
                record.requests.start(now_ms)
        self._update_unusable(worker_id, record)

    def _get_or_create_record(self, worker_id: str) -> _WorkerRecord:
        if worker_id not in self._workers:
            _drop_oldest_if_full(self._workers)
            self._workers[worker_id] = _WorkerRecord()
        return self._workers[worker_id]

    def _update_unusable(self, worker_id: str, record: _WorkerRecord) -> None:
        if record.tasks.is_active or record.requests.is_active:
            self._unusable[worker_id] = None
        else:
            self._unusable.pop(worker_id, None)

    def _record_task_failure(
        self,
        record: _WorkerRecord,
        worker_id: str,
        task_id: str,
    ) -> None:
        job_id = job_of(task_id)
        record.failed_jobs.add(job_id)
        if task_id not in self._failed_workers:
            _drop_oldest_if_full(self._failed_workers)
            self._failed_workers[task_id] = set()
        self._failed_workers[task_id].add(worker_id)
        failure_count = self._healthy_worker_count(task_id)
        has_succeeded = job_id in self._succeeded_jobs
        if failure_count >= _FAULTY_TASK_WORKER_COUNT and not has_succeeded:
            _add_bounded(self._faulty_jobs, job_id)

    def _healthy_worker_count(self, task_id: str) -> int:
        return sum(
            not self.is_quarantined(worker_id)
            for worker_id in self._failed_workers.get(task_id, ())
        )

    def _quarantine_if_failing(
        self, record: _WorkerRecord, now_ms: int
    ) -> None:
        # Jobs that are themselves at fault do not count against the worker.
        blamed = len(record.failed_jobs.difference(self._faulty_jobs))
        is_on_probation = record.tasks.is_active
        is_threshold_reached = blamed >= _QUARANTINE_JOB_COUNT
        if (
            is_threshold_reached or is_on_probation
        ) and now_ms >= record.tasks.until_ms:
            record.tasks.start(now_ms)


def _add_bounded(names: dict[str, None], name: str) -> None:
    _drop_oldest_if_full(names)
    names[name] = None


def _drop_oldest_if_full(names: dict[str, Any]) -> None:
    if len(names) >= _MAX_RECORD_COUNT:
        names.pop(next(iter(names)))
