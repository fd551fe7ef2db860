"""
The members, failure domains and workloads of the demo.
"""

from dataclasses import dataclass
from types import MappingProxyType

from hawthornpier.messages import JobSpec, Resources
from hawthornpier.table import (
    MemberRow,
    PutRow,
    WorkloadClass,
    WorkloadRow,
    hash_operator_key,
)
from hawthornpier_standin.callers import ServiceLoad, Surge

FIRST_MEMBER = 'yayasan'
SECOND_MEMBER = 'picking'
OPERATOR_KEYS = MappingProxyType(
    {
        FIRST_MEMBER: 'demo-operator-key-of-yayasan',
        SECOND_MEMBER: 'demo-operator-key-of-picking',
    }
)
REGIONS = MappingProxyType(
    {
        'ipoh': 'semenanjung',
        'melaka': 'semenanjung',
        'kuching': 'borneo',
    }
)
WORKERS_PER_DOMAIN = 4
LIMITED_WORKLOAD = 'carving-plan'
LIMITED_RUNNING_COUNT = 6

_REQUEST_MILLIS = 2_000
_REQUEST_BYTES = 500_000_000
_TASK_DEMAND = Resources(
    processor_millis=4_000,
    memory_bytes=8_000_000_000,
    slot_count=1,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberPlan:
    """
    The requests and jobs that one member sends during the demo.
    """

    member: str
    loads: tuple[ServiceLoad, ...]
    jobs: tuple[JobSpec, ...]


def initial_edits() -> list[PutRow]:
    """
    Return the first edit, which adds the first member and its workloads.
    """
    return [
        PutRow(row=_member_row(FIRST_MEMBER)),
        *_workload_edits(
            FIRST_MEMBER, ('stock-check', 'order'), (LIMITED_WORKLOAD,)
        ),
    ]


def proposal_edit() -> PutRow:
    """
    Return the edit that proposes the second member.
    """
    return PutRow(row=_member_row(SECOND_MEMBER))


def second_member_edits() -> list[PutRow]:
    """
    Return the edit that adds the second member's workloads.

    It is accepted only after the second member has been approved.
    """
    return _workload_edits(
        SECOND_MEMBER,
        ('pass-plan', 'bin-tally'),
        ('row-photos', 'cold-room-watch'),
    )


def limit_edit(max_running_count: int | None) -> PutRow:
    """
    Return the edit that sets the running limit of `LIMITED_WORKLOAD`.

    None removes the limit.
    """
    return PutRow(
        row=WorkloadRow(
            member=FIRST_MEMBER,
            name=LIMITED_WORKLOAD,
            workload_class=WorkloadClass.BATCH,
            max_running_count=max_running_count,
        ),
    )


def weight_edit(weight: float) -> PutRow:
    """
    Return an edit of a workload of the second member.

    The demo sends it at the same time as an edit of the first member, so that
    one of them gets a conflict.
    """
    return PutRow(
        row=WorkloadRow(
            member=SECOND_MEMBER,
            name='row-photos',
            workload_class=WorkloadClass.BATCH,
            weight=weight,
        ),
    )


def member_plans(duration_s: float) -> tuple[MemberPlan, ...]:
    """
    Return the load of both members, with one surge during *duration_s*.
    """
    surge = Surge(
        start_ms=duration_s * 400,
        duration_ms=duration_s * 150,
        factor=8,
    )
    return (
        MemberPlan(
            member=FIRST_MEMBER,
            loads=(
                ServiceLoad(service='stock-check', rate_per_s=40),
                _order_load('order', 12),
            ),
            jobs=(_job_spec(FIRST_MEMBER, LIMITED_WORKLOAD, 160, 2_500),),
        ),
        MemberPlan(
            member=SECOND_MEMBER,
            loads=(
                ServiceLoad(
                    service='pass-plan',
                    rate_per_s=25,
                    surges=(surge,),
                ),
                _order_load('bin-tally', 6),
            ),
            jobs=(
                _job_spec(SECOND_MEMBER, 'row-photos', 60, 300),
                _job_spec(SECOND_MEMBER, 'cold-room-watch', 3, 9_000),
            ),
        ),
    )


def _order_load(service: str, rate_per_s: float) -> ServiceLoad:
    return ServiceLoad(
        service=service,
        rate_per_s=rate_per_s,
        order_share=1,
        repeat_share=0.3,
        deadline_ms=2_000,
    )


def _job_spec(
    member: str,
    workload: str,
    task_count: int,
    work_ms: int,
) -> JobSpec:
    return JobSpec(
        member=member,
        workload=workload,
        task_count=task_count,
        demand=_TASK_DEMAND,
        declared_work_ms=work_ms,
    )


def _member_row(member: str) -> MemberRow:
    return MemberRow(
        member=member,
        operator_key_hash=(hash_operator_key(OPERATOR_KEYS[member]),),
    )


def _workload_edits(
    member: str,
    services: tuple[str, ...],
    batch: tuple[str, ...],
) -> list[PutRow]:
    service_rows = [
        WorkloadRow(
            member=member,
            name=name,
            workload_class=WorkloadClass.SERVICE,
            latency_target_ms=200,
            deadline_ms=1_000,
            is_idempotent=name in {'stock-check', 'pass-plan'},
            processor_millis=_REQUEST_MILLIS,
            memory_bytes=_REQUEST_BYTES,
        )
        for name in services
    ]
    batch_rows = [
        WorkloadRow(
            member=member,
            name=name,
            workload_class=WorkloadClass.BATCH,
        )
        for name in batch
    ]
    return [PutRow(row=row) for row in (*service_rows, *batch_rows)]
