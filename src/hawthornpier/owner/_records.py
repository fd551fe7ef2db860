"""
The rows that a shard's owner keeps in the platform's table service.

The rows of a shard share the prefixes below, so that a new owner reads them
with one scan each.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from hawthornpier.messages import JobSpec, Row, RowPut, TaskState

# A job's tasks are kept in rows of this many, so that one outcome rewrites a
# small row however large the job is.
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
    What has to survive of one task.

    Placements of idempotent tasks are not recorded: they are rebuilt from the
    workers.  *run_id* and *worker_id* are the start intent of a task that is
    not idempotent.
    """

    state: TaskState = TaskState.QUEUED
    checkpoint: str = ''
    progress_ms: int = 0
    eviction_count: int = 0
    attempt_count: int = 0
    run_id: str = ''
    worker_id: str = ''
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskChunk:
    """
    The tasks of one job from *first_index* on.
    """

    job_id: str
    first_index: int
    tasks: tuple[TaskRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class IntentRecord:
    """
    A non-idempotent request that was or will be sent to one worker.

    *epoch* is what the worker had confirmed when the request was sent.
    *outcome_kind* is empty until the outcome is known.
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
    Every worker that this shard's owners may have started work on.
    """

    worker_ids: tuple[str, ...] = ()


def newest_job_ids(rows: Iterable[Row], member: str) -> list[str]:
    """
    Return the ids of a member's jobs, the newest first.
    """
    records = [msgspec.json.decode(row.text, type=JobRecord) for row in rows]
    member_records = [
        record for record in records if record.spec.member == member
    ]
    member_records.sort(
        key=lambda record: record.accepted_wall_ms, reverse=True
    )
    return [record.job_id for record in member_records]


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

    The idempotency key comes from a caller, so its hash is used: it has a
    bounded length and no separators.
    """
    digest = xxhash.xxh3_128_hexdigest(idempotency_key.encode())
    return f'intent/{shard}/{digest}'


def worker_set_key(shard: str) -> str:
    """
    Return the key of the shard's worker set.
    """
    return f'workers/{shard}'


def put(key: str, record: object) -> RowPut:
    """
    Return the write of *record*, encoded as JSON.
    """
    return RowPut(key=key, text=msgspec.json.encode(record).decode())
