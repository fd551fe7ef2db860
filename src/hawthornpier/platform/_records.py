"""
Decoding of rows that workers and the operator write, and of submitted jobs.
"""

import re
from collections.abc import Sequence
from typing import Any

import msgspec

from hawthornpier.decoding import DecodingError, decode_json
from hawthornpier.errors import HawthornpierError
from hawthornpier.fleet import (
    Configuration,
    QueueRoute,
    StoredRow,
    WorkerEntry,
)
from hawthornpier.platform._bounds import (
    MAX_AMOUNT,
    Amount,
    Count,
    DurationMs,
    Factor,
    Labels,
    Name,
    Rank,
    RemainingMs,
    UnixMs,
    is_address,
    is_name,
)
from hawthornpier.steps import (
    AdviceTimings,
    JobPlan,
    QueuePolicy,
    StepPlan,
)

REGISTRY_TABLE = 'servers'
OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'
_WORKER_STATES = frozenset(('ready', 'draining'))
_JOB_ID = re.compile('[0-9a-f]{16}')
_MAX_PAYLOAD_BYTES = 4_000
# Far above the number of tasks of any job that the scheduler is designed for.
_MAX_TASK_COUNT = 20_000


class BodyError(HawthornpierError):
    """
    The body of a submission is not a valid job.
    """


class _Capacity(msgspec.Struct):
    """
    The resources of a worker.
    """

    # In thousandths of a core.
    cpu: Amount
    ram_mb: Amount
    # Number of accelerators.
    gpu: Amount = 0


class _WorkerRow(msgspec.Struct):
    """
    The row of a worker in the registry, which the worker writes itself.
    """

    service: Name
    address: Name
    state: str
    capacity: _Capacity
    # The failure domain.
    zone: Name = ''
    # The second label names the rack.
    labels: Labels = []
    # Unix time in ms at which this incarnation of the worker started.
    born: UnixMs = 0
    # Time left until a draining worker stops, if it is known.
    remaining_ms: RemainingMs | None = None


class _Advice(msgspec.Struct):
    """
    Durations of the service that approves workers for a queue's steps.
    """

    decide_ms: DurationMs = 0
    # Added to *decide_ms* for each worker named in a request.
    period_ms: DurationMs = 0
    # How long an approval is valid.
    valid_ms: DurationMs = 0


class _Route(msgspec.Struct):
    """
    A route to a queue, and the policy of the queue.

    The latency objective of a job is *slack_factor* times the estimated time of
    its longest chain of steps, plus *target_latency_ms*.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: Rank = 0
    max_attempts: Rank = 1
    slack_factor: Factor = 1
    target_latency_ms: DurationMs = 0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    """
    A group of workers for the tasks of one or more queues.
    """

    name: str
    # Whether its workers reject starts that exceed their capacity.
    admission_check: bool = True


class _ConfigurationRow(msgspec.Struct):
    """
    The row that contains the operator's configuration.
    """

    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []


class _SubmittedStep(msgspec.Struct):
    """
    A step in a submitted job.

    Resources are per task.
    """

    # Number of tasks.
    count: int = 0
    # In thousandths of a core.
    cpu: int = 0
    ram_mb: int = 0
    # Number of accelerators.
    gpu: int = 0
    estimate_ms: float = 0
    # Indexes of the steps that must be complete before this one starts.
    after: list[int] = []
    image: str = ''
    # Target of the tail latency of a long-running task; 0 if it has none.
    target_ms: float = 0
    # How many tasks the scheduler may make unavailable at the same time; 0
    # means that no limit is set.
    may_miss: int = 0
    # One label that the worker must have.
    requirements: str = ''
    # Preferred rack.
    affinity: str = ''
    # Maximum number of the step's runs on one worker; 0 means no limit.
    anti_affinity: int = 0
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    # Several runs of one task may execute at the same time.
    speculative: bool = False
    long_running: bool = False
    # The tasks are best-effort.
    fills: bool = False


class _SubmittedJob(msgspec.Struct):
    """
    The body of a submission.
    """

    # The steps of the job.
    phases: list[_SubmittedStep]
    # The payload that is passed to the tasks unchanged.
    spec: str = ''
    # Unix time at which the first occurrence is due.
    start_at_ms: UnixMs = 0
    interval_ms: UnixMs = 0
    repeat_count: Count = 0


class PlatformDecoder:
    """
    Decodes rows of the registry, and counts those that are unreadable.
    """

    def __init__(self) -> None:
        self.unreadable_count = 0

    def workers(self, rows: Sequence[StoredRow]) -> list[WorkerEntry]:
        """
        Decode rows of the registry, skipping those that are unreadable.
        """
        decoded = (
            self._decode_worker(row)
            for row in rows
            if not row.is_deleted and not row.part
        )
        return [entry for entry in decoded if entry is not None]

    def _decode_worker(self, row: StoredRow) -> WorkerEntry | None:
        try:
            worker = decode_json(row.content, _WorkerRow)
        except DecodingError:
            self.unreadable_count += 1
            return None
        is_known = worker.state in _WORKER_STATES and is_name(row.key)
        if not is_known or not is_address(worker.address):
            self.unreadable_count += 1
            return None
        left_ms = worker.remaining_ms
        return WorkerEntry(
            worker_id=row.key,
            service=worker.service,
            address=worker.address,
            failure_domain=worker.zone,
            processor_millis=worker.capacity.cpu,
            memory_mb=worker.capacity.ram_mb,
            accelerator_count=worker.capacity.gpu,
            incarnation_ms=worker.born,
            labels=tuple(worker.labels),
            is_draining=worker.state == 'draining',
            remaining_ms=None if left_ms is None else int(left_ms),
        )


def decode_configuration(content: bytes) -> Configuration | None:
    """
    Decode the row with the operator's configuration.

    Returns:
        The configuration, or None if the row is unreadable.
    """
    try:
        configuration = decode_json(content, _ConfigurationRow)
    except DecodingError:
        return None
    return Configuration(
        version=configuration.version,
        routes=tuple(_decode_route(route) for route in configuration.routes),
        unguarded_services=frozenset(
            service.name
            for service in configuration.services
            if not service.admission_check
        ),
    )


def _decode_route(route: _Route) -> QueueRoute:
    advice = None
    if route.advice is not None:
        advice = AdviceTimings(
            decide_ms=route.advice.decide_ms,
            per_worker_ms=route.advice.period_ms,
            valid_ms=route.advice.valid_ms,
        )
    return QueueRoute(
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        policy=QueuePolicy(
            name=route.name,
            service=route.service,
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            slack_factor=route.slack_factor,
            objective_ms=int(route.target_latency_ms),
            advice=advice,
        ),
    )


def is_job_id(text: str) -> bool:
    """
    Return whether a text has the form of a job id, which callers choose.
    """
    return _JOB_ID.fullmatch(text) is not None


def decode_job(
    job_id: str,
    body: bytes,
    *,
    queue: QueuePolicy,
    submitted_ms: int,
) -> JobPlan:
    """
    Decode and check the body of a submission.

    Args:
        job_id: The id that the caller chose.
        body: The body as JSON.
        queue: The policy of the queue to which the job is submitted.
        submitted_ms: The Unix time of the submission.

    Raises:
        BodyError: The body is not a valid job.
    """
    submission = decode_json(body, _SubmittedJob, BodyError, subject='body')
    _check_job(submission)
    return JobPlan(
        job_id=job_id,
        payload=submission.spec,
        steps=tuple(_decode_step(step) for step in submission.phases),
        queue=queue,
        first_due_ms=submission.start_at_ms,
        interval_ms=submission.interval_ms,
        repeat_count=submission.repeat_count,
        submitted_ms=submitted_ms,
    )


def _decode_step(step: _SubmittedStep) -> StepPlan:
    return StepPlan(
        task_count=step.count,
        processor_millis=step.cpu,
        memory_mb=step.ram_mb,
        accelerator_count=step.gpu,
        estimate_ms=int(step.estimate_ms),
        after=tuple(step.after),
        image=step.image,
        tail_target_ms=int(step.target_ms),
        unavailable_limit=step.may_miss or None,
        required_label=step.requirements,
        near_rack=step.affinity,
        per_worker_limit=step.anti_affinity,
        is_gang=step.gang,
        is_same_rack=step.same_rack,
        has_checkpoints=step.checkpointing,
        may_run_copies=step.speculative,
        is_lasting=step.long_running,
        is_filling=step.fills,
    )


def _check_job(submission: _SubmittedJob) -> None:
    if len(submission.spec.encode()) > _MAX_PAYLOAD_BYTES:
        raise BodyError(f"'spec' is longer than {_MAX_PAYLOAD_BYTES} bytes")
    if not submission.phases:
        raise BodyError("'phases' is empty; a job needs at least one step")
    repeats = max(1, submission.repeat_count)
    tasks = sum(max(0, step.count) for step in submission.phases) * repeats
    if tasks > _MAX_TASK_COUNT:
        raise BodyError(
            f'a job may have at most {_MAX_TASK_COUNT} tasks, counting all '
            'repetitions',
        )
    for number, step in enumerate(submission.phases):
        _check_step(number, step)


def _check_step(number: int, step: _SubmittedStep) -> None:
    if step.count < 1:
        raise BodyError(f"phases[{number}]: 'count' must be at least 1")
    numbers: tuple[Any, ...] = (
        step.cpu,
        step.ram_mb,
        step.gpu,
        step.estimate_ms,
        step.anti_affinity,
        step.may_miss,
        step.target_ms,
    )
    if min(numbers) < 0 or max(numbers) > MAX_AMOUNT:
        raise BodyError(
            f"phases[{number}]: 'cpu', 'ram_mb', 'gpu', 'estimate_ms', "
            "'anti_affinity', 'may_miss' or 'target_ms' is negative or above "
            'the maximum',
        )
    if any(not 0 <= before < number for before in step.after):
        raise BodyError(
            f"phases[{number}]: 'after' may only refer to earlier steps",
        )
