"""
Helpers that build inputs for the policy tests.
"""

from collections.abc import Sequence
from typing import TypeVar

from hawthornpier.messages import LatencySample, Resources, WorkerReport
from hawthornpier.policy import (
    Decision,
    PolicySettings,
    RequestDemand,
    Scheduler,
    TaskDemand,
    WorkerInfo,
)

_Kind = TypeVar('_Kind')

SLOT = Resources(processor_millis=1000, memory_bytes=10, slot_count=1)


def make_worker(worker_id: str, slot_count: int = 2) -> WorkerInfo:
    """
    Return a worker with one core and 10 bytes of memory per slot.
    """
    return WorkerInfo(
        worker_id=worker_id,
        region='r',
        failure_domain='f',
        rack='k',
        capacity=Resources(
            processor_millis=1000 * slot_count,
            memory_bytes=10 * slot_count,
            slot_count=slot_count,
        ),
    )


def make_scheduler(
    worker_count: int,
    slot_count: int = 2,
    settings: PolicySettings | None = None,
) -> Scheduler:
    """
    Return a scheduler with the workers w0, w1 and so on.
    """
    scheduler = Scheduler(settings=settings or PolicySettings(), seed=1)
    for number in range(worker_count):
        scheduler.add_worker(make_worker(f'w{number}', slot_count), 0)
    return scheduler


def make_task(
    task_id: str,
    *,
    member: str = 'm',
    workload: str = 'b',
    demand: Resources = SLOT,
    declared_work_ms: int = 1000,
    done_work_ms: int = 0,
    is_urgent: bool = False,
) -> TaskDemand:
    """
    Return a task that demands one slot by default.
    """
    return TaskDemand(
        task_id=task_id,
        member=member,
        workload=workload,
        demand=demand,
        declared_work_ms=declared_work_ms,
        done_work_ms=done_work_ms,
        is_urgent=is_urgent,
    )


def make_request(
    request_id: str,
    *,
    service: str = 's',
    deadline_ms: int = 10_000,
    demand: Resources = SLOT,
) -> RequestDemand:
    """
    Return a request that demands one slot by default.
    """
    return RequestDemand(
        request_id=request_id,
        member='m',
        service=service,
        demand=demand,
        deadline_ms=deadline_ms,
    )


def make_report(
    worker_id: str,
    measured_ms: int,
    durations_ms: Sequence[float],
) -> WorkerReport:
    """
    Return a worker's report of requests that all ended at *measured_ms*.
    """
    return WorkerReport(
        worker_id=worker_id,
        measured_ms=measured_ms,
        usage=Resources(),
        samples=tuple(
            LatencySample(
                service='s',
                duration_ms=duration_ms,
                ended_ms=measured_ms,
            )
            for duration_ms in durations_ms
        ),
    )


def of_kind(
    decisions: Sequence[Decision],
    kind: type[_Kind],
) -> list[_Kind]:
    """
    Return the decisions that are instances of *kind*.
    """
    return [decision for decision in decisions if isinstance(decision, kind)]
