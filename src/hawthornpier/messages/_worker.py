"""
Messages between a shard's owner and the platform's workers.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages._resources import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """
    Presents an epoch; the worker refuses all lower epochs from then on.
    """

    shard: str
    epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningTask:
    """
    A run that a worker holds, with the demand it was admitted with.
    """

    run_id: str
    task_id: str
    demand: Resources
    is_throttled: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """
    A caller's request that a worker is serving.
    """

    request_id: str
    service: str
    demand: Resources


class TaskResult(enum.StrEnum):
    """
    How a run ended.
    """

    DONE = 'done'
    FAILED = 'failed'
    EVICTED = 'evicted'
    STOPPED = 'stopped'
    LEASE_LAPSED = 'lease_lapsed'


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOutcome:
    """
    The end of one run; the worker keeps it until it is acknowledged.

    *checkpoint* names the object that the task resumes from, or is empty.
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
    What a worker holds; *is_accepted* is false below the highest epoch.

    *incarnation* changes when the worker restarts and forgets what it ran.
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
    Starts one run under a lease, from a checkpoint if one is named.
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
    All starts for one worker in one interval.

    A worker whose wall clock is past *expires_wall_ms* starts nothing: the
    message was held up, for example while the worker was paused, and its owner
    may have started the tasks elsewhere.  0 never expires.
    """

    shard: str
    epoch: int
    starts: tuple[TaskStart, ...]
    expires_wall_ms: int = 0


class StartVerdict(enum.StrEnum):
    """
    What the worker did with one start; only `STARTED` means that it runs.
    """

    STARTED = 'started'
    REFUSED_EPOCH = 'refused_epoch'
    REFUSED_CAPACITY = 'refused_capacity'
    REFUSED_LEAVING = 'refused_leaving'
    REFUSED_EXPIRED = 'refused_expired'


@dataclass(frozen=True, slots=True, kw_only=True)
class StartBatchReply:
    """
    One verdict for each start of the batch, in its order.
    """

    verdicts: tuple[StartVerdict, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRenewal:
    """
    Renews the leases of runs and acknowledges recorded outcomes.

    A worker does not accept it past *expires_wall_ms*, since the leases would
    end later than its owner reckons.  0 never expires.
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
    """

    is_accepted: bool
    highest_epoch: int
    renewed_run_ids: tuple[str, ...] = ()
    outcomes: tuple[TaskOutcome, ...] = ()
    incarnation: str = ''


class TaskAction(enum.StrEnum):
    """
    What an owner may ask of a running task.

    `EVICT` takes a checkpoint and ends the run; `STOP` ends it without one.
    """

    CHECKPOINT = 'checkpoint'
    EVICT = 'evict'
    THROTTLE = 'throttle'
    RESUME = 'resume'
    STOP = 'stop'


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControl:
    """
    Applies one action to one run.
    """

    shard: str
    epoch: int
    run_id: str
    action: TaskAction


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskControlReply:
    """
    Whether the worker accepted the action.
    """

    is_accepted: bool
    detail: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequest:
    """
    A caller's request, as sent to the endpoint of a service on a worker.
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
    What became of a request at the endpoint.

    `NEVER_SEEN`, `REFUSED_*` and `LEAVING` state that it did not run.
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
    The endpoint's reply; *body_bytes* tells a truncated body from a whole one.
    """

    request_id: str
    status: EndpointStatus
    body: str = ''
    body_bytes: int = 0
    incarnation: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySample:
    """
    How long one request of a service ran on the worker, without waiting.
    """

    service: str
    duration_ms: float
    ended_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """
    Usage and latencies of a worker, as they were at *measured_ms*.
    """

    worker_id: str
    measured_ms: int
    usage: Resources
    run_ids: tuple[str, ...] = ()
    samples: tuple[LatencySample, ...] = ()
    is_leaving: bool = False
