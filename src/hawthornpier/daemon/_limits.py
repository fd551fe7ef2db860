"""
Limits of what callers, operators and peers may send.
"""

import re
from http import HTTPStatus

from tornado.web import HTTPError

from hawthornpier.messages import ForwardedRequest, Heartbeat, JobSpec

MAX_DEADLINE_MS = 600_000
# A larger job is split by its operator; the limit bounds one row's views.
MAX_TASKS_PER_JOB = 10_000
# The largest integer that every JSON reader holds exactly.
MAX_AMOUNT = 2**53
MAX_NAME_CHARS = 200

# A shard with a dot for its slash, or the shards of a divided job as the bits
# of a number, and a token that is unique among them.
_JOB_ID = re.compile(
    r'(?:parts-[0-9a-f]{1,1000}|[A-Za-z0-9_.-]{1,100}\.[0-9]{1,6})'
    r'~[A-Za-z0-9_-]{1,64}',
)


def is_job_id(job_id: str) -> bool:
    """
    Tell whether a job can have this id.
    """
    return _JOB_ID.fullmatch(job_id) is not None


def check_job_id(job_id: str) -> None:
    """
    Answer with status 400 if no job can have this id.
    """
    if not is_job_id(job_id):
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'malformed job_id')


def check_spec(spec: JobSpec) -> None:
    """
    Answer with status 400 if an amount is out of its range.
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
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'an amount is negative')
    if max(amounts) > MAX_AMOUNT:
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'an amount is too large')
    if len(spec.workload) > MAX_NAME_CHARS:
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'workload is too long')


def check_forwarded(request: ForwardedRequest) -> None:
    """
    Answer with status 400 if the remaining time is out of its range.
    """
    if not 0 < request.remaining_ms <= MAX_DEADLINE_MS:
        raise HTTPError(
            HTTPStatus.BAD_REQUEST,
            f'remaining_ms must be from 1 to {MAX_DEADLINE_MS}',
        )


def check_heartbeat(heartbeat: Heartbeat) -> None:
    """
    Answer with status 400 if a number is out of its range.

    The own heartbeats repeat the clock and the loads that were received, so
    an absurd number would spread to every process.
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
        raise HTTPError(HTTPStatus.BAD_REQUEST, 'a number is out of range')
