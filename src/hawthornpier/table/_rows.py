"""
The rows of the table: members, workloads and proposals.
"""

import enum
from dataclasses import dataclass
from functools import singledispatch

from hawthornpier.policy import WorkloadLimits


class WorkloadClass(enum.StrEnum):
    """
    Whether a workload serves requests or runs batch tasks.
    """

    SERVICE = 'service'
    BATCH = 'batch'


class Priority(enum.StrEnum):
    """
    How urgently the requests or tasks of a workload have to start.
    """

    URGENT = 'urgent'
    NORMAL = 'normal'


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRow:
    """
    A member: its weight, its quotas and its operators' key hashes.

    A quota of None sets no limit.
    """

    member: str
    weight: float = 1.0
    max_processor_millis: int | None = None
    max_memory_bytes: int | None = None
    max_accelerator_count: int | None = None
    max_running_count: int | None = None
    operator_key_hash: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalRow:
    """
    A proposed member row, which takes effect when every other member approves.

    *proposed_version* is the table version that set the proposed values.
    """

    member: str
    weight: float = 1.0
    max_processor_millis: int | None = None
    max_memory_bytes: int | None = None
    max_accelerator_count: int | None = None
    max_running_count: int | None = None
    operator_key_hash: tuple[str, ...] = ()
    proposed_by: str
    proposed_version: int
    approved_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkloadRow:
    """
    A service or a batch workload of a member.

    *processor_millis* and *memory_bytes* are the resources that one request of
    a service occupies; batch tasks state their own demand.
    """

    member: str
    name: str
    workload_class: WorkloadClass
    weight: float = 1.0
    latency_target_ms: int | None = None
    deadline_ms: int | None = None
    is_idempotent: bool = True
    priority: Priority = Priority.NORMAL
    processor_millis: int = 0
    memory_bytes: int = 0
    max_processor_millis: int | None = None
    max_memory_bytes: int | None = None
    max_accelerator_count: int | None = None
    max_running_count: int | None = None


TableRow = MemberRow | ProposalRow | WorkloadRow

# The columns that limit the resources of a member or workload.
QUOTA_COLUMNS = (
    'max_processor_millis',
    'max_memory_bytes',
    'max_accelerator_count',
    'max_running_count',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PutRow:
    """
    An edit that adds or replaces the row of a member or workload.
    """

    row: MemberRow | WorkloadRow


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteRow:
    """
    An edit that deletes the row with this key.
    """

    key: str


Edit = PutRow | DeleteRow


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """
    One row before and after an edit; None where it does not exist.
    """

    key: str
    before: TableRow | None
    after: TableRow | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """
    The accepted edit that produced *version* from the version before it.

    *member* is the member whose operator made the edit; *at_ms* is the wall
    clock time, in milliseconds, of the process that accepted it.
    """

    version: int
    edit_id: str
    member: str
    at_ms: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """
    The whole table at one version, ordered by key.
    """

    version: int
    rows: tuple[TableRow, ...] = ()


def member_key(member: str) -> str:
    """
    Return the key of a member's row.
    """
    return f'member/{member}'


def proposal_key(member: str) -> str:
    """
    Return the key of the proposal for a member's row.
    """
    return f'proposal/{member}'


def workload_key(member: str, name: str) -> str:
    """
    Return the key of a workload's row.
    """
    return f'workload/{member}/{name}'


@singledispatch
def row_key(row: object) -> str:
    """
    Return the key of *row*, unique within the table.
    """
    raise TypeError(f'{type(row).__name__} is not a row of the table')


@row_key.register
def _member_row_key(row: MemberRow) -> str:
    return member_key(row.member)


@row_key.register
def _proposal_row_key(row: ProposalRow) -> str:
    return proposal_key(row.member)


@row_key.register
def _workload_row_key(row: WorkloadRow) -> str:
    return workload_key(row.member, row.name)


@singledispatch
def row_limits(row: object) -> tuple[WorkloadLimits, ...]:
    """
    Return the limits that *row* sets; a proposal sets none.
    """
    raise TypeError(f'{type(row).__name__} is not a row of the table')


@row_limits.register
def _proposal_limits(row: ProposalRow) -> tuple[WorkloadLimits, ...]:
    return ()


@row_limits.register
def _member_limits(row: MemberRow) -> tuple[WorkloadLimits, ...]:
    limits = WorkloadLimits(
        name=row.member,
        member=row.member,
        weight=row.weight,
        max_processor_millis=row.max_processor_millis,
        max_memory_bytes=row.max_memory_bytes,
        max_accelerator_count=row.max_accelerator_count,
        max_running_count=row.max_running_count,
    )
    return (limits,)


@row_limits.register
def _workload_limits(row: WorkloadRow) -> tuple[WorkloadLimits, ...]:
    limits = WorkloadLimits(
        name=row.name,
        member=row.member,
        weight=row.weight,
        latency_target_ms=row.latency_target_ms,
        max_processor_millis=row.max_processor_millis,
        max_memory_bytes=row.max_memory_bytes,
        max_accelerator_count=row.max_accelerator_count,
        max_running_count=row.max_running_count,
    )
    return (limits,)
