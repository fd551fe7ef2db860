"""
Records that a shard's owner stores as rows in the platform's table service.

The keys of each record type start with the same prefix for all records of a
shard, so that a new owner reads them with one scan for each type.
"""

import contextlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import xxhash

from hawthornpier.decoding import decode_json
from hawthornpier.messages import JobSpec, Row, RowPut, TaskState
from hawthornpier.owner._errors import UnreadableRecordError

_Record = TypeVar('_Record')

# The number of tasks stored in one row.  Recording one outcome rewrites one
# row, which stays small even if the job is large.
TASKS_PER_CHUNK = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """
    An accepted job.
    """

    job_id: str
    spec: JobSpec
    accepted_wall_ms: int = 0
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskRecord:
    """
    The durable state of one task.

    Placements of idempotent tasks are not recorded; a new owner obtains them
    from the workers.  For a task that is not idempotent, *run_id* and
    *worker_id* record the intent to start a run.
    """

    state: TaskState = TaskState.QUEUED
    checkpoint: str = ''
    progress_ms: int = 0
    eviction_count: int = 0
    attempt_count: int = 0
    # How many runs in succession ended without an outcome, with or on their
    # worker, soon after their start.
    interruption_count: int = 0
    run_id: str = ''
    worker_id: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskChunk:
    """
    Up to `TASKS_PER_CHUNK` consecutive tasks of one job.

    *first_index* is the index of the first of them in the job.
    """

    job_id: str
    first_index: int
    tasks: tuple[TaskRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentRecord:
    """
    The intent to send a request with an idempotency key to one worker.

    *epoch* is the epoch that the worker had confirmed when the intent was
    recorded.  *outcome_kind* is empty until the outcome is known.
    """

    idempotency_key: str
    request_id: str
    service: str
    worker_id: str
    worker_incarnation: str
    epoch: int
    created_wall_ms: int
    outcome_kind: str = ''
    body: str = ''
    reason: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSet:
    """
    All workers on which owners of the shard may have started work.
    """

    worker_ids: tuple[str, ...] = ()


def newest_job_ids(rows: Iterable[Row], member: str) -> list[str]:
    """
    Return the ids of a member's jobs, newest first.
    """
    member_records = []
    for row in rows:
        # An unreadable job is left out; its owner reports it.
        with contextlib.suppress(UnreadableRecordError):
            record = decode_record(row, JobRecord)
            if record.spec.member == member:
                member_records.append(record)
    member_records.sort(
        key=lambda record: record.accepted_wall_ms, reverse=True
    )
    return [record.job_id for record in member_records]


def decode_record(row: Row, record_type: type[_Record]) -> _Record:
    """
    Decode the text of a row as an instance of *record_type*.

    Raises:
        UnreadableRecordError: The text cannot be decoded.
    """
    return decode_json(
        row.text,
        record_type,
        UnreadableRecordError,
        subject=f'row {row.key}',
    )


def job_key(shard: str, job_id: str) -> str:
    """
    Return the key of a job's row.
    """
    return f'job/{shard}/{job_id}'


def chunk_key(shard: str, job_id: str, first_index: int) -> str:
    """
    Return the key of the row that holds a chunk of a job's tasks.
    """
    return f'task/{shard}/{job_id}/{first_index}'


def intent_key(shard: str, idempotency_key: str) -> str:
    """
    Return the key of an intent's row.

    The caller chooses the idempotency key, so the row key contains its hash,
    which has a fixed length and no separators.
    """
    digest = xxhash.xxh3_128_hexdigest(idempotency_key.encode())
    return f'intent/{shard}/{digest}'


def worker_set_key(shard: str) -> str:
    """
    Return the key of the row that holds the shard's worker set.
    """
    return f'workers/{shard}'


def put(key: str, record: object) -> RowPut:
    """
    Return a write that stores *record* as JSON under *key*.
    """
    return RowPut(key=key, text=msgspec.json.encode(record).decode())
