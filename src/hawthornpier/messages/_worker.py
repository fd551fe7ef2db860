"""
Messages between a shard's owner and the platform's workers.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """
    A request that presents the epoch of a shard's owner to a worker.

    From then on, the worker rejects messages with a lower epoch of the shard.
    """

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """
    A run in progress on a worker, with the demand it was admitted with.
    """

    run_id: str
    task_id: str
    demand: Resources
    is_throttled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """
    A caller's request in progress on a worker.
    """

    request_id: str
    service: str
    demand: Resources


class TaskResult(enum.StrEnum):
    """
    The ways in which a run can end.

    `LEASE_LAPSED`: the worker stopped the run because its lease was not
    renewed in time.
    """

    DONE = 'done'
    FAILED = 'failed'
    EVICTED = 'evicted'
    STOPPED = 'stopped'
    LEASE_LAPSED = 'lease_lapsed'


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOutcome:
    """
    The outcome of one run, which the worker keeps until it is acknowledged.

    *checkpoint* names the checkpoint object that the task can resume from; it
    is empty if there is none.  *progress_ms* is the work done so far.
    """

    run_id: str
    task_id: str
    result: TaskResult
    checkpoint: str = ''
    progress_ms: int = 0
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceReply:
    """
    The reply to a fence, with the runs and requests on the worker.

    *is_accepted* is false if the worker has already accepted a higher epoch of
    the shard, which is then *highest_epoch*.  *outcomes* holds the outcomes
    that await acknowledgement.  *incarnation* changes when the worker
    restarts, which loses its record of runs and requests.
    """

    is_accepted: bool
    highest_epoch: int
    running: tuple[RunningTask, ...] = ()
    outcomes: tuple[TaskOutcome, ...] = ()
    open_requests: tuple[OpenRequest, ...] = ()
    incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStart:
    """
    A request to start one run under a lease.

    The run resumes from *checkpoint*, or starts from the beginning if that is
    empty.  *work_ms* is the run time of the whole task on simulated workers.
    """

    run_id: str
    task_id: str
    member: str
    workload: str
    demand: Resources
    lease_ms: int
    work_ms: int
    checkpoint: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class StartBatch:
    """
    The runs that a shard's owner starts on one worker in one interval.

    A worker starts none of the runs if its wall clock is past
    *expires_wall_ms*: the message was delayed, for example while the worker
    was paused, and the owner may have started the tasks on other workers in
    the meantime.  With 0, the batch never expires.
    """

    shard: str
    epoch: int
    starts: tuple[TaskStart, ...]
    expires_wall_ms: int = 0


class StartVerdict(enum.StrEnum):
    """
    The verdict of a worker on the start of one run.

    With every verdict except `STARTED`, the worker did not start the run.
    """

    STARTED = 'started'
    REFUSED_EPOCH = 'refused_epoch'
    REFUSED_CAPACITY = 'refused_capacity'
    REFUSED_LEAVING = 'refused_leaving'
    REFUSED_EXPIRED = 'refused_expired'


@dataclass(frozen=True, slots=True, kw_only=True)
class StartBatchReply:
    """
    The verdicts on the starts of a batch, in the order of the batch.
    """

    verdicts: tuple[StartVerdict, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRenewal:
    """
    A request that renews the leases of runs and acknowledges outcomes.

    The worker discards the outcomes of *acknowledged_run_ids*, which are on
    record with the shard's owner.  It rejects the whole request if its wall
    clock is past *expires_wall_ms*, since the renewed leases would end later
    than the owner assumes.  With 0, the renewal never expires.
    """

    shard: str
    epoch: int
    lease_ms: int
    run_ids: tuple[str, ...] = ()
    acknowledged_run_ids: tuple[str, ...] = ()
    expires_wall_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReply:
    """
    The renewed runs, and the outcomes that await acknowledgement.

    *is_accepted* is false if the worker has accepted a higher epoch or the
    renewal has expired.  The other attributes are the same as in `FenceReply`.
    """

    is_accepted: bool
    highest_epoch: int
    renewed_run_ids: tuple[str, ...] = ()
    outcomes: tuple[TaskOutcome, ...] = ()
    incarnation: str = ''


class TaskAction(enum.StrEnum):
    """
    The actions that a shard's owner can request on a run.

    `EVICT` writes a checkpoint and ends the run; `STOP` ends the run without a
    checkpoint.  `RESUME` lifts a `THROTTLE`.
    """

    CHECKPOINT = 'checkpoint'
    EVICT = 'evict'
    THROTTLE = 'throttle'
    RESUME = 'resume'
    STOP = 'stop'


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControl:
    """
    A request to apply one action to one run.
    """

    shard: str
    epoch: int
    run_id: str
    action: TaskAction


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControlReply:
    """
    The reply of a worker to a `TaskControl`.
    """

    is_accepted: bool
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequest:
    """
    A caller's request as sent to the endpoint of a service on a worker.

    *deadline_ms* is the time left until the deadline of the request.
    """

    request_id: str
    service: str
    shard: str
    epoch: int
    demand: Resources
    deadline_ms: int
    body: str
    idempotency_key: str = ''


class EndpointStatus(enum.StrEnum):
    """
    The status of a request at a service's endpoint.

    `NEVER_SEEN`, `REFUSED_*` and `LEAVING` mean that the request has not run
    in this incarnation of the worker; after `NEVER_SEEN`, it can still arrive
    late and run.  `FAILED` means that the request was started.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    RUNNING = 'running'
    NEVER_SEEN = 'never_seen'
    REFUSED_EPOCH = 'refused_epoch'
    REFUSED_CAPACITY = 'refused_capacity'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReply:
    """
    The reply of a service's endpoint to a request.

    *body_bytes* is the size of the complete body in bytes; a *body* of another
    size is truncated.
    """

    request_id: str
    status: EndpointStatus
    body: str = ''
    body_bytes: int = 0
    incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySample:
    """
    The run time of one request on a worker.

    *duration_ms* excludes the time that the request waited before it started.
    *ended_ms* is wall-clock time of the worker.
    """

    service: str
    duration_ms: float
    ended_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """
    The usage and latencies of a worker at *measured_ms* of its wall clock.
    """

    worker_id: str
    measured_ms: int
    usage: Resources
    run_ids: tuple[str, ...] = ()
    samples: tuple[LatencySample, ...] = ()
    is_leaving: bool = False
