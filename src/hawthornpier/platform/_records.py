"""
Rows that the platform's workers and operator write, and callers' jobs.
"""

import re
from collections.abc import Sequence
from typing import Any

import msgspec

from hawthornpier.errors import HawthornpierError
from hawthornpier.fleet import (
    Configuration,
    QueueRoute,
    StoredRow,
    WorkerEntry,
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
# Far above any job of the design size.
_MAX_TASK_COUNT = 20_000
_MAX_AMOUNT = 10**9


class BodyError(HawthornpierError):
    """
    A caller's body is not a job.
    """


class _Capacity(msgspec.Struct):
    """
    The room of a worker; *cpu* is in thousandths of a core.
    """

    cpu: int
    ram_mb: int
    gpu: int = 0


class _WorkerRow(msgspec.Struct):
    """
    What a worker reports of itself; *born* tells its lives apart.
    """

    service: str
    address: str
    state: str
    capacity: _Capacity
    zone: str = ''
    labels: list[str] = []
    born: int = 0
    remaining_ms: float | None = None


class _Advice(msgspec.Struct):
    """
    *period_ms* is the time for each worker named in a call.
    """

    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct):
    """
    A queue; *slack_factor* and *target_latency_ms* make its objective.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    target_latency_ms: float = 0
    advice: _Advice | None = None


class _ConfigurationRow(msgspec.Struct):
    """
    The operator's configuration.
    """

    version: int
    routes: list[_Route] = []


class _SubmittedStep(msgspec.Struct):
    """
    A step; *affinity* names a rack, *anti_affinity* is a limit per worker.
    """

    count: int = 0
    cpu: int = 0
    ram_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    image: str = ''
    target_ms: float = 0
    may_miss: int = 0
    requirements: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    gang: bool = False
    same_rack: bool = False
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _SubmittedJob(msgspec.Struct):
    """
    The body of a submitted job.
    """

    phases: list[_SubmittedStep]
    spec: str = ''
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


class PlatformDecoder:
    """
    Reads rows that others wrote, without those that cannot be read.
    """

    def __init__(self) -> None:
        self.unreadable_count = 0

    def workers(self, rows: Sequence[StoredRow]) -> list[WorkerEntry]:
        """
        Return the workers of the registry's rows.
        """
        decoded = (
            self._decode_worker(row)
            for row in rows
            if not row.is_deleted and not row.part
        )
        return [entry for entry in decoded if entry is not None]

    def _decode_worker(self, row: StoredRow) -> WorkerEntry | None:
        try:
            server = msgspec.json.decode(row.content, type=_WorkerRow)
        except (msgspec.DecodeError, ValueError):
            self.unreadable_count += 1
            return None
        if server.state not in _WORKER_STATES or not server.address:
            self.unreadable_count += 1
            return None
        left_ms = server.remaining_ms
        return WorkerEntry(
            worker_id=row.key,
            service=server.service,
            address=server.address,
            failure_domain=server.zone,
            processor_millis=server.capacity.cpu,
            memory_mb=server.capacity.ram_mb,
            accelerator_count=server.capacity.gpu,
            incarnation_ms=server.born,
            labels=tuple(server.labels),
            is_draining=server.state == 'draining',
            remaining_ms=None if left_ms is None else int(left_ms),
        )


def decode_configuration(content: bytes) -> Configuration | None:
    """
    Return the configuration of the operator's row, or None if unreadable.
    """
    try:
        configuration = msgspec.json.decode(content, type=_ConfigurationRow)
    except (msgspec.DecodeError, ValueError):
        return None
    return Configuration(
        version=configuration.version,
        routes=tuple(_decode_route(route) for route in configuration.routes),
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
    Tell whether a text is an id that callers may choose.
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
    Return the job of a caller's body; raises `BodyError`.
    """
    try:
        submission = msgspec.json.decode(body, type=_SubmittedJob)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BodyError(str(error)) from error
    _check_job(submission)
    return JobPlan(
        job_id=job_id,
        payload=submission.spec,
        steps=tuple(_decode_step(phase) for phase in submission.phases),
        queue=queue,
        first_due_ms=submission.start_at_ms,
        interval_ms=submission.interval_ms,
        repeat_count=submission.repeat_count,
        submitted_ms=submitted_ms,
    )


def _decode_step(phase: _SubmittedStep) -> StepPlan:
    return StepPlan(
        task_count=phase.count,
        processor_millis=phase.cpu,
        memory_mb=phase.ram_mb,
        accelerator_count=phase.gpu,
        estimate_ms=int(phase.estimate_ms),
        after=tuple(phase.after),
        image=phase.image,
        tail_target_ms=int(phase.target_ms),
        unavailable_limit=phase.may_miss or None,
        required_label=phase.requirements,
        near_rack=phase.affinity,
        per_worker_limit=phase.anti_affinity,
        is_gang=phase.gang,
        is_same_rack=phase.same_rack,
        has_checkpoints=phase.checkpointing,
        may_run_copies=phase.speculative,
        is_lasting=phase.long_running,
        is_filling=phase.fills,
    )


def _check_job(submission: _SubmittedJob) -> None:
    if len(submission.spec.encode()) > _MAX_PAYLOAD_BYTES:
        raise BodyError(f'spec is longer than {_MAX_PAYLOAD_BYTES} bytes')
    if not submission.phases:
        raise BodyError('a job has at least one step')
    repeats = max(1, submission.repeat_count)
    tasks = sum(max(0, phase.count) for phase in submission.phases) * repeats
    if tasks > _MAX_TASK_COUNT:
        raise BodyError(f'a job has at most {_MAX_TASK_COUNT} tasks')
    for number, phase in enumerate(submission.phases):
        _check_step(number, phase)
    times = (
        submission.start_at_ms,
        submission.interval_ms,
        submission.repeat_count,
    )
    if min(times) < 0:
        raise BodyError('times and repeats are not negative')


def _check_step(number: int, phase: _SubmittedStep) -> None:
    if phase.count < 1:
        raise BodyError(f'step {number} has no tasks')
    numbers: tuple[Any, ...] = (
        phase.cpu,
        phase.ram_mb,
        phase.gpu,
        phase.estimate_ms,
        phase.anti_affinity,
        phase.may_miss,
        phase.target_ms,
    )
    if min(numbers) < 0 or max(numbers) > _MAX_AMOUNT:
        raise BodyError(f'step {number} has an amount out of range')
    if any(not 0 <= before < number for before in phase.after):
        raise BodyError(f'step {number} follows a step that is not earlier')
