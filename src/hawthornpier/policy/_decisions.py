"""
What the scheduler is asked and what it decides.
"""

import enum
from dataclasses import dataclass

from hawthornpier.messages import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """
    A worker as the policy knows it.
    """

    worker_id: str
    region: str
    failure_domain: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDemand:
    """
    A caller's request that waits for a slot.

    *deadline_ms* is on the caller's own process clock (monotonic).
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

    *declared_work_ms* may be far off; *done_work_ms* is attained service.
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
    The table's weights and limits of one member or workload.

    A limit of None does not bind.
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
    Why a request is told that it will not run.
    """

    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue_full'
    NO_WORKER = 'no_worker'
    TOO_LARGE = 'too_large'


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceRequest:
    """
    Send the request to the endpoint on this worker; its slot is reserved.
    """

    request_id: str
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedRequest:
    """
    Tell the caller that the request is not run.
    """

    request_id: str
    reason: ShedReason
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PlaceTask:
    """
    Start the task on this worker; its resources are reserved.
    """

    task_id: str
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleTask:
    """
    Throttle the running task, or let it run at full speed again.
    """

    task_id: str
    worker_id: str
    is_throttled: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class EvictTask:
    """
    Take a checkpoint of the running task, end its run and queue it again.
    """

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectTask:
    """
    The task can never run; *reason* names the dimension and the largest worker.
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
    How a placed request ended, as far as its worker is to blame.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    LOST = 'lost'
