"""
Inputs of the scheduler and the decisions that it returns.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """
    Location and capacity of a worker.
    """

    worker_id: str
    region: str
    failure_domain: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDemand:
    """
    A request of a caller that waits for a slot.

    *deadline_ms* is a time on the monotonic clock of the process that calls
    the policy.
    """

    request_id: str
    member: str
    service: str
    demand: Resources
    deadline_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskDemand:
    """
    A batch task that waits for a worker.

    *declared_work_ms* is the operator's estimate and may be far off.
    *done_work_ms* is the attained service: the work that earlier runs of the
    task completed.
    """

    task_id: str
    member: str
    workload: str
    demand: Resources
    declared_work_ms: int
    done_work_ms: int = 0
    eviction_count: int = 0
    is_urgent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadLimits:
    """
    Weight and limits of one member or workload in the configuration table.

    A row whose *name* equals its *member* applies to the member as a whole.
    A limit of None means unlimited.
    """

    name: str
    member: str
    weight: float = 1.0
    latency_target_ms: int | None = None
    max_processor_millis: int | None = None
    max_memory_bytes: int | None = None
    max_accelerator_count: int | None = None
    max_running_count: int | None = None


class ShedReason(enum.StrEnum):
    """
    Why a request is shed.
    """

    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue_full'
    NO_WORKER = 'no_worker'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceRequest:
    """
    Send the request to the endpoint on this worker.

    The resources that the request demands are already charged.
    """

    request_id: str
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedRequest:
    """
    Reply to the caller that the request was not run.

    A *retry_after_ms* of 0 means that the time of a retry is not known.
    """

    request_id: str
    reason: ShedReason
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceTask:
    """
    Start the task on this worker.

    The resources that the task demands are already charged.
    """

    task_id: str
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleTask:
    """
    Throttle the running task, or end its throttling.
    """

    task_id: str
    worker_id: str
    is_throttled: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EvictTask:
    """
    Checkpoint the running task, stop it and queue it again.
    """

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectTask:
    """
    Reject a queued task that can never run or that keeps failing.

    *reason* says why, such as the resource of which it demands more than the
    largest worker has.
    """

    task_id: str
    reason: str


Decision = (
    PlaceRequest
    | ShedRequest
    | PlaceTask
    | ThrottleTask
    | EvictTask
    | RejectTask
)


class RequestResult(enum.StrEnum):
    """
    How a placed request ended, as far as it reflects the worker's health.

    `REFUSED`: the request was not run.  `LOST`: the worker was unreachable, or
    its reply was lost.  `FAILED` and `LOST` count as failures of the endpoint.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    LOST = 'lost'
