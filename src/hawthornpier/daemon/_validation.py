"""
Validation of the input of callers, operators and peers.
"""

import re
from http import HTTPStatus

from tornado.web import HTTPError

from hawthornpier.messages import ForwardedRequest, Heartbeat, JobSpec

MAX_DEADLINE_MS = 600_000
# Operators split larger jobs; the limit bounds the size of a job view.
MAX_TASKS_PER_JOB = 10_000
# All integers up to this one are exact in JSON parsers that use doubles.
MAX_AMOUNT = 2**53
MAX_NAME_CHARS = 200

# Two forms: the shard with a dot in place of its slash, or, for a job that is
# divided among shards, a hexadecimal bit mask of the shards.  Both end with a
# token that is unique among the jobs of these shards.
_JOB_ID = re.compile(
    r'(?:parts-[0-9a-f]{1,1000}|[A-Za-z0-9_.-]{1,100}\.[0-9]{1,6})'
    r'~[A-Za-z0-9_-]{1,64}',
)


def is_job_id(job_id: str) -> bool:
    """
    Return whether *job_id* is well-formed.
    """
    return _JOB_ID.fullmatch(job_id) is not None


def check_job_id(job_id: str) -> None:
    """
    Check that *job_id* is well-formed.

    Raises:
        HTTPError: Status 400, if it is malformed.
    """
    if not is_job_id(job_id):
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'malformed job_id')


def check_spec(spec: JobSpec) -> None:
    """
    Check the amounts of a job.

    Raises:
        HTTPError: Status 400, if one is out of range.
    """
    demand = spec.demand
    amounts = (
        demand.processor_millis,
        demand.memory_bytes,
        demand.accelerator_count,
        demand.slot_count,
        spec.declared_work_ms,
        spec.work_ms,
    )
    if not 0 < spec.task_count <= MAX_TASKS_PER_JOB:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST,
            f'task_count must be from 1 to {MAX_TASKS_PER_JOB}',
        )
    if min(amounts) < 0:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST, 'an amount of the job is negative'
        )
    if max(amounts) > MAX_AMOUNT:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST, 'an amount of the job is too large'
        )
    if len(spec.workload) > MAX_NAME_CHARS:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST, 'the name of the workload is too long'
        )


def check_forwarded(request: ForwardedRequest) -> None:
    """
    Check the remaining time of a forwarded request.

    Raises:
        HTTPError: Status 400, if it is out of range.
    """
    if not 0 < request.remaining_ms <= MAX_DEADLINE_MS:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST,
            f'remaining_ms must be from 1 to {MAX_DEADLINE_MS}',
        )


def check_heartbeat(heartbeat: Heartbeat) -> None:
    """
    Check the numbers of a heartbeat.

    This process forwards the received clock and loads in its own heartbeats,
    so a number out of range would spread to every process.

    Raises:
        HTTPError: Status 400, if a number is out of range.
    """
    stamp = heartbeat.stamp
    numbers = [
        stamp.wall_ms,
        stamp.counter,
        heartbeat.table_version,
        heartbeat.table_age_ms,
    ]
    for load in heartbeat.loads:
        numbers.extend(
            (
                load.epoch,
                load.free_slot_count,
                load.slot_count,
                load.queued_request_count,
                load.queued_task_count,
            ),
        )
    if min(numbers) < -MAX_AMOUNT or max(numbers) > MAX_AMOUNT:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST, 'a number of the heartbeat is out of range'
        )
